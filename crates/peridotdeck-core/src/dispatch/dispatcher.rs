//! All decisions of a node that places its own callers' requests.

use std::{net::SocketAddrV4, time::Duration};

use peridotdeck_wire::beat;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use strum::{Display, IntoStaticStr};

use super::{
    Key, Node, Prefix,
    budget::{Bound, Budget},
    config::{Kind, Route, Service},
    endpoint::{Load, State},
    fleet::{Fleet, Heard, Status},
    flight::{Ask, Flight},
    place,
    placement::{Bar, Estimate, Held, View, is_urgent},
    prefix::{Index, REFRESH},
    refusal::{Cause, Refusal},
    registry::{self, Area, Change, Registry, Report},
    strikes::{self, List},
};
use crate::{
    Verdict,
    id::{Fingerprint, Time},
};

/// Part of the target for which a request waits for an endpoint before it is refused.
const HOLD_PART: f64 = 0.3;

/// Shortest time for which a request waits for an endpoint.
const HOLD: Duration = Duration::from_millis(100);

/// Largest random addition to a score, so that nodes that see the same choose differently.
const JITTER: f64 = 8.0;

/// Pause between two looks for an endpoint.
const LOOK: Duration = Duration::from_millis(20);

/// Rejections that one request bears.
const MAX_REJECTIONS: u32 = 3;

/// Time that must be left for another attempt.
const WORTHWHILE: Duration = Duration::from_millis(50);

/// Shortest and longest time that a refused caller is told to stay away.
const RETURN: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(2));

/// Longest time that callers are told to stay away from a node without a configuration: what
/// publishes it is down, and nobody knows for how long.
const BLIND: Duration = Duration::from_secs(4);

/// Part of the caller's time that it may be told to stay away: callers ignore longer ones.
const RETURN_PART: f64 = 0.3;

/// Expected time of a plain service's answer before any was seen, in milliseconds.
const PLAIN_MS: f64 = 40.0;

/// Expected time of a whole stream before any was seen, in milliseconds.
const WHOLE_MS: f64 = 2_000.0;

/// Weight of the newest answer in running means.
const NEWEST: f64 = 0.05;

/// Odd factor that puts keys into an order of their own.
const SHUFFLE: Key = 0x9e37_79b1;

/// Weight of an end that says little about the endpoint.
const SLIGHT: f64 = 0.5;

/// Time between two clean-ups of what expires slowly.
const CLEAN_UP: Duration = Duration::from_secs(2);

/// Endpoints whose memory a node that has just started asks for.
const MOST_INQUIRIES: usize = 16;

/// Time after a broken attempt in which a failed probe proves that the endpoint crashed.
const CRASH: Duration = Duration::from_secs(2);

/// Time for which a peer may be ahead before a node that watches the publisher itself asks it.
const BEHIND: Duration = Duration::from_millis(150);

/// The same for a node that learns from peers.
const FOLLOW: Duration = Duration::from_millis(20);

/// Nodes of a data centre that watch the publisher: one may fail, or be turned away.
const WATCHERS: usize = 2;

/// Key by which they are ranked.
const WATCH_KEY: Key = 0x7761_7463;

/// Answers are awaited this many times longer than expected before another endpoint is asked.
const HEDGE_FACTOR: f64 = 2.5;

/// Shortest and longest part of the target after which another endpoint is asked.
const HEDGE_PARTS: (f64, f64) = (0.4, 0.65);

/// Fixed facts of a node.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address by which peers know this node.
    pub node: Node,
    /// Its data centre.
    pub place: String,
    /// All data centres with their regions, sorted.
    pub regions: Vec<(String, String)>,
    /// Nodes to begin with.
    pub seeds: Vec<Node>,
    /// Bound on repeats.
    pub repeats: Bound,
    /// Random number of the process.
    pub incarnation: u64,
    /// Time after its last use in which reading a part of a prompt again is paid for.
    pub reuse: Duration,
    /// Whether endpoints may hold prompts from before this process: it is no first start.
    pub inherits: bool,
}

/// What to do with a request now.
#[derive(Clone, Debug)]
pub enum Placement {
    /// Send it.
    Send(Order),
    /// Ask again after this time.
    Wait(Duration),
    /// Tell the caller.
    Refuse(Refusal),
}

/// An attempt to make.
#[derive(Clone, Debug)]
pub struct Order {
    /// The attempt, to be given back when it ends.
    pub attempt: Attempt,
    /// Where to send it.
    pub address: SocketAddrV4,
    /// Id that the endpoint must have.
    pub instance: String,
    /// Endpoint from which the beginning of the prompt should be fetched.
    pub source: Option<SocketAddrV4>,
    /// Rank at the endpoint; 0 is served first.
    pub rank: u8,
    /// Time without an answer after which another endpoint should be asked.
    pub hedge: Option<Duration>,
    /// What was expected of the endpoint.
    pub estimate: Estimate,
    /// Work that was known of at the endpoint.
    pub load: Load,
}

/// Work that was sent to an endpoint.
#[derive(Clone, Debug)]
pub struct Attempt {
    key: Key,
    load: Load,
    expected: Duration,
    sent: Time,
}

impl Attempt {
    /// Returns the endpoint.
    #[must_use]
    pub fn key(&self) -> Key {
        self.key
    }

    /// Returns when it was placed.
    #[must_use]
    pub fn sent(&self) -> Time {
        self.sent
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum End {
    /// The whole answer came.
    Finished,
    /// The endpoint answered that it failed.
    Failed,
    /// The endpoint vouches that it did not run it.
    Rejected,
    /// Another endpoint has the address; it did not run it.
    Misdirected,
    /// No connection was opened, so it did not run.
    Unreachable,
    /// The connection ended before the whole answer.
    Broken,
    /// What came was no answer, or another request's.
    Garbled,
    /// It took too long, and another endpoint was asked.
    Silent,
    /// Caller or route gave up.
    TimedOut,
    /// The caller has gone.
    Cancelled,
}

impl End {
    /// Returns whether the attempt may have run.
    #[must_use]
    pub fn verdict(self) -> Verdict {
        match self {
            Self::Finished | Self::Failed => Verdict::Ran,
            Self::Rejected | Self::Misdirected | Self::Unreachable => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }
}

/// What to do after an attempt without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Place it again.
    Again,
    /// Nothing more can be done; an answer that is there is passed on as it is.
    GiveUp(Refusal),
}

/// A connection to be opened, only to see whether it is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The endpoint.
    pub key: Key,
    /// Where it listens.
    pub address: SocketAddrV4,
}

/// Something to fetch from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Errand {
    /// Who has it.
    pub node: Node,
    /// What.
    pub area: Area,
}

/// A peer that knows a newer revision.
#[derive(Clone, Copy, Debug)]
struct Ahead {
    errand: Errand,
    revision: u64,
}

/// An endpoint whose memory should be listed.
pub type Inquiry = Probe;

/// What time brought.
#[derive(Clone, Debug, Default)]
pub struct Due {
    /// Endpoints whose memory should be listed.
    pub inquiries: Vec<Inquiry>,
    /// Beats to send.
    pub beats: Vec<(Node, beat::Beat)>,
    /// Connections to try.
    pub probes: Vec<Probe>,
    /// What peers know better.
    pub errands: Vec<Errand>,
    /// Endpoints whose time to come back is over.
    pub removed: Vec<registry::Endpoint>,
    /// Peers that fell silent.
    pub silent: Vec<Node>,
}

/// A suspicion that a request crashed an endpoint.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    key: Key,
    fingerprint: Fingerprint,
    at: Time,
}

/// Running means of one route or service.
#[derive(Clone, Debug)]
struct Mean {
    name: String,
    value: f64,
}

/// All state and all decisions of a node.
#[derive(Debug)]
pub struct Dispatcher {
    options: Options,
    region: String,
    registry: Registry,
    states: Vec<State>,
    prefixes: Index,
    fleet: Fleet,
    budget: Budget,
    strikes: List,
    suspects: Vec<Suspect>,
    plain: Vec<Mean>,
    whole: Vec<Mean>,
    failing: Vec<Mean>,
    pauses: Vec<Mean>,
    ahead: Vec<(Ahead, Time)>,
    clean_up_due: Time,
    inquiries: Vec<Inquiry>,
    rng: SmallRng,
}

impl Dispatcher {
    /// Starts a node that knows nothing but its options.
    #[must_use]
    pub fn new(options: Options, now: Time) -> Self {
        let region = region(&options.regions, &options.place);
        let here = place(&options.place);
        let fleet = Fleet::new(options.node, here, options.incarnation, &options.seeds, now);
        Self {
            region,
            registry: Registry::default(),
            states: Vec::new(),
            prefixes: Index::default(),
            fleet,
            budget: Budget::new(options.repeats),
            strikes: List::default(),
            suspects: Vec::new(),
            plain: Vec::new(),
            whole: Vec::new(),
            failing: Vec::new(),
            pauses: Vec::new(),
            ahead: Vec::new(),
            clean_up_due: now,
            inquiries: Vec::new(),
            rng: SmallRng::seed_from_u64(options.incarnation),
            options,
        }
    }

    /// Returns what is in force.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the node's view of its peers.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the endpoints, sorted by key.
    #[must_use]
    pub fn states(&self) -> &[State] {
        &self.states
    }

    /// Returns the number of prompt prefixes whose place is known.
    #[must_use]
    pub fn prefixes(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether requests can be served: the configuration is known and the node stays.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.registry.config().is_some() && !self.fleet.is_leaving()
    }

    /// Returns whether this node should watch the publisher itself, or learns from peers that do.
    #[must_use]
    pub fn is_watcher(&self, now: Time) -> bool {
        self.registry.config().is_none() || self.fleet.is_among(WATCHERS, WATCH_KEY, now)
    }

    /// Starts to leave.
    pub fn leave(&mut self) {
        self.fleet.leave();
    }

    /// Follows a change of the seeds.
    pub fn set_seeds(&mut self, seeds: &[Node], now: Time) {
        self.fleet.set_seeds(seeds, now);
    }

    // What the publisher and peers say.

    /// Notes that the publisher cannot be read.
    pub fn note_trouble(&mut self, now: Time) {
        self.registry.note_trouble(now);
    }

    /// Takes in what the publisher reports.
    pub fn publish(&mut self, report: Report, now: Time) -> Change {
        let change = self.registry.apply(report, now);
        self.follow(&change, now);
        change
    }

    /// Takes in what a peer handed over.
    pub fn adopt(&mut self, snapshot: registry::Snapshot, now: Time) -> Change {
        let change = self.registry.adopt(snapshot, now);
        self.follow(&change, now);
        change
    }

    fn follow(&mut self, change: &Change, now: Time) {
        if *change != Change::default() {
            self.fleet.touch();
        }
        let first = self.states.is_empty() && self.options.inherits;
        for endpoint in &change.removed {
            self.remove(endpoint);
        }
        for endpoint in &change.updated {
            let key = endpoint.key();
            match self.find(key) {
                Ok(at) => self.states[at].update(endpoint.clone(), now),
                Err(at) => {
                    let region = region(&self.options.regions, &endpoint.place);
                    let mut state = State::new(endpoint.clone(), region, now);
                    state.foreign = self.fleet.load(key);
                    if first {
                        let address = endpoint.address;
                        self.inquiries.push(Inquiry { key, address });
                    }
                    self.states.insert(at, state);
                }
            }
        }
    }

    fn remove(&mut self, endpoint: &registry::Endpoint) {
        let key = endpoint.key();
        if let Ok(at) = self.find(key) {
            self.states.remove(at);
        }
        self.prefixes.clear(key);
    }

    fn find(&self, key: Key) -> Result<usize, usize> {
        self.states.binary_search_by_key(&key, |each| each.key)
    }

    fn state_mut(&mut self, key: Key) -> Option<&mut State> {
        let at = self.find(key).ok()?;
        Some(&mut self.states[at])
    }

    // Peers.

    /// Takes in a peer's beat and returns the answer that it wants, if any, and whether it is new.
    pub fn hear(&mut self, beat: &beat::Beat, now: Time) -> (Option<beat::Beat>, bool) {
        let heard = self.fleet.hear(beat, now);
        self.follow_loads(&heard);
        let near = beat.place == place(&self.options.place);
        for holding in &beat.holdings {
            if self.find(holding.endpoint).is_err() {
                continue;
            }
            let (prefix, endpoint) = (holding.prefix, holding.endpoint);
            self.prefixes.note(prefix, endpoint, now);
            if !near && self.prefixes.is_news(prefix, endpoint, now) {
                self.fleet.tell(prefix, endpoint, false, now);
            }
        }
        for health in &beat.health {
            if let Some(state) = self.state_mut(health.endpoint) {
                let (good, bad) = (f64::from(health.good) / 8.0, f64::from(health.bad) / 8.0);
                state.told.set(good, bad, now);
            }
        }
        for strike in &beat.strikes {
            self.strikes.add(strike.fingerprint, strike.endpoint, now);
        }
        self.note_ahead(beat, now);
        let node = Node::from(beat.node);
        let answer = heard.answer.then(|| {
            let status = self.status(now);
            self.fleet.answer(node, &status, now)
        });
        (answer, heard.joined)
    }

    fn follow_loads(&mut self, heard: &Heard) {
        for (key, load) in &heard.removed {
            if let Some(state) = self.state_mut(*key) {
                state.foreign.subtract(*load);
            }
        }
        for (key, load) in &heard.added {
            if let Some(state) = self.state_mut(*key) {
                state.foreign.add(*load);
            }
        }
    }

    fn note_ahead(&mut self, beat: &beat::Beat, now: Time) {
        let node = Node::from(beat.node);
        for (area, revision) in [(Area::Policy, beat.policy), (Area::Roster, beat.roster)] {
            let known = self.ahead.iter().any(|(each, _)| each.errand.area == area);
            if revision > self.registry.revision(area).changed && !known {
                let errand = Errand { node, area };
                self.ahead.push((Ahead { errand, revision }, now));
            }
        }
    }

    fn status(&self, now: Time) -> Status {
        /// Endpoints whose health is told: those that failed most.
        const MOST_HEALTH: usize = 8;
        /// Strikes that are told.
        const MOST_STRIKES: usize = 8;
        let busy = self
            .states
            .iter()
            .filter(|state| state.own != Load::default());
        let eighths = |weight: f64| (weight * 8.0).round() as u32;
        let mut health: Vec<beat::Health> = self
            .states
            .iter()
            .map(|state| (state.key, state.health.weights(now)))
            .filter(|(_, (_, bad))| *bad > 0.1)
            .map(|(endpoint, (good, bad))| beat::Health {
                endpoint,
                good: eighths(good),
                bad: eighths(bad),
            })
            .collect();
        health.sort_unstable_by_key(|each| std::cmp::Reverse(each.bad));
        health.truncate(MOST_HEALTH);
        let strikes = self.strikes.news(now).take(MOST_STRIKES);
        Status {
            policy: self.registry.revision(Area::Policy).changed,
            roster: self.registry.revision(Area::Roster).changed,
            loads: busy.map(|state| (state.key, state.own)).collect(),
            health,
            strikes: strikes
                .map(|strike| beat::Strike {
                    endpoint: strike.endpoint,
                    fingerprint: strike.fingerprint,
                })
                .collect(),
        }
    }

    // Time.

    /// Does what time brings.
    pub fn tick(&mut self, now: Time) -> Due {
        let mut due = Due {
            removed: self.registry.tick(now),
            ..Due::default()
        };
        for endpoint in &due.removed {
            self.remove(endpoint);
        }
        let (removed, silent) = self.fleet.expire(now);
        due.silent = silent;
        let heard = Heard {
            removed,
            ..Heard::default()
        };
        self.follow_loads(&heard);
        if self.fleet.is_due(now) {
            let status = self.status(now);
            due.beats = self.fleet.beats(&status, now);
        }
        due.probes = self.probes(now);
        due.inquiries = self.inquiries();
        due.errands = self.errands(now);
        if now >= self.clean_up_due {
            self.clean_up_due = now + CLEAN_UP;
            self.prefixes.expire(now);
            self.strikes.expire(now);
            self.suspects
                .retain(|suspect| now.saturating_sub(suspect.at) < CRASH);
        }
        due
    }

    /// Memory is listed by endpoints with a model only, which the configuration tells; the list
    /// delays the endpoint, so a node of a large fleet asks only some, near ones first.
    fn inquiries(&mut self) -> Vec<Inquiry> {
        let Some(config) = self.registry.config() else {
            return Vec::new();
        };
        let wanted = std::mem::take(&mut self.inquiries);
        let states = wanted.iter().filter_map(|inquiry| {
            let at = self
                .states
                .binary_search_by_key(&inquiry.key, |each| each.key);
            Some((inquiry, &self.states[at.ok()?]))
        });
        let mut due: Vec<(bool, Inquiry)> = states
            .filter(|(_, state)| {
                let service = config.service(&state.info.service);
                service.is_some_and(|service| service.model.is_some())
            })
            .map(|(inquiry, state)| (state.info.place != self.options.place, *inquiry))
            .collect();
        due.sort_by_key(|(far, _)| *far);
        due.truncate(MOST_INQUIRIES);
        due.into_iter().map(|(_, inquiry)| inquiry).collect()
    }

    fn probes(&mut self, now: Time) -> Vec<Probe> {
        let mut probes = Vec::new();
        for state in &mut self.states {
            if state.probe_due().is_some_and(|due| due <= now) {
                state.start_probe();
                probes.push(Probe {
                    key: state.key,
                    address: state.info.address,
                });
            }
        }
        probes
    }

    /// What peers know better for a while: this node's own way to the publisher may be cut.
    fn errands(&mut self, now: Time) -> Vec<Errand> {
        let patience = if self.is_watcher(now) { BEHIND } else { FOLLOW };
        let late = |(_, since): &mut (Ahead, Time)| now.saturating_sub(*since) >= patience;
        let due: Vec<(Ahead, Time)> = self.ahead.extract_if(.., late).collect();
        let errands = due.into_iter().map(|(ahead, _)| ahead);
        errands
            .filter(|ahead| ahead.revision > self.registry.revision(ahead.errand.area).changed)
            .map(|ahead| ahead.errand)
            .collect()
    }

    /// Takes in what an endpoint's memory holds.
    pub fn inventory(&mut self, key: Key, parts: &[Prefix], now: Time) {
        if self.find(key).is_ok() {
            for part in parts {
                self.prefixes.note(*part, key, now);
            }
        }
    }

    /// Takes in the result of a probe.
    pub fn probed(&mut self, key: Key, accepted: bool, now: Time) {
        let Some(state) = self.state_mut(key) else {
            return;
        };
        if accepted {
            if state.revive() {
                self.treat_as_cold(key, now);
            }
            self.suspects.retain(|suspect| suspect.key != key);
            return;
        }
        state.fail(now);
        self.prefixes.clear(key);
        let crashed = |suspect: &mut Suspect| suspect.key == key;
        let culprits: Vec<Suspect> = self.suspects.extract_if(.., crashed).collect();
        for suspect in culprits {
            if now.saturating_sub(suspect.at) < CRASH {
                self.strikes.add(suspect.fingerprint, key, now);
                self.fleet.touch();
            }
        }
    }

    /// An endpoint that is back after it could not be reached may have restarted, before its new
    /// entry is known.
    fn treat_as_cold(&mut self, key: Key, now: Time) {
        let Some(config) = self.registry.config().cloned() else {
            return;
        };
        let Some(state) = self.state_mut(key) else {
            return;
        };
        if let Some(service) = config.service(&state.info.service)
            && service.cold_rate > 0.0
        {
            state.turn_cold(now + service.cold);
        }
    }

    /// Notes that an idle connection to an endpoint broke.
    pub fn suspect(&mut self, key: Key, now: Time) {
        if let Some(state) = self.state_mut(key) {
            state.suspect(now);
        }
    }

    // Requests.

    /// Finds the route and the organisation of a request and decides whether it may be served.
    ///
    /// # Errors
    /// Why it is refused.
    pub fn admit(
        &mut self,
        ask: Ask,
        fingerprint: Fingerprint,
        now: Time,
    ) -> Result<Flight, Refusal> {
        let Some(config) = self.registry.config().cloned() else {
            let patience = ask.patience.unwrap_or(BLIND);
            let wait = self.spread(patience.mul_f64(RETURN_PART).min(BLIND));
            return Err(Refusal::not_run(Cause::Unconfigured, Some(wait)));
        };
        let refuse = |cause| Err(Refusal::not_run(cause, None));
        let Some(route) = config.route(&ask.host, &ask.path) else {
            return refuse(Cause::NoRoute);
        };
        let holder = ask.key.as_deref().and_then(|key| config.organisation(key));
        if holder.is_none() && !route.public && !config.organisations.is_empty() {
            return refuse(Cause::BadKey);
        }
        let organisation = if route.public { None } else { holder.cloned() };
        if self.strikes.count(fingerprint) >= strikes::LIMIT {
            return refuse(Cause::Quarantined);
        }
        let patience = ask.patience.unwrap_or(route.timeout).min(route.timeout);
        let service = self.choose_service(&route.split);
        self.budget.note(&service, now);
        Ok(Flight {
            id: ask.id,
            rank: config.rank(route, organisation.as_deref()),
            route: route.clone(),
            organisation,
            version: config.version,
            prompt: ask.prompt,
            fingerprint,
            arrived: now,
            until: now + patience,
            service,
            tried: Vec::new(),
            runs: 0,
            rejections: 0,
            waiting: None,
        })
    }

    fn choose_service(&mut self, split: &[super::config::Share]) -> String {
        let total: u32 = split.iter().map(|share| share.weight).sum();
        let mut left = if total > 0 {
            self.rng.random_range(0..total)
        } else {
            0
        };
        for share in split {
            if left < share.weight {
                return share.service.clone();
            }
            left -= share.weight;
        }
        split
            .first()
            .map(|share| share.service.clone())
            .unwrap_or_default()
    }

    /// Decides what to do with a request now.
    pub fn place(&mut self, flight: &mut Flight, now: Time) -> Placement {
        if flight.left(now).is_zero() {
            return Placement::Refuse(give_up(flight, Cause::TimedOut, None));
        }
        let Some(config) = self.registry.config().cloned() else {
            return Placement::Wait(LOOK);
        };
        let unknown = Service::default();
        let service = config.service(&flight.service).unwrap_or(&unknown);
        let mut bars = Vec::new();
        let mut ranked = self.rank(flight, service, now, &mut bars);
        for (_, estimate) in &mut ranked {
            estimate.score += JITTER * self.rng.random::<f64>();
        }
        ranked.sort_by(|(_, one), (_, other)| one.score.total_cmp(&other.score));
        for (key, estimate) in ranked {
            match self.take(key, service, now) {
                Ok(()) => return Placement::Send(self.send(key, estimate, flight, service, now)),
                Err(bar) => bars.push(bar),
            }
        }
        self.hold(flight, &bars, now)
    }

    fn view<'a>(&'a self, service: &str, held: &'a [Held], now: Time) -> View<'a> {
        View {
            states: &self.states,
            held,
            closed: self.registry.closed(),
            recent: 0,
            quiet: &[],
            sensitive: false,
            place: &self.options.place,
            region: &self.region,
            plain_ms: mean(&self.plain, service, PLAIN_MS),
            whole_ms: mean(&self.whole, service, WHOLE_MS),
            usual_pace: self.usual_pace(service),
            now,
        }
    }

    /// Returns what each endpoint holds of a prompt's beginning.
    fn held(&self, flight: &Flight, now: Time) -> Vec<Held> {
        let held = |state: &State| {
            let mut held = Held::default();
            for part in &flight.prompt.shared {
                let Some(age) = self.prefixes.age(part.prefix, state.key, now) else {
                    break;
                };
                if held.read == held.sent && Index::is_read(age) {
                    held.read = part.tokens;
                }
                held.sent = part.tokens;
            }
            held
        };
        self.states.iter().map(held).collect()
    }

    /// Returns how many tokens of a prompt's beginning were used anywhere lately.
    fn recent(&self, flight: &Flight, now: Time) -> u32 {
        let lately = |at: Time| now.saturating_sub(at) < self.options.reuse + REFRESH;
        let mut parts = flight.prompt.shared.iter().rev();
        let recent = parts.find(|part| self.prefixes.last_use(part.prefix).is_some_and(lately));
        recent.map_or(0, |part| part.tokens)
    }

    /// Returns whether streams of a route are late beside long prompts: the pauses that those cause
    /// exceed what the route allows.
    fn is_sensitive(&self, route: &Route, service: &str) -> bool {
        /// Part of the allowed pause that leaves room for the way.
        const ROOM: f64 = 0.85;
        let pause = mean(&self.pauses, service, 0.0);
        route
            .gap
            .is_some_and(|gap| pause > gap.as_secs_f64() * 1e3 * ROOM)
    }

    /// Returns the endpoints of each data centre that long prompts should leave to sensitive
    /// streams, if there are any.
    ///
    /// All nodes choose the same ones, because they know the same endpoints.
    fn quiet(&self, service: &str) -> Vec<Key> {
        /// Part of a data centre's endpoints.
        const PART: f64 = 0.34;
        let Some(config) = self.registry.config() else {
            return Vec::new();
        };
        let uses = |route: &Route| route.split.iter().any(|share| share.service == service);
        let mut routes = config.routes.iter().filter(|route| uses(route));
        if !routes.any(|route| self.is_sensitive(route, service)) {
            return Vec::new();
        }
        let mut quiet = Vec::new();
        for (place, _) in &self.options.regions {
            let here = self
                .states
                .iter()
                .filter(|state| state.info.service == service && state.info.place == *place);
            let mut keys: Vec<Key> = here.map(|state| state.key).collect();
            let count = (keys.len() as f64 * PART) as usize;
            keys.sort_by_key(|key| key.wrapping_mul(SHUFFLE));
            quiet.extend(keys.into_iter().take(count));
        }
        quiet.sort_unstable();
        quiet
    }

    fn usual_pace(&self, service: &str) -> f64 {
        let peers = self
            .states
            .iter()
            .filter(|state| state.info.service == service);
        let mut paces: Vec<f64> = peers.map(State::pace).collect();
        paces.sort_by(f64::total_cmp);
        paces.get(paces.len() / 2).copied().unwrap_or(1.0)
    }

    fn rank(
        &self,
        flight: &Flight,
        service: &Service,
        now: Time,
        bars: &mut Vec<Bar>,
    ) -> Vec<(Key, Estimate)> {
        let held = self.held(flight, now);
        let quiet = self.quiet(&flight.service);
        let mut view = self.view(&flight.service, &held, now);
        view.recent = self.recent(flight, now);
        view.quiet = &quiet;
        view.sensitive = self.is_sensitive(&flight.route, &flight.service);
        let mut ranked = Vec::new();
        for state in &self.states {
            match view.admits(state, flight) {
                Ok(()) => ranked.push((state.key, view.estimate(state, flight, service))),
                Err(Bar::Service) => {}
                Err(bar) => bars.push(bar),
            }
        }
        ranked
    }

    /// Returns each endpoint with its estimate, or with why it may not take the request.
    #[must_use]
    pub fn explain(&self, flight: &Flight, now: Time) -> Vec<(String, Result<Estimate, Bar>)> {
        let Some(config) = self.registry.config() else {
            return Vec::new();
        };
        let unknown = Service::default();
        let service = config.service(&flight.service).unwrap_or(&unknown);
        let held = self.held(flight, now);
        let quiet = self.quiet(&flight.service);
        let mut view = self.view(&flight.service, &held, now);
        view.recent = self.recent(flight, now);
        view.quiet = &quiet;
        view.sensitive = self.is_sensitive(&flight.route, &flight.service);
        let explain = |state: &State| {
            let admitted = view.admits(state, flight);
            let estimate = admitted.map(|()| view.estimate(state, flight, service));
            (state.info.id.clone(), estimate)
        };
        self.states.iter().map(explain).collect()
    }

    /// A cold endpoint takes requests from a few nodes of its data centre, at a part of its rate.
    ///
    /// Each of them may have saved up one request. Two sets of nodes that do not hear each other, and
    /// both believe to be the senders, stay within one and a half times the rate and five together.
    fn take(&mut self, key: Key, service: &Service, now: Time) -> Result<(), Bar> {
        /// Part of the rate that is given out.
        const PART: f64 = 0.6;
        /// Senders of an endpoint with the smallest rate, and for each request a second more.
        const SENDERS: (f64, f64) = (2.5, 0.15);
        let at = self.find(key).map_err(|_| Bar::Resting)?;
        let state = &self.states[at];
        let rate = service.cold_rate;
        if rate <= 0.0 || !state.is_cold(now) {
            return Ok(());
        }
        let here = place(&self.options.place);
        let senders = (SENDERS.0 + SENDERS.1 * rate) as usize;
        if state.info.place != self.options.place
            || self.fleet.is_isolated(now)
            || !self.fleet.is_among(senders, key, now)
        {
            return Err(Bar::ColdElsewhere);
        }
        let senders = senders.min(self.fleet.live(here, now).len()).max(1);
        let share = rate * PART / senders as f64;
        let taken = self.states[at].take_cold(share, now);
        taken.map_err(|_| Bar::Cold)
    }

    fn send(
        &mut self,
        key: Key,
        estimate: Estimate,
        flight: &mut Flight,
        service: &Service,
        now: Time,
    ) -> Order {
        flight.waiting = None;
        flight.tried.push(key);
        if service.model.is_some() {
            for part in &flight.prompt.shared {
                self.prefixes.note(part.prefix, key, now);
                if self.prefixes.is_news(part.prefix, key, now) {
                    self.fleet.tell(part.prefix, key, true, now);
                }
            }
        }
        self.fleet.touch();
        let view = self.view(&flight.service, &[], now);
        let source = estimate.source.and_then(|source| view.address(source));
        let hedge = hedge(flight, &estimate);
        let load = Load {
            running: 1,
            unread: estimate.unread,
            urgent: u32::from(is_urgent(flight)),
        };
        let state = self
            .state_mut(key)
            .expect("only known endpoints are ranked");
        let before = state.load();
        state.own.add(load);
        Order {
            attempt: Attempt {
                key,
                load,
                expected: estimate.first,
                sent: now,
            },
            address: state.info.address,
            instance: state.info.id.clone(),
            source,
            rank: flight.rank,
            hedge,
            estimate,
            load: before,
        }
    }

    fn hold(&mut self, flight: &mut Flight, bars: &[Bar], now: Time) -> Placement {
        let target = flight.route.target.mul_f64(HOLD_PART).max(HOLD);
        let since = *flight.waiting.get_or_insert(now);
        let hopeless = bars.iter().all(|bar| *bar == Bar::Region) && !bars.is_empty();
        if !hopeless && now.saturating_sub(since) < target.min(flight.left(now)) {
            return Placement::Wait(LOOK);
        }
        let wait = self.return_time(flight, now);
        Placement::Refuse(give_up(flight, Cause::NoEndpoint, Some(wait)))
    }

    /// Returns a time in the last third up to `most`, so that callers do not return together.
    fn spread(&mut self, most: Duration) -> Duration {
        most.mul_f64(1.0 - self.rng.random::<f64>() / 3.0)
    }

    /// Returns spread over the time in which endpoints come back, within what callers heed.
    fn return_time(&mut self, flight: &Flight, now: Time) -> Duration {
        let most = flight.left(now).mul_f64(RETURN_PART).min(RETURN.1);
        let least = RETURN.0.min(most);
        least + most.saturating_sub(least).mul_f64(self.rng.random::<f64>())
    }

    /// Notes that the answer has begun: the prompt is read.
    pub fn note_read(&mut self, attempt: &mut Attempt, plain: bool, flight: &Flight, now: Time) {
        let observed = now.saturating_sub(attempt.sent);
        let unread = Load {
            unread: attempt.load.unread,
            ..Load::default()
        };
        attempt.load.unread = 0;
        let expected = attempt.expected;
        if let Some(state) = self.state_mut(attempt.key) {
            state.own.subtract(unread);
            state.learn(expected, observed);
        }
        if plain {
            let observed = observed.as_secs_f64() * 1e3;
            learn(&mut self.plain, &flight.service, PLAIN_MS, observed);
        }
        self.fleet.touch();
    }

    /// Learns the longest pause that a whole stream had at one endpoint.
    ///
    /// The running value approaches the pause that nine of ten streams stay within.
    pub fn note_pause(&mut self, service: &str, pause: Duration) {
        /// Change for a pause above the value, and for one below, in milliseconds.
        const STEP: (f64, f64) = (9.0, 1.0);
        let at = position(&mut self.pauses, service, 0.0);
        let value = &mut self.pauses[at].value;
        if pause.as_secs_f64() * 1e3 > *value {
            *value += STEP.0;
        } else {
            *value = (*value - STEP.1).max(0.0);
        }
    }

    /// Takes an attempt back and learns from how it ended.
    pub fn finish(&mut self, attempt: &Attempt, end: End, flight: &Flight, now: Time) {
        self.fleet.touch();
        if end == End::Finished {
            let whole = now.saturating_sub(attempt.sent).as_secs_f64() * 1e3;
            learn(&mut self.whole, &flight.service, WHOLE_MS, whole);
        }
        let failed = matches!(end, End::Failed | End::Broken | End::Garbled);
        let usual = match end {
            End::Cancelled => 0.0,
            _ => learn(
                &mut self.failing,
                &flight.route.name,
                0.0,
                f64::from(u8::from(failed)),
            ),
        };
        let key = attempt.key;
        if let Some(state) = self.state_mut(key) {
            state.own.subtract(attempt.load);
            match end {
                End::Finished => state.health.note(true, 1.0, now),
                End::Failed => state.health.note(false, (1.0 - usual).max(0.0), now),
                End::Rejected => state.health.note(false, SLIGHT, now),
                End::Broken | End::Garbled | End::Silent => state.health.note(false, 1.0, now),
                End::TimedOut if attempt.load.unread > 0 => state.health.note(false, 1.0, now),
                _ => {}
            }
            match end {
                End::Broken | End::Silent => state.suspect(now),
                End::Unreachable => state.fail(now),
                _ => {}
            }
        }
        if matches!(end, End::Unreachable | End::Misdirected) {
            self.prefixes.clear(key);
        }
        match end {
            End::Broken => self.suspects.push(Suspect {
                key,
                fingerprint: flight.fingerprint,
                at: now,
            }),
            End::Finished => self.strikes.clear(flight.fingerprint),
            _ => {}
        }
    }

    /// Decides whether a slow attempt should be given up for another endpoint, and pays for that.
    pub fn may_hedge(&mut self, flight: &Flight, now: Time) -> bool {
        let nodes = self.fleet.size(self.options.regions.len(), now);
        let allowed = flight.route.is_repeatable()
            && flight.runs + 1 < flight.route.attempts
            && flight.left(now) > WORTHWHILE;
        let others = |state: &State| {
            let view = self.view(&flight.service, &[], now);
            view.admits(state, flight).is_ok()
        };
        allowed && self.states.iter().any(others) && self.budget.take(&flight.service, nodes, now)
    }

    /// Decides what follows an attempt without a whole answer.
    pub fn next(&mut self, flight: &mut Flight, end: End, now: Time) -> Next {
        let nodes = self.fleet.size(self.options.regions.len(), now);
        match end.verdict() {
            Verdict::NotRun => {
                let worthwhile = flight.left(now) > WORTHWHILE;
                let sent = end != End::Unreachable;
                flight.rejections += u32::from(sent);
                let bearable = flight.rejections <= MAX_REJECTIONS;
                if worthwhile
                    && bearable
                    && (!sent || self.budget.take(&flight.service, nodes, now))
                {
                    return Next::Again;
                }
                let wait = self.return_time(flight, now);
                Next::GiveUp(give_up(flight, Cause::Rejected, Some(wait)))
            }
            Verdict::MayHaveRun | Verdict::Ran => {
                flight.runs += 1;
                let struck = self.strikes.count(flight.fingerprint) >= strikes::LIMIT;
                if flight.route.is_repeatable()
                    && flight.runs < flight.route.attempts
                    && flight.left(now) > WORTHWHILE
                    && !struck
                    && self.budget.take(&flight.service, nodes, now)
                {
                    return Next::Again;
                }
                let cause = if end == End::TimedOut {
                    Cause::TimedOut
                } else {
                    Cause::EndpointFailed
                };
                Next::GiveUp(give_up(flight, cause, None))
            }
        }
    }
}

/// Ends a flight with what is true of it.
fn give_up(flight: &Flight, cause: Cause, wait: Option<Duration>) -> Refusal {
    if flight.runs > 0 {
        Refusal::may_have_run(cause)
    } else {
        Refusal::not_run(cause, wait)
    }
}

/// Returns the time after which a repeatable request is better asked elsewhere.
fn hedge(flight: &Flight, estimate: &Estimate) -> Option<Duration> {
    let may = flight.route.is_repeatable() && flight.runs + 1 < flight.route.attempts;
    let target = flight.route.target;
    let expected = estimate.first.mul_f64(HEDGE_FACTOR);
    let (least, most) = (target.mul_f64(HEDGE_PARTS.0), target.mul_f64(HEDGE_PARTS.1));
    (may && flight.route.kind != Kind::NonIdempotent).then(|| expected.clamp(least, most))
}

fn region(regions: &[(String, String)], place: &str) -> String {
    let found = regions.iter().find(|(each, _)| each == place);
    found.map_or_else(|| place.to_owned(), |(_, region)| region.clone())
}

fn mean(means: &[Mean], name: &str, start: f64) -> f64 {
    let found = means.iter().find(|mean| mean.name == name);
    found.map_or(start, |mean| mean.value)
}

/// Adds a sample to a named running mean and returns the mean before it.
fn learn(means: &mut Vec<Mean>, name: &str, start: f64, sample: f64) -> f64 {
    let at = position(means, name, start);
    let old = means[at].value;
    means[at].value += NEWEST * (sample - old);
    old
}

fn position(means: &mut Vec<Mean>, name: &str, start: f64) -> usize {
    let known = means.iter().position(|mean| mean.name == name);
    known.unwrap_or_else(|| {
        means.push(Mean {
            name: name.to_owned(),
            value: start,
        });
        means.len() - 1
    })
}
