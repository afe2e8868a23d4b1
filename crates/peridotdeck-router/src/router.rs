//! A whole entry router: sockets, tasks and the core, started and stopped together.

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
use peridotdeck_core::{Event, Node, Strategy, node::Setup};
use peridotdeck_http::server::{Limits, Server};
use peridotdeck_settings::Settings;

use crate::{
    callers, dial::Dial, driver::Driver, handle::Handle, metrics::Metrics, operators, peers,
    platform,
};

/// Time between two looks at a draining node.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// What a router is started with besides its settings.
#[derive(Clone, Debug)]
pub struct Options<D> {
    /// The network.
    pub dial: D,
    /// Queueing and placement.
    pub strategy: Strategy,
    /// Seed of all randomness.
    pub seed: u64,
    /// Start of the process; later starts of the same VM must have a higher one.
    pub incarnation: u64,
}

impl<D> Options<D> {
    /// Options of the product: the wall clock gives incarnation and seed.
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

/// Sockets that are bound before the router runs, so that the VM list can name their ports.
#[derive(Debug)]
pub struct Sockets {
    udp: UdpSocket,
    callers: SocketAddr,
}

impl Sockets {
    /// Binds the peers' socket of the settings.
    ///
    /// # Errors
    /// If an address cannot be parsed or bound.
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

/// A running entry router; dropping it kills it as a crash would.
#[derive(Debug)]
pub struct Router {
    handle: Handle,
    metrics: Arc<Metrics>,
    server: Option<Server>,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    drain: Duration,
}

impl Router {
    /// Starts a router.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub async fn start<D: Dial>(
        settings: Settings,
        sockets: Sockets,
        options: Options<D>,
    ) -> io::Result<Self> {
        let metrics = Arc::new(Metrics::new());
        let (handle, inputs) = Handle::new();
        let socket = Arc::new(sockets.udp);
        let identity = peers::Identity::new(settings.node, options.incarnation, &settings.place);
        let dial = options.dial.clone();
        let post = peers::Post::new(
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
            post,
            Arc::clone(&metrics),
            seeds,
        );
        let mut tasks = vec![
            task::spawn(driver.run()),
            task::spawn(peers::receive(socket, handle.clone(), Arc::clone(&metrics))),
        ];
        tasks.extend(watches(&settings, &handle, &options));
        let drain = Duration::from_secs(settings.drain_s.into());
        let server = serve(settings, sockets.callers, &handle, &metrics, options.dial).await?;
        let address = server.address();
        log::info!("event=started node={} address={address}", identity.node);
        Ok(Self {
            handle,
            metrics,
            server: Some(server),
            address,
            tasks,
            drain,
        })
    }

    /// Returns the callers' address, with the port that the system chose.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the way to the core.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Returns the series.
    #[must_use]
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Shuts down gracefully: takes no new work, lets every request end, then stops.
    ///
    /// Returns whether all requests ended within the settings' drain time.
    pub async fn drain(&self) -> bool {
        self.handle.send(Event::Drain).await;
        let started = Instant::now();
        while started.elapsed() < self.drain {
            let idle = self.handle.inspect(|node, _| node.is_idle()).await;
            if idle != Some(false) {
                log::info!("event=drained ms={}", started.elapsed().as_millis());
                return true;
            }
            task::sleep(DRAIN_LOOK).await;
        }
        log::warn!("event=drain_incomplete");
        false
    }

    /// Stops all tasks at once.
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

fn watches<D: Dial>(
    settings: &Settings,
    handle: &Handle,
    options: &Options<D>,
) -> Vec<JoinHandle<()>> {
    let platform: Vec<SocketAddr> = settings
        .platform
        .iter()
        .filter_map(|each| each.parse().ok())
        .collect();
    let subjects = [platform::Subject::Vms, platform::Subject::Config];
    let watch = |subject| {
        let (dial, handle) = (options.dial.clone(), handle.clone());
        task::spawn(platform::watch(
            subject,
            platform.clone(),
            dial,
            handle,
            options.seed,
        ))
    };
    subjects.map(watch).into()
}

async fn serve<D: Dial>(
    settings: Settings,
    address: SocketAddr,
    handle: &Handle,
    metrics: &Arc<Metrics>,
    dial: D,
) -> io::Result<Server> {
    let limits = Limits {
        head_timeout: Duration::from_millis(settings.body_timeout_ms.into()),
        max_connections: settings.open_connections as usize,
    };
    let context = callers::Context {
        handle: handle.clone(),
        dial,
        metrics: Arc::clone(metrics),
        settings,
    };
    let mut app = tide::with_state(Arc::new(context));
    operators::add_routes(&mut app);
    callers::add_routes(&mut app);
    let respond = move |request| {
        let app = app.clone();
        async move { app.respond::<_, http_types::Response>(request).await }
    };
    Server::start(address, limits, respond).await
}
