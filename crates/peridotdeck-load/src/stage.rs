//! The stand-ins and routers of an experiment.

use std::{io, net::SocketAddr, time::Duration};

use async_std::task;
use peridotdeck_core::Strategy;
use peridotdeck_fake::{Engine, Plain, Platform, plain::Record};
use peridotdeck_policy::{Class, Config, Organisation, Policy, Service, split};
use peridotdeck_router::{
    Router,
    router::{Options, Sockets},
};
use peridotdeck_settings::Settings;
use peridotdeck_wire::Member;

use crate::{
    experiment::Experiment,
    paths::{self, Paths},
};

/// Longest time for all routers to become ready.
const READY: Duration = Duration::from_secs(10);

/// One router and whether the balancer knows it as up.
#[derive(Debug)]
pub struct Slot {
    /// Number in the VM list.
    pub node: u32,
    /// Data centre.
    pub place: String,
    /// The router, unless it has died.
    pub router: Option<Router>,
    /// Whether the balancer sends it requests.
    pub up: bool,
}

/// Everything that runs.
#[derive(Debug)]
pub struct Stage {
    /// Configuration service and VM list.
    pub platform: Platform,
    /// Engines of all models.
    pub engines: Vec<(String, Engine)>,
    /// Endpoints of all plain services.
    pub plains: Vec<(String, Plain)>,
    /// Runs of calls that must run at most once.
    pub record: Record,
    /// Routers.
    pub slots: Vec<Slot>,
    /// Paths between data centres.
    pub paths: Paths,
    /// Configuration that is published.
    pub config: Config,
    strategy: Strategy,
    seed: u64,
    starts: u64,
    dead: Vec<Router>,
}

/// Returns the bearer key of a customer.
#[must_use]
pub fn key(organisation: &str) -> String {
    format!("key-of-{organisation}")
}

impl Stage {
    /// Starts everything and waits until all routers are ready.
    ///
    /// # Errors
    /// If a port cannot be bound, the configuration has a mistake, or a router does not get ready.
    pub async fn start(experiment: &Experiment, strategy: Strategy, seed: u64) -> io::Result<Self> {
        let platform = Platform::start().await?;
        let record = Record::default();
        let engines = start_engines(experiment, seed).await?;
        let plains = start_plains(experiment, &record).await?;
        let config = configure(experiment, &engines, &plains)?;
        platform.publish(&split(&config));
        let paths = Paths::new(experiment);
        let mut stage = Self {
            platform,
            engines,
            plains,
            record,
            slots: Vec::new(),
            paths,
            config,
            strategy,
            seed,
            starts: 0,
            dead: Vec::new(),
        };
        stage.start_routers(experiment).await?;
        stage.wait_ready().await?;
        Ok(stage)
    }

    async fn start_routers(&mut self, experiment: &Experiment) -> io::Result<()> {
        let mut members = Vec::new();
        for place in &experiment.places {
            for _ in 0..place.routers {
                let node = self.slots.len() as u32 + 1;
                let (router, member) = self.start_router(node, &place.name).await?;
                members.push(member);
                let slot = Slot {
                    node,
                    place: place.name.clone(),
                    router: Some(router),
                    up: true,
                };
                self.slots.push(slot);
            }
        }
        self.platform.list(members);
        Ok(())
    }

    async fn start_router(&mut self, node: u32, place: &str) -> io::Result<(Router, Member)> {
        self.starts += 1;
        let settings = settings(node, place, self.platform.address());
        let sockets = Sockets::bind(&settings).await?;
        let peers = sockets.peers()?;
        let options = Options::<paths::From> {
            dial: self.paths.from(place),
            strategy: self.strategy,
            seed: self.seed ^ self.starts,
            incarnation: self.starts,
        };
        let router = Router::start(settings, sockets, options).await?;
        let member = Member {
            node,
            place: place.to_owned(),
            peers: peers.to_string(),
            callers: router.address().to_string(),
            leaving: false,
        };
        Ok((router, member))
    }

    async fn wait_ready(&self) -> io::Result<()> {
        /// Time between two looks.
        const LOOK: Duration = Duration::from_millis(20);
        let rounds = READY.as_millis() / LOOK.as_millis();
        for _ in 0..rounds {
            if self.all_ready().await {
                // Ownership settles after the first gossip; load that comes before would be denied.
                task::sleep(peridotdeck_core::pool::SETTLE_PERIOD + LOOK).await;
                return Ok(());
            }
            task::sleep(LOOK).await;
        }
        Err(io::Error::other("the routers did not become ready"))
    }

    async fn all_ready(&self) -> bool {
        let nodes = self.slots.len();
        for router in self.slots.iter().filter_map(|slot| slot.router.as_ref()) {
            let look = move |node: &peridotdeck_core::Node, _| {
                node.is_ready() && node.witness().is_ready() && node.view().live_count() == nodes
            };
            if router.handle().inspect(look).await != Some(true) {
                return false;
            }
        }
        true
    }

    /// Returns the address of a router that the balancer gives a caller near a data centre.
    #[must_use]
    pub fn balance(&self, place: &str, draw: usize) -> Option<(usize, SocketAddr)> {
        let up = |slot: &&(usize, &Slot)| slot.1.up;
        let all: Vec<(usize, &Slot)> = self.slots.iter().enumerate().collect();
        let near: Vec<&(usize, &Slot)> = all
            .iter()
            .filter(up)
            .filter(|(_, slot)| slot.place == place)
            .collect();
        let any: Vec<&(usize, &Slot)> = all.iter().filter(up).collect();
        let choice = if near.is_empty() { any } else { near };
        let &&(index, slot) = choice.get(draw % choice.len().max(1))?;
        slot.router.as_ref().map(|router| (index, router.address()))
    }

    /// Marks a data centre as out or back, and publishes.
    pub fn set_out(&mut self, name: &str, out: bool) {
        for place in self
            .config
            .places
            .iter_mut()
            .filter(|place| place.name == name)
        {
            place.out = out;
        }
        self.platform.publish(&split(&self.config));
    }

    /// Kills a router as a crash would; its VM vanishes from the list a little later.
    pub async fn kill(&mut self, index: usize) {
        if let Some(router) = self.slots[index].router.take() {
            router.stop().await;
        }
    }

    /// Drops a dead router from the VM list.
    pub async fn unlist(&mut self, index: usize) {
        let node = self.slots[index].node;
        let mut members = self.members().await;
        members.retain(|member| member.node != node);
        self.platform.list(members);
    }

    /// Starts a new router in the place of one that has left, empty and with a new number.
    ///
    /// # Errors
    /// If a port cannot be bound.
    pub async fn replace(&mut self, index: usize) -> io::Result<Option<Router>> {
        let node = 1_000 + self.starts as u32;
        let place = self.slots[index].place.clone();
        let (router, member) = self.start_router(node, &place).await?;
        let old = self.slots[index].router.replace(router);
        let old_node = std::mem::replace(&mut self.slots[index].node, node);
        let mut members: Vec<Member> = self.members().await;
        members.retain(|each| each.node != old_node);
        members.push(member);
        self.platform.list(members);
        Ok(old)
    }

    async fn members(&self) -> Vec<Member> {
        for router in self.slots.iter().filter_map(|slot| slot.router.as_ref()) {
            let members = router
                .handle()
                .inspect(|node, _| node.view().members().to_vec())
                .await;
            if let Some(members) = members.filter(|members| !members.is_empty()) {
                return members;
            }
        }
        Vec::new()
    }

    /// Keeps a router that has left, so that its counts are still read at the end.
    pub fn retire(&mut self, router: Router) {
        self.dead.push(router);
    }

    /// Returns all routers, those that have left included.
    pub fn routers(&self) -> impl Iterator<Item = &Router> {
        self.slots
            .iter()
            .filter_map(|slot| slot.router.as_ref())
            .chain(&self.dead)
    }
}

fn settings(node: u32, place: &str, platform: SocketAddr) -> Settings {
    let text = format!(
        "node = {node}\nplace = \"{place}\"\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         platform = [\"{platform}\"]\nsilence_ms = 1500\n"
    );
    peridotdeck_settings::parse(&text, "experiment").expect("the text above is valid")
}

async fn start_engines(experiment: &Experiment, seed: u64) -> io::Result<Vec<(String, Engine)>> {
    let mut engines = Vec::new();
    for model in &experiment.models {
        for place in &model.places {
            let mut setting = model.engine.clone();
            setting.model.clone_from(&model.name);
            setting.seed = seed ^ engines.len() as u64;
            engines.push((place.clone(), Engine::start(setting).await?));
        }
    }
    Ok(engines)
}

async fn start_plains(
    experiment: &Experiment,
    record: &Record,
) -> io::Result<Vec<(String, Plain)>> {
    let mut plains = Vec::new();
    for plain in &experiment.plains {
        for place in &plain.places {
            let delay = Duration::from_millis(plain.delay_ms);
            plains.push((place.clone(), Plain::start(record.clone(), delay).await?));
        }
    }
    Ok(plains)
}

fn configure(
    experiment: &Experiment,
    engines: &[(String, Engine)],
    plains: &[(String, Plain)],
) -> io::Result<Config> {
    let mut policy = Policy::new();
    for place in &experiment.places {
        policy = policy.place(&place.name, &place.region);
    }
    for class in &experiment.classes {
        let base = if class.bulk {
            Class::bulk(&class.name, class.tier)
        } else {
            Class::interactive(&class.name, class.tier)
        };
        let base = base
            .first_token_ms(class.first_token_ms)
            .token_gap_ms(class.token_gap_ms);
        policy = policy.class(base.whole_ms(class.whole_ms));
    }
    for each in &experiment.organisations {
        let rate = each.requests_per_second;
        let organisation = Organisation::named(&each.name)
            .key(&key(&each.name))
            .rate(rate, rate * 2);
        policy = policy.organisation(organisation.concurrency(rate * 100));
    }
    let mut engines = engines.iter();
    for model in &experiment.models {
        let mut service = Service::model(&model.name, &model.class);
        for (place, engine) in engines.by_ref().take(model.places.len()) {
            let (slots, cold) = (model.engine.slots, model.engine.cold_slots);
            service = service.sized_endpoint(place, &engine.address().to_string(), slots, cold);
        }
        policy = policy.service(service);
    }
    let mut plains = plains.iter();
    for plain in &experiment.plains {
        let mut service = Service::plain(&plain.name, &plain.class);
        for route in &plain.routes {
            service = if route.repeatable {
                service.repeatable(&route.prefix, &route.class)
            } else {
                service.unrepeatable(&route.prefix, &route.class)
            };
        }
        for (place, endpoint) in plains.by_ref().take(plain.places.len()) {
            service = service.sized_endpoint(
                place,
                &endpoint.address().to_string(),
                plain.slots,
                plain.slots,
            );
        }
        policy = policy.service(service);
    }
    policy
        .build()
        .map_err(|errors| io::Error::other(format!("{errors:?}")))
}
