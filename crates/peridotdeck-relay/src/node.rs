//! Starts and stops a node.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_channel::Receiver;
use async_io::Timer;
use async_std::task;
use futures_lite::{StreamExt, future};
use peridotdeck_core::dispatch::{Dispatcher, Node, dispatcher};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use crate::{
    Ingress, Publisher, Shared, clock, control, exchange, front,
    peers::Peers,
    server::{self, Limits},
};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(25);

/// Ticks between two looks at what changes slowly.
const SLOW_TICKS: u32 = 40;

/// Time for which a leaving node still takes requests: the balancer must notice first.
const LINGER: Duration = Duration::from_millis(2_700);

/// Time before the end of grace at which a leaving node cuts what is left.
const MARGIN: Duration = Duration::from_millis(500);

/// Idle time of connections to the control addresses.
const CONTROL_IDLE: Duration = Duration::from_secs(30);

/// Bytes of a head at the control addresses.
const CONTROL_HEAD_BYTES: usize = 16 << 10;

/// Where a node listens and how it stops.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address at which the balancer asks for readiness.
    pub ready: SocketAddr,
    /// Path of that question.
    pub ready_path: String,
    /// Address for peers' errands and operators; the same port on all nodes.
    pub control: SocketAddr,
    /// Address for datagrams of peers; the same port on all nodes.
    pub peers: SocketAddr,
    /// Address of the figures.
    pub metrics: SocketAddr,
    /// Time from the signal to leave until the process is killed.
    pub grace: Duration,
    /// What decisions need to know.
    pub dispatch: dispatcher::Options,
}

/// Runs a node until a signal asks it to leave and its requests have ended.
///
/// `reload` reads the settings again and returns the seeds; it logs what is wrong itself.
///
/// # Errors
/// If an address cannot be bound, or signals cannot be received.
pub async fn run<I, P, R>(options: Options, ingress: I, publisher: P, reload: R) -> io::Result<()>
where
    I: Ingress,
    P: Publisher,
    R: Fn() -> Option<Vec<Node>> + Send + Sync + 'static,
{
    let started = clock::now();
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let dispatcher = Dispatcher::new(options.dispatch.clone(), started);
    let shared = Arc::new(Shared::new(ingress, dispatcher));
    task::spawn(publisher.follow(Arc::clone(&shared)));
    let (closing, closed) = async_channel::bounded::<()>(1);
    listen(&options, &shared, &closed)?;
    let peers = Peers::bind(options.peers, options.control.port()).await?;
    task::spawn(peers.clone().hear(Arc::clone(&shared)));
    log::info!(
        "event=started front={} ready={} control={} peers={} metrics={} place={} \
         incarnation={:016x}",
        options.front,
        options.ready,
        options.control,
        options.peers,
        options.metrics,
        options.dispatch.data_centre,
        options.dispatch.incarnation,
    );
    let left = task::spawn(leave(
        signals,
        Arc::clone(&shared),
        options.grace,
        closing,
        reload,
    ));
    future::or(left, tick(&shared, &peers)).await;
    Ok(())
}

fn listen<I: Ingress>(
    options: &Options,
    shared: &Arc<Shared<I>>,
    closed: &Receiver<()>,
) -> io::Result<()> {
    let front = server::listen(options.front)?;
    let watch = Arc::clone(shared);
    let limits = move || {
        let limits = front::limits(&watch);
        Limits {
            head_bytes: limits.head_bytes,
            idle: limits.idle_time,
        }
    };
    let callee = Arc::clone(shared);
    let serve = move |request| front::serve(Arc::clone(&callee), request);
    task::spawn(server::accept(front, closed.clone(), limits, serve));
    for address in [options.ready, options.control, options.metrics] {
        let listener = server::listen(address)?;
        let (callee, ready) = (Arc::clone(shared), options.ready_path.clone());
        let answer = move |request| future::ready(control::answer(&callee, &request, &ready));
        let limits = || Limits {
            head_bytes: CONTROL_HEAD_BYTES,
            idle: CONTROL_IDLE,
        };
        task::spawn(server::accept(listener, closed.clone(), limits, answer));
    }
    Ok(())
}

/// Does what is due, forever.
async fn tick<I: Ingress>(shared: &Arc<Shared<I>>, peers: &Peers) {
    let mut count: u32 = 0;
    loop {
        Timer::after(TICK).await;
        count += 1;
        if count.is_multiple_of(SLOW_TICKS) {
            shared.pool.expire();
        }
        let due = shared.dispatcher().tick(clock::now());
        for endpoint in &due.removed {
            shared.note_removed(endpoint, "lapse");
        }
        for node in &due.silent {
            log::info!("event=peer_silent node={node}");
        }
        for (node, beat) in &due.heartbeats {
            peers.tell(shared, *node, beat).await;
        }
        for request in due.snapshot_requests {
            let (shared, peers) = (Arc::clone(shared), peers.clone());
            task::spawn(async move { peers.fetch(&shared, request).await });
        }
        for query in due.cache_queries {
            let shared = Arc::clone(shared);
            task::spawn(async move { exchange::inquire(&shared, query).await });
        }
        for probe in due.probes {
            let shared = Arc::clone(shared);
            task::spawn(async move {
                let accepted = exchange::probe(&shared, probe.key, probe.address).await;
                let mut dispatcher = shared.dispatcher();
                dispatcher.record_probe(probe.key, accepted, clock::now());
            });
        }
    }
}

/// Returns when a signal asked the node to leave and what was in progress has ended.
async fn leave<I: Ingress, R>(
    mut signals: Signals,
    shared: Arc<Shared<I>>,
    grace: Duration,
    closing: async_channel::Sender<()>,
    reload: R,
) where
    R: Fn() -> Option<Vec<Node>> + Send + Sync + 'static,
{
    /// Time between two looks at the settings, which may change without a signal.
    const LOOK: Duration = Duration::from_secs(2);
    loop {
        let timer = async {
            Timer::after(LOOK).await;
            None
        };
        match future::or(async { signals.next().await }, timer).await {
            Some(SIGTERM | SIGINT) => break,
            Some(_) => log::info!("event=reload cause=signal"),
            None => {}
        }
        if let Some(seeds) = reload() {
            log::info!("event=seeds_changed seeds={}", seeds.len());
            shared.dispatcher().set_seeds(&seeds, clock::now());
        }
    }
    let open = || shared.open.load(Ordering::Relaxed);
    log::info!("event=leaving open={}", open());
    shared.dispatcher().leave();
    Timer::after(LINGER).await;
    drop(closing);
    let cut = grace.saturating_sub(LINGER + MARGIN);
    let until = clock::now() + cut;
    while open() > 0 && clock::now() < until {
        Timer::after(TICK).await;
    }
    log::info!("event=stopped open={}", open());
    // The journal gathers lines before it writes them.
    Timer::after(2 * TICK).await;
}

/// Returns a random number for a new process.
#[must_use]
pub fn incarnation() -> u64 {
    rand::random()
}
