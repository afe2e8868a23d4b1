//! Speeds of endpoints: what own requests show, and what nodes tell each other.

use std::time::Duration;

use super::Dispatcher;
use crate::{
    dispatch::{
        Key,
        attempt::Attempt,
        config::Service,
        endpoint::{Load, State},
        feature::Feature,
        key as digest, mean,
        placement::Estimate,
        speed::{
            Gap, Gaps, Message, Notice, Observation, Pace, Speed, Stall, StallReport, Subject,
            Usual,
        },
    },
    id::Time,
};

/// Time that stalls are expected to last before the first one, in milliseconds.
const INITIAL_STALL_MS: f64 = 300.0;

/// Bounds of a stall that counts for their usual time; a longer one is a fault.
const STALL_BOUNDS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// Fewest unread tokens with which the time to the first event shows the speed of reading.
const MIN_READ_TOKENS: u32 = 512;

/// Most endpoints in one message whose new samples are told.
const MAX_SAMPLES: usize = 16;

/// Most endpoints in one message of which the belief is told.
const MAX_BELIEFS: usize = 3;

/// Most stalls in one message.
const MAX_STALLS: usize = 8;

/// Most endpoints without a process whose speed is kept.
const MAX_FORMER: usize = 64;

/// Time between two looks for changes to log.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);

/// Most changes of each kind that are logged at once.
const MAX_NOTICES: usize = 2;

/// Change of a factor from which it is logged.
const NOTED_CHANGE: f64 = 1.6;

/// What is known of speeds beside the endpoints' own figures.
#[derive(Clone, Debug)]
pub(super) struct Speeds {
    /// Mean median gap of streams by route, in milliseconds.
    gap_ms: mean::Table,
    /// Mean time of stalls by service, in milliseconds.
    stall_ms: mean::Table,
    /// Speeds of processes that have gone, by the id of their endpoint, the oldest first.
    former: Vec<(String, Speed)>,
    /// Keys of all endpoints by the digest of their id, sorted.
    subjects: Vec<(Subject, Key)>,
    /// Endpoint of which the belief is told next.
    turn: usize,
    notices: Vec<Notice>,
    notices_due: Time,
    /// Factors that were logged last, sorted by endpoint.
    noted: Vec<(Key, Pace)>,
}

impl Default for Speeds {
    fn default() -> Self {
        Self {
            gap_ms: mean::Table::new(0.0),
            stall_ms: mean::Table::new(INITIAL_STALL_MS),
            former: Vec::new(),
            subjects: Vec::new(),
            turn: 0,
            notices: Vec::new(),
            notices_due: Time::ZERO,
            noted: Vec::new(),
        }
    }
}

impl Speeds {
    /// Keeps the speed of an endpoint whose process has gone.
    pub(super) fn keep_former(&mut self, state: &State) {
        self.former
            .push((state.info.id.clone(), state.speed.inherited()));
        let surplus = self.former.len().saturating_sub(MAX_FORMER);
        self.former.drain(..surplus);
    }

    /// Returns what a new process starts with, from the one before it under the same id.
    pub(super) fn take_former(&mut self, id: &str) -> Speed {
        let known = self.former.iter().rposition(|(known, _)| known == id);
        known.map_or_else(Speed::default, |index| self.former.remove(index).1)
    }

    /// Takes over the current endpoints.
    pub(super) fn set_endpoints(&mut self, states: &[State]) {
        let subjects = states
            .iter()
            .map(|state| (subject(&state.info.id), state.key));
        self.subjects = subjects.collect();
        self.subjects.sort_unstable();
    }

    fn usual_stall(&self, service: &str) -> Duration {
        Duration::from_secs_f64(self.stall_ms.value(service) / 1e3)
    }
}

impl Dispatcher {
    /// Returns whether lasting speeds of endpoints and their stalls are told apart.
    #[must_use]
    pub fn tells_speeds_apart(&self) -> bool {
        self.options.features.has(Feature::Speed)
    }

    /// Returns the usual speed of a service's endpoints, if lasting speeds and stalls are told apart.
    pub(super) fn usual_speed(&self, service: &str) -> Option<Usual> {
        let speeds = self.endpoints_of(service).map(|state| &state.speed);
        self.tells_speeds_apart()
            .then(|| Usual::of(speeds, self.speeds.usual_stall(service)))
    }

    /// Returns an endpoint's factors on expected times, if lasting speeds and stalls are told apart.
    #[must_use]
    pub fn pace(&self, state: &State, now: Time) -> Option<Pace> {
        let usual = self.usual_speed(&state.info.service)?;
        Some(usual.pace(&state.speed, now))
    }

    /// Returns the number of endpoints that are not as fast as usual, and of those that stall.
    #[must_use]
    pub fn speed_counts(&self, now: Time) -> (usize, usize) {
        let stalled = self
            .states
            .iter()
            .filter(|state| state.speed.stall(now).is_some());
        (self.speeds.noted.len(), stalled.count())
    }

    /// Records that an answer of an endpoint is waited for.
    pub(super) fn await_answer(&mut self, key: Key, estimate: &Estimate, now: Time) {
        if self.tells_speeds_apart()
            && let Some(state) = self.state_mut(key)
        {
            state.speed.await_answer(now, estimate.time_to_first);
        }
    }

    /// Records that the answer of an attempt is no longer waited for.
    pub(super) fn end_answer_wait(&mut self, attempt: &Attempt) {
        if let Some(state) = self.state_mut(attempt.key) {
            state.speed.end_wait(attempt.sent);
        }
    }

    /// Records what the time to an answer shows of the endpoint's speed.
    pub(super) fn record_answer_speed(&mut self, attempt: &Attempt, observed: Duration) {
        if !self.tells_speeds_apart() {
            return;
        }
        self.end_answer_wait(attempt);
        if let Some(state) = self.state_mut(attempt.key)
            && attempt.shows_speed
            && attempt.detour.is_none()
        {
            let worked_ms = observed.as_secs_f64() * 1e3 - f64::from(attempt.overhead_ms);
            let ratio = worked_ms / f64::from(attempt.work_ms).max(1.0);
            state.speed.record_reading(ratio.max(0.1));
        }
    }

    /// Records what a gap between two events of a stream shows of its endpoint.
    pub fn record_gap(&mut self, attempt: &Attempt, gap: Gap, now: Time) {
        if !self.tells_speeds_apart() {
            return;
        }
        match gap {
            Gap::Usual => {}
            Gap::Stalled(time) => {
                let began = now.saturating_sub(time);
                let own = Stall {
                    began,
                    is_own: true,
                };
                let is_new = self
                    .state_mut(attempt.key)
                    .is_some_and(|state| state.speed.record_stall(own));
                if is_new {
                    self.fleet.mark_changed();
                }
            }
            Gap::Recovered => self.end_stall(attempt.key, now),
        }
    }

    fn end_stall(&mut self, key: Key, now: Time) {
        let Some(state) = self.state_mut(key) else {
            return;
        };
        let Some(time) = state.speed.end_stall(now) else {
            return;
        };
        let (endpoint, service) = (state.info.id.clone(), state.info.service.clone());
        let counted = time.clamp(STALL_BOUNDS.0, STALL_BOUNDS.1).as_secs_f64() * 1e3;
        self.speeds.stall_ms.add_sample(&service, counted);
        if self.speeds.notices.len() < MAX_NOTICES {
            let usual = self.speeds.usual_stall(&service);
            self.speeds.notices.push(Notice::Stall {
                endpoint,
                time,
                usual,
            });
        }
    }

    /// Records the gaps of a stream at one endpoint when it ends there.
    pub fn record_gaps(&mut self, attempt: &Attempt, route: &str, gaps: &Gaps) {
        let Some(median) = gaps.median_ms().filter(|median| *median > 0.0) else {
            return;
        };
        if !self.tells_speeds_apart() || attempt.detour.is_some() {
            return;
        }
        let usual = self.speeds.gap_ms.value_mut(route);
        if *usual <= 0.0 {
            *usual = median;
        }
        let usual = self.speeds.gap_ms.add_sample(route, median);
        if let Some(state) = self.state_mut(attempt.key) {
            state.speed.record_step(median / usual);
        }
    }

    /// Returns what goes with the heartbeats that are due.
    ///
    /// Beliefs are told in turn, and only where some endpoint is not as fast as others.
    pub(super) fn speed_message(&mut self, now: Time) -> Message {
        let mut message = Message::default();
        if !self.tells_speeds_apart() {
            return message;
        }
        for state in &mut self.states {
            if message.samples.len() < MAX_SAMPLES
                && let Some([reading, step]) = state.speed.take_untold()
            {
                message.samples.push(Observation {
                    subject: subject(&state.info.id),
                    reading,
                    step,
                });
            }
            let stall = state.speed.stall(now).filter(|stall| stall.is_own);
            if let Some(stall) = stall
                && message.stalls.len() < MAX_STALLS
            {
                let age = now.saturating_sub(stall.began).as_millis();
                message.stalls.push(StallReport {
                    subject: subject(&state.info.id),
                    age_ms: u16::try_from(age).unwrap_or(u16::MAX),
                });
            }
        }
        if !self.speeds.noted.is_empty() {
            message.beliefs = self.next_beliefs();
        }
        message
    }

    /// Returns the figures of the endpoints whose turn it is.
    fn next_beliefs(&mut self) -> Vec<Observation> {
        let start = self.speeds.turn % self.states.len().max(1);
        let states = self.states.iter().enumerate().cycle().skip(start);
        let told: Vec<(usize, Observation)> = states
            .take(self.states.len())
            .filter(|(_, state)| state.speed.is_known())
            .take(MAX_BELIEFS)
            .map(|(index, state)| {
                let belief = Observation {
                    subject: subject(&state.info.id),
                    reading: state.speed.reading,
                    step: state.speed.step,
                };
                (index, belief)
            })
            .collect();
        if let Some((last, _)) = told.last() {
            self.speeds.turn = last + 1;
        }
        told.into_iter().map(|(_, belief)| belief).collect()
    }

    /// Takes over what a peer tells of endpoints' speeds.
    pub fn receive_speeds(&mut self, message: &Message, now: Time) {
        if !self.tells_speeds_apart() {
            return;
        }
        for sample in &message.samples {
            if let Some(speed) = self.speed_mut(sample.subject) {
                speed.reading.merge(sample.reading);
                speed.step.merge(sample.step);
            }
        }
        for belief in &message.beliefs {
            if let Some(speed) = self.speed_mut(belief.subject) {
                speed.reading.learn(belief.reading);
                speed.step.learn(belief.step);
            }
        }
        for report in &message.stalls {
            if let Some(speed) = self.speed_mut(report.subject) {
                let age = Duration::from_millis(report.age_ms.into());
                speed.record_stall(Stall {
                    began: now.saturating_sub(age),
                    is_own: false,
                });
            }
        }
    }

    fn speed_mut(&mut self, subject: Subject) -> Option<&mut Speed> {
        let subjects = &self.speeds.subjects;
        let index = subjects.binary_search_by_key(&subject, |one| one.0).ok()?;
        let key = subjects[index].1;
        self.state_mut(key).map(|state| &mut state.speed)
    }

    /// Returns the changes to log, and drops stalls that have not ended in time.
    pub(super) fn take_speed_notices(&mut self, now: Time) -> Vec<Notice> {
        if !self.tells_speeds_apart() {
            return Vec::new();
        }
        for state in &mut self.states {
            let usual = self.speeds.usual_stall(&state.info.service);
            state.speed.expire_stall(usual, now);
        }
        if now < self.speeds.notices_due {
            return Vec::new();
        }
        self.speeds.notices_due = now + NOTICE_INTERVAL;
        let mut notices = std::mem::take(&mut self.speeds.notices);
        notices.append(&mut self.note_speeds(now));
        notices
    }

    /// Compares the factors of all endpoints with those that were logged last.
    fn note_speeds(&mut self, now: Time) -> Vec<Notice> {
        let mut services: Vec<(&str, Option<Usual>)> = Vec::new();
        let (mut notices, mut noted) = (Vec::new(), Vec::new());
        for state in &self.states {
            let service = state.info.service.as_str();
            if !services.iter().any(|(name, _)| *name == service) {
                services.push((service, self.usual_speed(service)));
            }
            let usual = services.iter().find(|(name, _)| *name == service);
            let Some(usual) = usual.and_then(|(_, usual)| *usual) else {
                continue;
            };
            let pace = usual.pace(&state.speed, now);
            let known = self
                .speeds
                .noted
                .binary_search_by_key(&state.key, |one| one.0);
            let before = known.map_or(Pace::EVEN, |index| self.speeds.noted[index].1);
            let is_noted = differs(before, pace) && notices.len() < MAX_NOTICES;
            let told = if is_noted { pace } else { before };
            if is_noted {
                notices.push(Notice::Speed {
                    endpoint: state.info.id.clone(),
                    reading: pace.reading,
                    step: pace.step,
                });
            }
            if (told.reading - 1.0).abs() + (told.step - 1.0).abs() > f64::EPSILON {
                noted.push((state.key, told));
            }
        }
        self.speeds.noted = noted;
        notices
    }
}

/// Returns whether the time to an answer will show the endpoint's speed, and not that of its queue.
pub(super) fn shows_speed(
    service: &Service,
    state: &State,
    before: Load,
    estimate: &Estimate,
    now: Time,
) -> bool {
    if state.speed.stall(now).is_some() {
        false
    } else if service.model.is_some() {
        estimate.unread >= MIN_READ_TOKENS && before.unread <= estimate.unread / 2
    } else {
        before.running < state.info.slots
    }
}

/// Returns the digest of an endpoint's id, the same for all processes under it.
fn subject(id: &str) -> Subject {
    /// Start time that stands for all processes under the id.
    const ANY_START: u64 = 0;
    digest(id, ANY_START)
}

/// Returns whether a factor has changed so much that it is logged.
fn differs(one: Pace, other: Pace) -> bool {
    let changed = |one: f64, other: f64| (one / other).max(other / one) >= NOTED_CHANGE;
    changed(one.reading, other.reading) || changed(one.step, other.step)
}
