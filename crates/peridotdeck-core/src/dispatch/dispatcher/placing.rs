//! Admission of requests, and the choice of an endpoint for each.

use std::{sync::Arc, time::Duration};

use rand::Rng;

use super::{
    Dispatcher,
    ranking::Ranking,
    speeds::shows_speed,
    waiting::{MAX_UNCONFIGURED_RETRY_AFTER, RETRY_AFTER_FRACTION, give_up},
};
use crate::{
    dispatch::{
        Key,
        attempt::{Assignment, Attempt, Delay, Placement, WaitCause},
        config::{Organisation, Route, Service, Share},
        data_centre,
        endpoint::Load,
        feature::Feature,
        flight::{DecodedRequest, Flight, Target},
        id_key,
        placement::{Estimate, Exclusion},
        refusal::{Cause, Refusal},
    },
    id::{Fingerprint, Time},
};

/// Multiple of the expected time to an answer after which another endpoint is tried.
///
/// The other one queues the request behind its own ones, and reads its prompt again. A wait that a
/// queue explains is therefore no reason to give up a place in it.
const HEDGE_FACTOR: f64 = 4.0;

/// Smallest and largest fraction of the target after which another endpoint is tried.
const HEDGE_TARGET_FRACTIONS: (f64, f64) = (0.5, 1.0);

/// Largest time that callers are told to wait for the memory that others' bodies use.
const MAX_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after which a request demands a place at a second brittle endpoint too.
///
/// Of two places it leaves one unused, which nobody else has for a while.
const SECOND_DEMAND_DELAY: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Returns the organisation that a request is counted for, if its route is not public.
    ///
    /// # Errors
    /// If no route matches, or the key belongs to no organisation where one is needed.
    pub fn identify(
        &self,
        request: &DecodedRequest,
    ) -> Result<(Arc<Route>, Option<Arc<Organisation>>), Cause> {
        let config = self.registry.config().ok_or(Cause::Unconfigured)?;
        let route = config.route(&request.host, &request.path);
        let route = route.ok_or(Cause::NoRoute)?;
        let key = request.key.as_deref();
        let owner = key.and_then(|key| config.organisation(key));
        if owner.is_none() && !route.public && !config.organisations.is_empty() {
            return Err(Cause::BadKey);
        }
        let organisation = owner.filter(|_| !route.public);
        Ok((Arc::clone(route), organisation.cloned()))
    }

    /// Refuses a request whose body the node cannot keep, until a time when it probably can.
    pub fn refuse_body(&mut self, max_wait: Option<Duration>) -> Refusal {
        let most = max_wait.unwrap_or(MAX_MEMORY_RETRY_AFTER);
        let most = most.mul_f64(RETRY_AFTER_FRACTION);
        let wait = self.random_upper_third(most.min(MAX_MEMORY_RETRY_AFTER));
        Refusal::not_run(Cause::NoMemory, Some(wait))
    }

    /// Admits a request: finds its route and organisation and chooses a service.
    ///
    /// # Errors
    /// Returns the refusal if there is no configuration, no matching route or no valid key, or if
    /// the request is quarantined.
    pub fn admit(
        &mut self,
        request: DecodedRequest,
        fingerprint: Fingerprint,
        now: Time,
    ) -> Result<Flight, Refusal> {
        let Some(config) = self.registry.config().cloned() else {
            let max_wait = request.max_wait.unwrap_or(MAX_UNCONFIGURED_RETRY_AFTER);
            let wait = self.random_upper_third(
                max_wait
                    .mul_f64(RETRY_AFTER_FRACTION)
                    .min(MAX_UNCONFIGURED_RETRY_AFTER),
            );
            return Err(Refusal::not_run(Cause::Unconfigured, Some(wait)));
        };
        let (route, organisation) = self
            .identify(&request)
            .map_err(|cause| Refusal::not_run(cause, None))?;
        let max_wait = request.max_wait.unwrap_or(route.timeout).min(route.timeout);
        let trial = self.check_quarantine(&request, fingerprint, max_wait, now)?;
        let service = self.choose_service(&route.split);
        self.budget.count_request(&service, now);
        let rank = config.rank(&route, organisation.as_deref());
        let urgent = config.is_urgent_stream(&route, &service);
        let repeats = self.note_arrival(&service, rank, fingerprint, now);
        // A public route counts a request for no organisation, but its key says whose data it holds.
        let owner = request.key.as_deref();
        let owner = owner.and_then(|key| config.organisation(key));
        let target = Target {
            host: request.host,
            path: request.path,
            organisation: owner.map(|owner| owner.name.clone()),
        };
        let mut regions = config.regions(&target);
        if let Some(owner) = owner {
            // Another organisation may have the same name.
            regions.narrow(&owner.regions);
        }
        Ok(Flight {
            regions,
            target,
            id: request.id,
            rank,
            urgent,
            organisation,
            resumes: request.resumes,
            prompt: request.prompt,
            fingerprint,
            trial,
            repeats,
            deadline: now + max_wait,
            service,
            ..Flight::new(route, config.version, now)
        })
    }

    /// Returns a service at random, in proportion to the weights.
    pub(super) fn choose_service(&mut self, split: &[Share]) -> String {
        let total: u32 = split.iter().map(|share| share.weight).sum();
        let mut remaining = if total > 0 {
            self.rng.random_range(0..total)
        } else {
            0
        };
        for share in split {
            if remaining < share.weight {
                return share.service.clone();
            }
            remaining -= share.weight;
        }
        split
            .first()
            .map(|share| share.service.clone())
            .unwrap_or_default()
    }

    /// Decides whether to send a request to an endpoint now, let it wait, or refuse it.
    pub fn place(&mut self, flight: &mut Flight, now: Time) -> Placement {
        let placement = self.decide(flight, now);
        match placement {
            Placement::Send(_) => self.end_wait(flight),
            Placement::Wait(_) => {}
            Placement::Refuse(..) => self.note_unserved(flight, now),
        }
        placement
    }

    fn decide(&mut self, flight: &mut Flight, now: Time) -> Placement {
        if flight.time_left(now).is_zero() {
            return Placement::Refuse(give_up(flight, Cause::TimedOut, None), Vec::new());
        }
        if let Some(refusal) = self.refuse_late(flight, now) {
            return Placement::Refuse(refusal, Vec::new());
        }
        if let Err(refusal) = self.recheck_quarantine(flight, now) {
            return Placement::Refuse(refusal, Vec::new());
        }
        if let Some(placement) = self.resolve_version(flight, now) {
            return placement;
        }
        let Some(config) = self.registry.config().cloned() else {
            return Placement::Wait(Delay::poll(WaitCause::Unconfigured));
        };
        self.narrow_regions(flight);
        let unknown = Service::default();
        let service = config.service(&flight.service).unwrap_or(&unknown);
        let Ranking {
            mut endpoints,
            mut exclusions,
            choice,
        } = self.rank(flight, service, now);
        let has_shares = self.options.features.has(Feature::Shares);
        if has_shares && let Some(placement) = self.share_room(flight, service, &mut endpoints, now)
        {
            return placement;
        }
        let mut within_rate = endpoints
            .iter()
            .filter(|(key, _)| self.rate_admits(*key, flight.rank, now));
        if !has_shares
            && let Some((key, estimate)) = within_rate.next()
            && let Some(delay) = self.defer(flight, service, *key, estimate, now)
        {
            return Placement::Wait(delay);
        }
        let since = flight.waiting_since.unwrap_or(now);
        let waits = now.saturating_sub(since) >= SECOND_DEMAND_DELAY;
        let demands = 1 + usize::from(waits);
        let mut full = 0;
        let mut candidates = choice.candidates;
        for (key, estimate) in endpoints {
            let admitted = self
                .admit_rate(key, flight, full < demands, now)
                .and_then(|()| self.admit_cold(key, service, now));
            match admitted {
                Ok(()) => {
                    let assignment = self.assign(key, estimate, flight, service, now);
                    return Placement::Send(Assignment {
                        candidates,
                        ..assignment
                    });
                }
                Err(exclusion) => {
                    candidates = 0;
                    full += usize::from(exclusion == Exclusion::Full);
                    exclusions.push(exclusion);
                }
            }
        }
        self.wait_or_refuse(flight, exclusions, now)
    }

    /// Counts a request towards this node's share of a cold endpoint's rate.
    ///
    /// A cold endpoint accepts requests from a few nodes of its data centre, at a fraction of its
    /// rate. They are the same for all processes under its id, as nodes learn of a restart at
    /// different times. Each node may accumulate an allowance of one request. If the data centre is
    /// split into two sets of nodes that cannot reach each other, each set may choose its own
    /// senders. Together they send at most five requests plus one and a half times the rate.
    ///
    /// # Errors
    /// Returns the reason if the endpoint is cold and this node may not send to it now.
    fn admit_cold(&mut self, key: Key, service: &Service, now: Time) -> Result<(), Exclusion> {
        /// Fraction of the rate that all senders together may use.
        const USED_FRACTION: f64 = 0.6;
        /// Number of senders to an endpoint with a rate near 0, and the increase for each request
        /// per second.
        const SENDER_COUNT: (f64, f64) = (2.5, 0.15);
        let index = self.find(key).map_err(|_| Exclusion::Resting)?;
        let state = &self.states[index];
        let rate = service.cold_rate;
        if rate <= 0.0 || !state.is_cold(now) {
            return Ok(());
        }
        let here = data_centre(&self.options.data_centre);
        let senders = (SENDER_COUNT.0 + SENDER_COUNT.1 * rate) as usize;
        if state.info.data_centre != self.options.data_centre
            || self.fleet.is_isolated(now)
            || !self
                .fleet
                .is_among_first(senders, id_key(&state.info.id), now)
        {
            return Err(Exclusion::ColdElsewhere);
        }
        let senders = senders.min(self.fleet.live_nodes(here, now).len()).max(1);
        let share = rate * USED_FRACTION / senders as f64;
        let taken = self.states[index].admit_while_cold(share, now);
        taken.map_err(|_| Exclusion::Cold)
    }

    /// Assigns a request to an endpoint and records the use of its prompt prefixes there.
    fn assign(
        &mut self,
        key: Key,
        estimate: Estimate,
        flight: &mut Flight,
        service: &Service,
        now: Time,
    ) -> Assignment {
        flight.waiting_since = None;
        flight.tried.push(key);
        self.spend_rate(key, flight.rank, now);
        if service.model.is_some() {
            for part in &flight.prompt.shared {
                self.prefixes.record_use(part.prefix, key, now);
                if self.prefixes.mark_announced_if_due(part.prefix, key, now) {
                    self.fleet.announce_prefix(part.prefix, key, true);
                }
            }
        }
        self.fleet.mark_changed();
        let source = estimate.source.and_then(|source| self.state(source));
        let source = source.map(|state| state.info.address);
        let hedge_after = hedge_after(flight, &estimate);
        let load = Load {
            running: 1,
            unread: estimate.unread,
            urgent: u32::from(flight.urgent),
        };
        self.await_answer(key, &estimate, now);
        let state = self
            .state_mut(key)
            .expect("only known endpoints are ranked");
        let before = state.load();
        let shows_speed = shows_speed(service, state, before, &estimate, now);
        state.own_load.add(load);
        Assignment {
            attempt: Attempt {
                key,
                software: state.software,
                detour: state.path.detour(),
                load,
                expected: estimate.time_to_first,
                work_ms: estimate.work_ms,
                overhead_ms: estimate.overhead_ms,
                shows_speed,
                sent: now,
                answered: None,
            },
            address: state.info.address,
            instance: state.info.id.clone(),
            version: state.info.version.clone(),
            // Its entry may be late, also while the publisher answers.
            confirm: flight.goes_on(),
            source,
            rank: flight.rank,
            hedge_after,
            estimate,
            load: before,
            candidates: 0,
            view_age: state.correction.age,
            corrected: state.correction.is_effective(),
        }
    }
}

/// Returns the time after which another endpoint is tried, if the request may run again.
fn hedge_after(flight: &Flight, estimate: &Estimate) -> Option<Duration> {
    let target = flight.route.target;
    let expected = estimate.time_to_first.mul_f64(HEDGE_FACTOR);
    let (least, most) = (
        target.mul_f64(HEDGE_TARGET_FRACTIONS.0),
        target.mul_f64(HEDGE_TARGET_FRACTIONS.1),
    );
    let may_rerun = flight.may_run_after(flight.runs + 1);
    may_rerun.then(|| expected.clamp(least, most))
}
