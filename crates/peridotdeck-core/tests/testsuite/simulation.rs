//! A simulated cluster: a few nodes, a lossy network and endpoints that answer after a delay.
//!
//! The simulation asserts invariants that span nodes at every step. The program itself asserts
//! those of a single node.

use std::{collections::BTreeMap, time::Duration};

use peridotdeck_core::{
    Action, Event, Node, Strategy, Verdict,
    engine::Report,
    event::End,
    flight::Stage,
    id,
    node::{Setup, TICK_INTERVAL},
    request::{Call, Claim, Refusal},
};
use peridotdeck_policy::{Class, Config, Organisation, Parts, Policy, Service, digest_name, split};
use peridotdeck_wire::{Delta, Envelope, Member, Outcome, Part};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Slots of each warm engine.
pub const SLOTS: u32 = 4;
/// Slots of each cold engine.
pub const COLD_SLOTS: u32 = 1;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    Finished,
    Refused(Refusal),
    Replayed,
    /// The caller disconnected, or the node that served it was killed.
    Disconnected,
}

/// A VM and the router node that runs on it.
pub struct Vm {
    /// None while the node's process is dead.
    pub node: Option<Node>,
    pub id: id::Node,
    pub data_centre: String,
    started: Duration,
    incarnation: u64,
    sequence: u64,
    paused_until: Duration,
    /// Newest configuration revision that this process had in force.
    highest_revision: id::Revision,
}

/// A message that is still on its way.
struct Message {
    due: Duration,
    to: id::Node,
    envelope: Envelope,
}

/// An attempt at an endpoint.
struct Run {
    vm: usize,
    request: id::Request,
    attempt: id::Attempt,
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

/// Faults of the network between nodes.
#[derive(Clone, Copy, Default)]
pub struct Network {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is delivered twice.
    pub duplication: f64,
    /// Longest delivery time in ms; each message's time is random between 0 and this.
    pub max_delay_ms: u64,
}

pub struct Simulation {
    pub now: Duration,
    pub vms: Vec<Vm>,
    pub network: Network,
    /// Time that each endpoint takes for a request.
    pub service_time: Duration,
    pub endings: BTreeMap<id::Request, Ending>,
    /// Runs per idempotency key.
    pub runs_by_key: BTreeMap<String, u32>,
    /// Endpoints that no node can reach.
    pub unreachable: Vec<id::Endpoint>,
    /// Data centres that reach neither the other data centres nor the platform.
    pub partitioned: Vec<String>,
    pub config: Config,
    pub revision: id::Revision,
    /// Revision that the platform serves while it is stale.
    pub stale_revision: Option<id::Revision>,
    /// Events that all nodes have handled.
    pub events: u64,
    pub runs_by_endpoint: BTreeMap<id::Endpoint, u32>,
    pub finished_by_endpoint: BTreeMap<id::Endpoint, u32>,
    boots: BTreeMap<id::Endpoint, u64>,
    crashed_at: BTreeMap<id::Endpoint, Duration>,
    parts: Vec<Part>,
    vm_list_revision: id::Revision,
    messages: Vec<Message>,
    runs: Vec<Run>,
    /// Requests that have reached an endpoint.
    reached: Vec<id::Request>,
    rng: SmallRng,
}

/// Builds a configuration with two engines and one plain endpoint in each data centre.
///
/// Each entry of `data_centres` is a name and the number of VMs there.
pub fn build_config(data_centres: &[(&str, usize)]) -> Config {
    let mut policy = Policy::new()
        .class(Class::interactive("counter", 0).first_token_ms(440))
        .class(Class::interactive("advice", 1).first_token_ms(1_000))
        .class(Class::interactive("reorder", 0).whole_ms(4_000))
        .class(
            Class::bulk("draft", 4)
                .whole_ms(3_600_000)
                .min_share_percent(10),
        )
        .organisation(
            Organisation::named("matrah")
                .key("m")
                .rate(10_000, 10_000)
                .concurrency(10_000),
        )
        .organisation(
            Organisation::named("barka")
                .key("b")
                .rate(10_000, 10_000)
                .concurrency(10_000),
        );
    let mut model = Service::model("wickmind", "counter");
    let mut plain = Service::plain("refill-desk", "reorder").unrepeatable("/", "reorder");
    for (index, (data_centre, _)) in data_centres.iter().enumerate() {
        policy = policy.place(data_centre, &format!("region-{index}"));
        for port in 0..2 {
            let address = format!("127.0.0.1:{}", 9_000 + index * 10 + port);
            model = model.sized_endpoint(data_centre, &address, SLOTS, COLD_SLOTS);
        }
        plain = plain.sized_endpoint(data_centre, &format!("127.0.0.1:{}", 9_500 + index), 64, 64);
    }
    policy
        .service(model)
        .service(plain)
        .build()
        .expect("the test configuration is valid")
}

impl Simulation {
    pub fn new(data_centres: &[(&str, usize)], seed: u64) -> Self {
        let mut sim = Self {
            now: Duration::ZERO,
            vms: Vec::new(),
            network: Network {
                max_delay_ms: 3,
                ..Network::default()
            },
            service_time: Duration::from_millis(200),
            endings: BTreeMap::new(),
            runs_by_key: BTreeMap::new(),
            unreachable: Vec::new(),
            partitioned: Vec::new(),
            config: build_config(data_centres),
            revision: 0,
            stale_revision: None,
            events: 0,
            runs_by_endpoint: BTreeMap::new(),
            finished_by_endpoint: BTreeMap::new(),
            boots: BTreeMap::new(),
            crashed_at: BTreeMap::new(),
            parts: Vec::new(),
            vm_list_revision: 0,
            messages: Vec::new(),
            runs: Vec::new(),
            reached: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        for (data_centre, count) in data_centres {
            for _ in 0..*count {
                sim.add_vm(data_centre);
            }
        }
        sim.publish();
        sim.advance_vm_list_revision();
        sim
    }

    /// Starts a simulation and lets the nodes find each other and load the configuration.
    pub fn settled(data_centres: &[(&str, usize)], seed: u64) -> Self {
        let mut sim = Self::new(data_centres, seed);
        sim.advance_ms(8_000);
        sim
    }

    /// Starts a simulation whose engines are warm, so that all their slots are usable.
    pub fn warmed(data_centres: &[(&str, usize)], seed: u64) -> Self {
        let mut sim = Self::settled(data_centres, seed);
        for service in &sim.config.services {
            sim.finished_by_endpoint.extend(
                service
                    .endpoints
                    .iter()
                    .map(|endpoint| (endpoint.id, SLOTS)),
            );
        }
        sim.advance_ms(2_000);
        sim
    }

    pub fn add_vm(&mut self, data_centre: &str) -> usize {
        let id = self.vms.len() as u32 + 1;
        self.vms.push(Vm {
            node: None,
            id,
            data_centre: data_centre.to_owned(),
            started: self.now,
            incarnation: 0,
            sequence: 0,
            paused_until: Duration::ZERO,
            highest_revision: 0,
        });
        let vm = self.vms.len() - 1;
        self.start_node(vm);
        vm
    }

    /// Starts a VM's node with empty memory and a new incarnation.
    pub fn start_node(&mut self, vm: usize) {
        let now = self.now;
        let vm = &mut self.vms[vm];
        vm.incarnation += 1;
        vm.started = now;
        vm.highest_revision = 0;
        vm.node = Some(Node::new(Setup {
            node: vm.id,
            data_centre: vm.data_centre.clone(),
            incarnation: vm.incarnation,
            seed: u64::from(vm.id),
            strategy: Strategy::Deadline,
        }));
    }

    /// Kills the process of a node.
    ///
    /// Its runs would go on at the endpoints, but no process is left that reads their answers, so
    /// the simulation drops them.
    pub fn kill_node(&mut self, vm: usize) {
        if let Some(node) = self.vms[vm].node.take() {
            for flight in node.request_table().flights() {
                self.endings.insert(flight.request, Ending::Disconnected);
            }
        }
        self.runs.retain(|run| run.vm != vm);
    }

    /// Suspends the process of a node.
    pub fn pause_node(&mut self, vm: usize, time: Duration) {
        self.vms[vm].paused_until = self.now + time;
    }

    /// Publishes the current configuration under a new revision.
    pub fn publish(&mut self) {
        self.revision += 1;
        let parts: Parts = split(&self.config);
        for (key, value) in parts {
            let part = Part {
                key,
                revision: self.revision,
                value: value.to_string(),
            };
            match self.parts.iter_mut().find(|old| old.key == part.key) {
                Some(old) if old.value == part.value => {}
                Some(old) => *old = part,
                None => self.parts.push(part),
            }
        }
    }

    /// Gives the VM list a new revision.
    pub fn advance_vm_list_revision(&mut self) {
        self.vm_list_revision += 1;
    }

    fn members(&self) -> Vec<Member> {
        let vms = self.vms.iter();
        vms.map(|vm| Member {
            node: vm.id,
            place: vm.data_centre.clone(),
            peers: String::new(),
            callers: String::new(),
            leaving: false,
        })
        .collect()
    }

    /// Answers a node's watch as the platform does.
    fn answer_watch(&mut self, vm: usize) {
        if self.partitioned.contains(&self.vms[vm].data_centre) {
            return;
        }
        let Some(node) = &self.vms[vm].node else {
            return;
        };
        let from = node.config().revision();
        let to = self.stale_revision.unwrap_or(self.revision);
        if from >= to && node.view().vm_list_revision() >= self.vm_list_revision {
            return;
        }
        let parts = self
            .parts
            .iter()
            .filter(|part| part.revision > from && part.revision <= to)
            .cloned()
            .collect();
        let (roster, members) = (self.vm_list_revision, self.members());
        self.handle_event(
            vm,
            Event::Published(Delta {
                nonce: 0,
                from,
                to,
                parts,
                roster,
                members,
            }),
        );
    }

    pub fn is_paused(&self, vm: usize) -> bool {
        self.vms[vm].paused_until > self.now
    }

    pub fn handle_event(&mut self, vm: usize, event: Event) {
        self.events += 1;
        let now = self.now.saturating_sub(self.vms[vm].started);
        let Some(node) = self.vms[vm].node.as_mut() else {
            return;
        };
        let actions = node.handle(now, event);
        let revision = node.config().revision();
        assert!(
            revision >= self.vms[vm].highest_revision,
            "the configuration revision decreased"
        );
        self.vms[vm].highest_revision = revision;
        for action in actions {
            self.perform(vm, action);
        }
    }

    fn perform(&mut self, vm: usize, action: Action) {
        match action {
            Action::Dispatch {
                request,
                attempt,
                endpoint,
            } => self.dispatch(vm, request, attempt, endpoint),
            Action::Refuse { request, refusal } => {
                let reached = self.reached.contains(&request);
                assert!(
                    refusal.verdict != Verdict::NotRun || !reached,
                    "a request that reached an endpoint was refused as not run"
                );
                self.record_ending(request, Ending::Refused(refusal));
            }
            Action::Replay { request, .. } => self.record_ending(request, Ending::Replayed),
            Action::Stop { attempt } => self.stop_attempt(attempt),
            Action::Send { to, body } => self.send_message(vm, &to, body),
            Action::Poll { endpoint } => self.report_load(vm, endpoint),
            _ => {}
        }
    }

    fn report_load(&mut self, vm: usize, endpoint: id::Endpoint) {
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

    fn record_ending(&mut self, request: id::Request, ending: Ending) {
        let old = self.endings.insert(request, ending);
        // A request may still end after its caller has disconnected.
        let is_first = old.is_none_or(|old| old == Ending::Disconnected);
        assert!(is_first, "request {request:x} ended twice");
    }

    fn dispatch(
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

    fn stop_attempt(&mut self, attempt: id::Attempt) {
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

    fn send_message(&mut self, vm: usize, to: &Member, body: peridotdeck_wire::Body) {
        let from = &mut self.vms[vm];
        from.sequence += 1;
        let envelope = Envelope {
            sender: from.id,
            incarnation: from.incarnation,
            place: digest_name(&from.data_centre) as u32,
            sequence: from.sequence,
            body,
        };
        let is_partitioned = from.data_centre != to.place
            && (self.partitioned.contains(&from.data_centre)
                || self.partitioned.contains(&to.place));
        if is_partitioned || self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplication));
        for _ in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(0..=self.network.max_delay_ms));
            let message = Message {
                due: self.now + delay,
                to: to.node,
                envelope: envelope.clone(),
            };
            self.messages.push(message);
        }
    }

    /// Advances the simulated time in steps of 1 ms.
    pub fn advance_ms(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.step();
        }
    }

    /// Forgets all runs when no ready witness is left: only the endpoints would know of them then.
    fn forget_unwitnessed_runs(&mut self) {
        let is_ready_witness = |vm: &Vm| {
            vm.node
                .as_ref()
                .is_some_and(|node| node.witness().is_ready())
        };
        if self.now > Duration::from_secs(8) && !self.vms.iter().any(is_ready_witness) {
            self.runs_by_key.clear();
        }
    }

    fn step(&mut self) {
        /// Time between two deliveries.
        const STEP: Duration = Duration::from_millis(1);
        self.now += STEP;
        self.forget_unwitnessed_runs();
        self.deliver_messages();
        self.finish_runs();
        if self
            .now
            .as_millis()
            .is_multiple_of(TICK_INTERVAL.as_millis())
        {
            for vm in 0..self.vms.len() {
                if !self.is_paused(vm) {
                    self.handle_event(vm, Event::Tick);
                    self.answer_watch(vm);
                }
            }
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let paused: Vec<id::Node> = (0..self.vms.len())
            .filter(|&vm| self.is_paused(vm))
            .map(|vm| self.vms[vm].id)
            .collect();
        let due = |message: &mut Message| message.due <= now && !paused.contains(&message.to);
        let messages: Vec<Message> = self.messages.extract_if(.., due).collect();
        for message in messages {
            if let Some(vm) = self.vms.iter().position(|vm| vm.id == message.to) {
                self.handle_event(vm, Event::Message(message.envelope));
            }
        }
    }

    fn finish_runs(&mut self) {
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

    /// Sends a request to a VM's node; returns none if its process is dead or paused.
    pub fn send(&mut self, vm: usize, call: Call) -> Option<id::Request> {
        if self.is_paused(vm) {
            return None;
        }
        let request = self.vms[vm].node.as_mut()?.next_request_id();
        self.handle_event(vm, Event::Arrive { request, call });
        Some(request)
    }

    pub fn node(&self, vm: usize) -> &Node {
        self.vms[vm]
            .node
            .as_ref()
            .expect("the VM's node is running")
    }

    /// Returns the number of running requests of a class, over all nodes.
    pub fn count_running(&self, class: &str) -> usize {
        let nodes = self.vms.iter().filter_map(|vm| vm.node.as_ref());
        let flights = nodes.flat_map(|node| node.request_table().flights());
        flights
            .filter(|flight| {
                flight.call.class == class && matches!(flight.stage, Stage::Running(_))
            })
            .count()
    }

    /// Returns the number of finished requests, over all nodes.
    pub fn count_finished(&self) -> usize {
        self.endings
            .values()
            .filter(|ending| **ending == Ending::Finished)
            .count()
    }
}

/// Returns a resumable call to the model service.
pub fn call(class: &str, organisation: &str, serial: u64) -> Call {
    Call {
        organisation: organisation.to_owned(),
        service: "wickmind".to_owned(),
        class: class.to_owned(),
        prompt_tokens: 100,
        max_tokens: 0,
        prefix: 0,
        fingerprint: serial + 1,
        idempotent: true,
        resumable: true,
        claim: None,
    }
}

/// Returns a call of the class reorder, which has an idempotency key and runs at most once.
pub fn reorder_call(key: u64) -> Call {
    Call {
        service: "refill-desk".to_owned(),
        class: "reorder".to_owned(),
        idempotent: false,
        resumable: false,
        claim: Some(Claim {
            key: format!("{key:032x}"),
            digest: key,
        }),
        ..call("reorder", "matrah", key << 20)
    }
}
