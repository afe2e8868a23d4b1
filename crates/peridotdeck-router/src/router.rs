//! An entry router: its sockets, tasks and decision core, started and stopped together.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_std::{
    net::UdpSocket,
    task::{self, JoinHandle},
};
use peridotdeck_core::{Event, Node, Strategy, limit::Division, node::Setup};
use peridotdeck_http::server::{Limits, Server};
use peridotdeck_io::budget::Budget;
use peridotdeck_settings::Settings;

use crate::{
    callers,
    dial::Dial,
    driver::Driver,
    handle::Handle,
    memory::{self, Account},
    metrics::Metrics,
    operators, peers, platform,
};

/// Time between two checks whether a draining node is idle.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which the last responses are written after the time to drain is over.
const CUT_TIME: Duration = Duration::from_millis(200);

/// Parameters with which a router starts, besides its settings.
#[derive(Clone, Debug)]
pub struct Options<D> {
    /// Network by which connections and datagrams leave the process.
    pub dial: D,
    /// Strategy for queueing and placement.
    pub strategy: Strategy,
    /// Seed of the router's random numbers.
    pub seed: u64,
    /// Incarnation of the process, higher than that of any earlier process of this VM.
    pub incarnation: u64,
}

impl<D> Options<D> {
    /// Returns the options of the product, with incarnation and seed from the wall clock.
    #[must_use]
    pub fn from_clock(dial: D) -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let seed = u64::from(since.subsec_nanos()) ^ since.as_secs();
        Self {
            dial,
            strategy: Strategy::default(),
            seed,
            incarnation: since.as_secs(),
        }
    }
}

/// The peers' socket and the callers' address, known before the router starts.
///
/// The socket is bound early, so that the VM list can name its port.
#[derive(Debug)]
pub struct Sockets {
    udp: UdpSocket,
    callers: SocketAddr,
}

impl Sockets {
    /// Binds the peers' socket and parses the callers' address, both from the settings.
    ///
    /// # Errors
    /// If an address cannot be parsed, or the peers' address cannot be bound.
    pub async fn bind(settings: &Settings) -> io::Result<Self> {
        let parse = |text: &str| text.parse::<SocketAddr>().map_err(io::Error::other);
        let udp = UdpSocket::bind(parse(&settings.peers)?).await?;
        Ok(Self {
            udp,
            callers: parse(&settings.callers)?,
        })
    }

    /// Returns the peers' address, with the port that the system chose.
    ///
    /// # Errors
    /// If the socket has been closed.
    pub fn peers(&self) -> io::Result<SocketAddr> {
        self.udp.local_addr()
    }
}

/// A running entry router. Dropping it ends it abruptly, as a crash would.
#[derive(Debug)]
pub struct Router {
    handle: Handle,
    metrics: Arc<Metrics>,
    server: Option<Server>,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    drain_timeout: Duration,
}

impl Router {
    /// Starts the tasks and the server of a router.
    ///
    /// # Errors
    /// If the callers' address cannot be bound.
    pub async fn start<D: Dial>(
        settings: Settings,
        sockets: Sockets,
        options: Options<D>,
    ) -> io::Result<Self> {
        let metrics = Arc::new(Metrics::new());
        let budget = memory::budget(settings.memory_mb);
        let (handle, inputs) = Handle::new();
        let socket = Arc::new(sockets.udp);
        let identity = peers::Identity::new(settings.node, options.incarnation, &settings.place);
        let dial = options.dial.clone();
        let sender = peers::Sender::new(
            identity,
            Arc::clone(&socket),
            dial.clone(),
            Arc::clone(&metrics),
        );
        let node = Node::new(Setup {
            node: settings.node,
            data_centre: settings.place.clone(),
            incarnation: options.incarnation,
            seed: options.seed,
            strategy: options.strategy,
            division: if settings.limits_by_demand {
                Division::Demand
            } else {
                Division::Equal
            },
        });
        let seeds = settings
            .seeds
            .iter()
            .filter_map(|seed| seed.parse().ok())
            .collect();
        let driver = Driver::new(
            node,
            (handle.clone(), inputs),
            dial,
            sender,
            Arc::clone(&metrics),
            seeds,
        );
        let mut tasks = vec![
            task::spawn(driver.run()),
            task::spawn(peers::receive(socket, handle.clone(), Arc::clone(&metrics))),
        ];
        tasks.extend(spawn_watches(&settings, &handle, &budget, &options));
        let drain_timeout = Duration::from_secs(settings.drain_s.into());
        let server = start_server(
            settings,
            sockets.callers,
            &handle,
            &metrics,
            &budget,
            options.dial,
        )
        .await?;
        let address = server.address();
        log::info!("event=started node={} address={address}", identity.node);
        Ok(Self {
            handle,
            metrics,
            server: Some(server),
            address,
            tasks,
            drain_timeout,
        })
    }

    /// Returns the callers' address, with the port that the system chose.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handle to the driver.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Returns the router's metrics.
    #[must_use]
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Stops taking requests and waits until those in flight have ended.
    ///
    /// Requests that are open after the settings' drain time get a final answer, unless their stream
    /// has begun. Returns whether all ended before. The tasks keep running until [`Router::stop`].
    pub async fn drain(&self) -> bool {
        self.handle.send(Event::Drain).await;
        let started = Instant::now();
        if self.wait_idle(self.drain_timeout).await {
            log::info!("event=drained ms={}", started.elapsed().as_millis());
            return true;
        }
        let open = self.busy_requests();
        log::warn!("event=drain_incomplete open={open}");
        self.handle.send(Event::Cut).await;
        self.wait_idle(CUT_TIME).await;
        false
    }

    /// Waits until no request is in flight and all responses are written, for a time at most.
    async fn wait_idle(&self, time: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < time {
            let idle = self.handle.inspect(|node, _| node.is_idle()).await;
            if idle != Some(false) && self.busy_requests() == 0 {
                return true;
            }
            task::sleep(DRAIN_CHECK_INTERVAL).await;
        }
        false
    }

    fn busy_requests(&self) -> usize {
        let state = self.server.as_ref().map(Server::accept_state);
        state.map_or(0, |state| state.busy_requests())
    }

    /// Stops the server and all tasks without waiting for requests.
    pub async fn stop(mut self) {
        if let Some(server) = self.server.take() {
            server.stop().await;
        }
        for task in self.tasks.drain(..) {
            task.cancel().await;
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        for task in self.tasks.drain(..) {
            task::spawn(task.cancel());
        }
    }
}

fn spawn_watches<D: Dial>(
    settings: &Settings,
    handle: &Handle,
    budget: &Budget,
    options: &Options<D>,
) -> Vec<JoinHandle<()>> {
    let platform: Vec<SocketAddr> = settings
        .platform
        .iter()
        .filter_map(|address| address.parse().ok())
        .collect();
    let resources = [platform::Resource::VmList, platform::Resource::Config];
    let watch = |resource| {
        let (dial, handle) = (options.dial.clone(), handle.clone());
        task::spawn(platform::watch(
            resource,
            platform.clone(),
            dial,
            handle,
            Account::configuration(budget),
            options.seed,
        ))
    };
    resources.map(watch).into()
}

async fn start_server<D: Dial>(
    settings: Settings,
    address: SocketAddr,
    handle: &Handle,
    metrics: &Arc<Metrics>,
    budget: &Budget,
    dial: D,
) -> io::Result<Server> {
    let limits = Limits {
        head_timeout: Duration::from_millis(settings.body_timeout_ms.into()),
        max_connections: memory::connections(&settings),
    };
    let state = callers::Context {
        handle: handle.clone(),
        dial,
        metrics: Arc::clone(metrics),
        budget: budget.clone(),
        settings,
    };
    let mut app = tide::with_state(Arc::new(state));
    operators::add_routes(&mut app);
    callers::add_routes(&mut app);
    let respond = move |request| {
        let app = app.clone();
        async move { app.respond::<_, http_types::Response>(request).await }
    };
    Server::start(address, limits, respond).await
}
