//! Endpoints: attempts run there for a while, and endpoints report their load and crash.

use std::time::Duration;

use peridotdeck_core::{Event, engine::Report, event::End, id};
use peridotdeck_wire::Outcome;

use super::{COLD_SLOTS, Ending, SLOTS, Simulation};

/// An attempt at an endpoint.
pub(super) struct Run {
    pub(super) vm: usize,
    pub(super) request: id::Request,
    pub(super) attempt: id::Attempt,
    endpoint: id::Endpoint,
    end: Duration,
    state: RunState,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum RunState {
    Running,
    /// The attempt did not reach the endpoint.
    Unreachable,
    /// The endpoint crashed during the run.
    Broken,
}

impl Simulation {
    pub(super) fn dispatch(
        &mut self,
        vm: usize,
        request: id::Request,
        attempt: id::Attempt,
        endpoint: id::Endpoint,
    ) {
        let node = self.vms[vm]
            .node
            .as_ref()
            .expect("the node that dispatches is running");
        let flight = node
            .request_table()
            .flights()
            .iter()
            .find(|flight| flight.request == request);
        let key = flight
            .and_then(|flight| flight.call.claim.as_ref())
            .map(|claim| claim.key.clone());
        let unreachable = self.unreachable.contains(&endpoint);
        if !unreachable {
            *self.runs_by_endpoint.entry(endpoint).or_default() += 1;
            self.reached.push(request);
            if let Some(key) = key {
                let runs = self.runs_by_key.entry(key).or_default();
                *runs += 1;
                assert_eq!(*runs, 1, "a request that must run at most once ran twice");
            }
        }
        let (end, state) = if unreachable {
            (self.now, RunState::Unreachable)
        } else {
            (self.now + self.service_time, RunState::Running)
        };
        self.runs.push(Run {
            vm,
            request,
            attempt,
            endpoint,
            end,
            state,
        });
        self.check_capacity(endpoint);
    }

    /// Asserts that all nodes together send an engine no more requests than it has slots.
    ///
    /// A warm engine may get two more, as explained below.
    fn check_capacity(&self, endpoint: id::Endpoint) {
        let running = self.count_running_at(endpoint);
        let is_engine = self.config.services.iter().any(|service| {
            service.name == "wickmind"
                && service.endpoints.iter().any(|engine| engine.id == endpoint)
        });
        // If nothing runs on an endpoint that restarts, owners notice the restart only from its
        // next load report, which they fetch once a second.
        let crashed = self.crashed_at.get(&endpoint).copied();
        if crashed.is_some_and(|time| self.now < time + Duration::from_millis(1_100)) {
            return;
        }
        // While the owner does not answer, two nodes may send to a warm endpoint without a grant;
        // the endpoint queues these requests. A cold endpoint must never get more than its slots.
        let ungranted = if self.slots(endpoint) == SLOTS { 2 } else { 0 };
        let limit = self.slots(endpoint) + ungranted;
        assert!(
            !is_engine || running <= limit,
            "endpoint {endpoint} runs {running} requests; its limit is {limit}\n{}",
            self.describe(endpoint)
        );
    }

    /// Describes the runs at an endpoint and the owners' view of it, for a failed assertion.
    fn describe(&self, endpoint: id::Endpoint) -> String {
        let mut lines = vec![format!("now {:?}", self.now)];
        for run in self.runs.iter().filter(|run| run.endpoint == endpoint) {
            lines.push(format!(
                "VM {} runs {:x} until {:?}",
                run.vm, run.attempt, run.end
            ));
        }
        for (index, vm) in self.vms.iter().enumerate() {
            let Some(node) = &vm.node else { continue };
            for pool in node.pools().schedulers() {
                for engine in pool
                    .engines()
                    .iter()
                    .filter(|engine| engine.id() == endpoint)
                {
                    let (phase, in_flight) = (engine.phase(), engine.in_flight());
                    lines.push(format!("VM {index} owns: {phase:?}, {in_flight} in flight"));
                }
            }
            for flight in node.request_table().flights() {
                lines.push(format!(
                    "VM {index} {:x} {:?}",
                    flight.request, flight.stage
                ));
            }
        }
        lines.join("\n")
    }

    pub(super) fn report_load(&mut self, vm: usize, endpoint: id::Endpoint) {
        if self.unreachable.contains(&endpoint) || self.is_paused(vm) {
            return;
        }
        let running = self.count_running_at(endpoint);
        let boot = self.boots.get(&endpoint).copied().unwrap_or(0);
        let warm = self.slots(endpoint) == SLOTS;
        self.handle_event(
            vm,
            Event::Reported {
                endpoint,
                report: Report {
                    boot,
                    running,
                    queued: 0,
                    warm,
                },
            },
        );
    }

    /// Returns the number of requests that an endpoint runs.
    ///
    /// Requests of paused nodes count, since the endpoint runs them all the same.
    fn count_running_at(&self, endpoint: id::Endpoint) -> u32 {
        let at_endpoint = self.runs.iter().filter(|run| run.endpoint == endpoint);
        at_endpoint
            .filter(|run| run.state == RunState::Running && run.end > self.now)
            .count() as u32
    }

    /// Returns the number of slots that an engine can use.
    ///
    /// Each request that it finishes adds one, until it is warm.
    fn slots(&self, endpoint: id::Endpoint) -> u32 {
        let finished = self
            .finished_by_endpoint
            .get(&endpoint)
            .copied()
            .unwrap_or(0);
        (COLD_SLOTS + finished).min(SLOTS)
    }

    pub(super) fn stop_attempt(&mut self, attempt: id::Attempt) {
        if let Some(index) = self.runs.iter().position(|run| run.attempt == attempt) {
            let run = self.runs.swap_remove(index);
            let disconnected = self.endings.get(&run.request) == Some(&Ending::Disconnected);
            let outcome = if disconnected {
                Outcome::Cancelled
            } else {
                Outcome::Preempted
            };
            self.end_attempt(&run, outcome);
        }
    }

    fn end_attempt(&mut self, run: &Run, outcome: Outcome) {
        if outcome == Outcome::Finished {
            *self.finished_by_endpoint.entry(run.endpoint).or_default() += 1;
            self.record_ending(run.request, Ending::Finished);
        }
        let end = End {
            outcome,
            tokens: 0,
            is_partial: false,
            time_to_first_token: Some(Duration::from_millis(30)),
            duration: self.service_time,
            answer: Some((200, "done".to_owned())),
        };
        self.handle_event(
            run.vm,
            Event::Ended {
                attempt: run.attempt,
                end,
            },
        );
    }

    /// Crashes an endpoint; the attempts that it runs end as broken.
    pub fn crash_endpoint(&mut self, endpoint: id::Endpoint) {
        self.finished_by_endpoint.insert(endpoint, 0);
        *self.boots.entry(endpoint).or_default() += 1;
        self.crashed_at.insert(endpoint, self.now);
        let now = self.now;
        for run in self.runs.iter_mut().filter(|run| run.endpoint == endpoint) {
            (run.end, run.state) = (now, RunState::Broken);
        }
        self.finish_runs();
    }

    pub(super) fn finish_runs(&mut self) {
        let due: Vec<Run> = {
            let (now, vms) = (self.now, &self.vms);
            let ready = |run: &mut Run| run.end <= now && vms[run.vm].paused_until <= now;
            self.runs.extract_if(.., ready).collect()
        };
        for run in due {
            let outcome = match run.state {
                RunState::Running => Outcome::Finished,
                RunState::Unreachable => Outcome::Unreachable,
                RunState::Broken => Outcome::Broken,
            };
            self.end_attempt(&run, outcome);
        }
    }
}
