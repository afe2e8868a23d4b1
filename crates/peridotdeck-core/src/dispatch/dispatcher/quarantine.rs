//! Attribution of endpoint crashes to requests and parts of prompts, and their quarantine.
//!
//! See [`crate::dispatch::crashes`] for what is counted.

use std::time::Duration;

use super::{
    Dispatcher,
    waiting::{RETRY_AFTER_FRACTION, give_up},
};
use crate::{
    dispatch::{
        Key, Node, Prefix,
        attempt::{Attempt, End},
        crashes::{Notice, Quarantine, Subject},
        flight::{DecodedRequest, Flight, Prompt},
        refusal::{Cause, Refusal},
    },
    id::{Fingerprint, Time},
    rendezvous,
};

/// Time after a broken attempt during which a failed probe counts as a crash of the endpoint.
const CRASH_WINDOW: Duration = Duration::from_secs(2);

/// Longest time from its first event in which a request is suspected of an end that its endpoint had
/// announced; the verdict on an end may take most of it.
const MAX_CRASH_DELAY: Duration = Duration::from_secs(3);

/// Time that an endpoint must stay up after it has begun an answer, to clear the prompt's parts.
const PROOF_DELAY: Duration = Duration::from_millis(200);

/// Most answers that may clear parts soon; beyond it the oldest are dropped.
const MAX_BEGUN: usize = 1_024;

/// Shortest time after which a caller with a quarantined request may return.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Subjects that may have crashed an endpoint, because an attempt with them broke.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    key: Key,
    subjects: Vec<Subject>,
    broken_at: Time,
    /// Whether the answer broke for certain, or may have been complete.
    certain: bool,
    /// Whether the request had not begun, or less than [`MAX_CRASH_DELAY`] before.
    has_just_begun: bool,
}

/// Parts of a prompt on which an endpoint has begun an answer.
#[derive(Clone, Debug)]
pub(super) struct Begun {
    key: Key,
    parts: Vec<Prefix>,
    at: Time,
}

/// Returns what a crash may be attributed to: the whole request, and each part of its prompt.
fn subjects(fingerprint: Fingerprint, prompt: &Prompt) -> impl Iterator<Item = Subject> {
    let parts = prompt.shared.iter();
    let parts = parts.map(|part| Subject::Part(part.prefix));
    std::iter::once(Subject::Request(fingerprint)).chain(parts)
}

impl Dispatcher {
    /// Returns the quarantines of subjects, for operators.
    pub fn quarantines(&self, now: Time) -> impl Iterator<Item = Quarantine> {
        self.crashes.quarantines(now)
    }

    /// Checks whether a request's subjects are in quarantine; returns whether it is a trial.
    ///
    /// # Errors
    /// Returns the refusal of a request that would likely crash an endpoint.
    pub(super) fn check_quarantine(
        &mut self,
        request: &DecodedRequest,
        fingerprint: Fingerprint,
        max_wait: Duration,
        now: Time,
    ) -> Result<bool, Refusal> {
        let found: Vec<Quarantine> = subjects(fingerprint, &request.prompt)
            .filter_map(|subject| self.crashes.quarantine(subject, now))
            .collect();
        let Some(longest) = found.iter().max_by_key(|found| found.trial_in).copied() else {
            return Ok(false);
        };
        for quarantine in &found {
            self.crashes.note_use(quarantine.subject, now);
        }
        if longest.trial_in.is_zero() && self.may_try(longest.subject, now) {
            for quarantine in &found {
                self.crashes
                    .start_trial(quarantine.subject, &request.id, now);
            }
            return Ok(true);
        }
        let wait = self.hold_back(longest, &request.id, max_wait);
        Err(Refusal::not_run(Cause::Quarantined, Some(wait)))
    }

    /// Notes that a request is not sent, and returns the time after which its caller may return.
    ///
    /// `left` is the caller's time, of which the wait may take a fraction.
    fn hold_back(&mut self, quarantine: Quarantine, id: &str, left: Duration) -> Duration {
        self.crashes.notify(Notice::Refused {
            subject: quarantine.subject,
            id: id.to_owned(),
        });
        let wait = quarantine.trial_in.max(MIN_RETRY_AFTER);
        wait.min(left.mul_f64(RETRY_AFTER_FRACTION))
    }

    /// Returns whether this node makes the trials of a subject.
    ///
    /// One node of those that reach each other does, so that the trials of all nodes are bounded.
    fn may_try(&self, subject: Subject, now: Time) -> bool {
        let peers = self.fleet.members(now).into_iter().map(|(node, _)| node);
        let nodes = peers.chain([self.options.node]).map(u32::from);
        rendezvous::first(subject.id(), nodes).map(Node::from) == Some(self.options.node)
    }

    /// Checks whether an admitted request may still be sent.
    ///
    /// # Errors
    /// Returns the refusal if a subject of the request has been quarantined since.
    pub(super) fn recheck_quarantine(&mut self, flight: &Flight, now: Time) -> Result<(), Refusal> {
        if flight.trial {
            return Ok(());
        }
        let found = subjects(flight.fingerprint, &flight.prompt)
            .find_map(|subject| self.crashes.quarantine(subject, now));
        let Some(quarantine) = found else {
            return Ok(());
        };
        let wait = self.hold_back(quarantine, &flight.id, flight.time_left(now));
        Err(give_up(flight, Cause::Quarantined, Some(wait)))
    }

    /// Returns the most endpoints that any subject of a request has crashed, or may have crashed
    /// just now.
    pub(super) fn suspicion(&self, flight: &Flight) -> usize {
        let suspicion = |subject| {
            let pending = self.suspicions.iter().filter(|suspicion| {
                suspicion.certain
                    && suspicion.subjects.contains(&subject)
                    && self.crashes.would_count(subject, suspicion.broken_at)
                    && self.may_be_crash(suspicion)
            });
            let mut keys: Vec<Key> = pending.map(|suspicion| suspicion.key).collect();
            keys.sort_unstable();
            keys.dedup();
            self.crashes.count(subject) + keys.len()
        };
        subjects(flight.fingerprint, &flight.prompt)
            .map(suspicion)
            .max()
            .unwrap_or(0)
    }

    /// Notes that an endpoint has begun an answer, which clears the prompt's parts if it stays up.
    pub(super) fn note_begun(&mut self, attempt: &mut Attempt, flight: &Flight, now: Time) {
        attempt.answered = Some(now);
        if flight.prompt.shared.is_empty() {
            return;
        }
        if self.begun.len() == MAX_BEGUN {
            self.begun.remove(0);
        }
        let parts = flight.prompt.shared.iter().map(|part| part.prefix);
        self.begun.push(Begun {
            key: attempt.key,
            parts: parts.collect(),
            at: now,
        });
    }

    /// Clears the parts on which endpoints have begun an answer and stayed up.
    pub(super) fn clear_begun(&mut self, now: Time) {
        let stayed_up = |begun: &mut Begun| now.saturating_sub(begun.at) >= PROOF_DELAY;
        let begun: Vec<Begun> = self.begun.extract_if(.., stayed_up).collect();
        for part in begun.into_iter().flat_map(|begun| begun.parts) {
            self.crashes.clear_part(part, now);
        }
    }

    /// Clears the subjects of a request that an endpoint has run to its end.
    pub(super) fn clear_finished(&mut self, flight: &Flight, now: Time) {
        self.crashes.clear_request(flight.fingerprint, now);
        for part in &flight.prompt.shared {
            self.crashes.clear_part(part.prefix, now);
        }
    }

    /// Returns whether the end of a suspicion's endpoint may be a crash, rather than an announced end.
    ///
    /// Nothing is sent to an endpoint from its announcement on, and it serves on for some time. A request
    /// crashes it as it begins, so one that has run for a while has not. An endpoint that
    /// crashes announces nothing: what becomes known only after the end was announced before it.
    fn may_be_crash(&self, suspicion: &Suspicion) -> bool {
        let key = suspicion.key;
        let has_announced = || {
            let state = self.state(key);
            self.departures.contains(key) || state.is_some_and(|state| state.info.draining)
        };
        suspicion.has_just_begun || !has_announced()
    }

    /// Suspects a request whose attempt broke or may have, and the parts of its prompt unless an
    /// endpoint had answered on them.
    pub(super) fn suspect_request(
        &mut self,
        attempt: &Attempt,
        end: End,
        flight: &Flight,
        now: Time,
    ) {
        let key = attempt.key;
        self.begun.retain(|begun| begun.key != key);
        let is_cleared = |answered: Time| now.saturating_sub(answered) >= PROOF_DELAY;
        let parts_cleared = attempt.answered.is_some_and(is_cleared);
        let is_recent = |answered: Time| now.saturating_sub(answered) < MAX_CRASH_DELAY;
        let suspected = subjects(flight.fingerprint, &flight.prompt)
            .filter(|subject| !parts_cleared || matches!(subject, Subject::Request(_)));
        self.suspicions.push(Suspicion {
            key,
            subjects: suspected.collect(),
            broken_at: now,
            certain: end == End::Broken,
            has_just_begun: attempt.answered.is_none_or(is_recent),
        });
    }

    /// Attributes the crash of an endpoint to the subjects that may have caused it.
    pub(super) fn attribute_crash(&mut self, key: Key, now: Time) {
        let of_endpoint = |suspicion: &mut Suspicion| suspicion.key == key;
        let suspicions: Vec<Suspicion> = self.suspicions.extract_if(.., of_endpoint).collect();
        let counts = |suspicion: &Suspicion| {
            now.saturating_sub(suspicion.broken_at) < CRASH_WINDOW && self.may_be_crash(suspicion)
        };
        let counted: Vec<Suspicion> = suspicions.into_iter().filter(counts).collect();
        for subject in counted.into_iter().flat_map(|suspicion| suspicion.subjects) {
            self.crashes.record(subject, key, now);
            self.fleet.mark_urgent();
        }
    }

    /// Drops the suspicions against requests of an endpoint that is up.
    pub(super) fn drop_suspicions(&mut self, key: Key) {
        self.suspicions.retain(|suspicion| suspicion.key != key);
    }

    /// Drops the suspicions that no probe has confirmed in time.
    pub(super) fn expire_suspicions(&mut self, now: Time) {
        self.suspicions
            .retain(|suspicion| now.saturating_sub(suspicion.broken_at) < CRASH_WINDOW);
    }
}
