//! Startup and periodic work of a node.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use async_channel::Receiver;
use async_io::Timer;
use async_std::task;
use futures_lite::{StreamExt, future};
use peridotdeck_core::dispatch::{Dispatcher, Key, Node, dispatcher, registry::Area, speed};
use peridotdeck_io::connections::Connections;
use peridotdeck_wire::Extension;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use crate::{
    Ingress, Publisher, Shared, clock, control, exchange, front, memory, notice,
    peers::{Peers, encode_ages, encode_speeds},
    server::{self, Limits},
    shared::{log_path, log_terms},
    shutdown,
};

/// Interval at which the dispatcher's due actions are carried out.
const TICK: Duration = Duration::from_millis(25);

/// Ticks between two removals of expired idle connections.
const POOL_EXPIRY_TICKS: u32 = 40;

/// Longest idle time of a connection to the ready, control or metrics address.
const CONTROL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest request head at the ready, control and metrics addresses.
const MAX_CONTROL_HEAD_BYTES: usize = 16 << 10;

/// Addresses, shutdown time and dispatcher options of a node.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address that accepts callers' requests.
    pub front: SocketAddr,
    /// Address for the load balancer's readiness check.
    pub ready: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: String,
    /// Address at which peers fetch snapshots and operators query the node.
    ///
    /// The port must be the same on all nodes.
    pub control: SocketAddr,
    /// Address that receives the heartbeats of peers. The port must be the same on all nodes.
    pub peers: SocketAddr,
    /// Address that serves the metrics.
    pub metrics: SocketAddr,
    /// Time from the termination signal until the process is killed.
    pub grace_period: Duration,
    /// Memory that the process may have, in bytes, if it is bounded.
    pub memory: Option<usize>,
    /// Descriptors that the process may have open, if they are bounded.
    pub descriptors: Option<usize>,
    /// Options of the dispatcher.
    pub dispatch: dispatcher::Options,
}

/// Runs a node until `SIGTERM` or `SIGINT`, and then until its requests have ended.
///
/// Requests that are still open shortly before the end of the grace period are cut. `reload` reads
/// the settings again and returns the seeds if they have changed; it logs errors itself.
///
/// # Errors
/// Returns an error if an address cannot be bound or signal handlers cannot be installed.
pub async fn run<I, P, R>(options: Options, ingress: I, publisher: P, reload: R) -> io::Result<()>
where
    I: Ingress,
    P: Publisher,
    R: Fn() -> Option<Vec<Node>> + Send + Sync + 'static,
{
    let started = clock::now();
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let dispatcher = Dispatcher::new(options.dispatch.clone(), started);
    let shared = Arc::new(Shared::new(
        ingress,
        dispatcher,
        options.dispatch.node,
        options.control.port(),
        memory::budget(options.memory),
        Connections::within(memory::connections(options.memory, options.descriptors)),
    ));
    task::spawn(publisher.clone().follow(Arc::clone(&shared)));
    let (closing, closed) = async_channel::bounded::<()>(1);
    // Peers ask a node that leaves for verdicts, so its control address is open until it ends.
    let (_serving, serves) = async_channel::bounded::<()>(1);
    listen(&options, &shared, &closed, &serves)?;
    let peers = Peers::bind(options.peers, options.control.port()).await?;
    task::spawn(peers.clone().receive_heartbeats(Arc::clone(&shared)));
    log::info!(
        "event=started front={} ready={} control={} peers={} metrics={} place={} \
         incarnation={:016x} memory_budget={} features={}",
        options.front,
        options.ready,
        options.control,
        options.peers,
        options.metrics,
        options.dispatch.data_centre,
        options.dispatch.incarnation,
        shared.memory.usage().limit,
        options.dispatch.features,
    );
    let state = Arc::clone(&shared);
    let shutdown = task::spawn(async move {
        wait_for_signal(signals, &state, reload).await;
        shutdown::drain(&state, options.grace_period, closing).await;
    });
    future::or(shutdown, run_ticks(&shared, &peers, &publisher)).await;
    Ok(())
}

/// Binds the TCP addresses and starts to accept connections.
///
/// The control address is open until the sender of `serves` is dropped, the others until that of
/// `closed` is.
fn listen<I: Ingress>(
    options: &Options,
    shared: &Arc<Shared<I>>,
    closed: &Receiver<()>,
    serves: &Receiver<()>,
) -> io::Result<()> {
    let front = server::listen(options.front)?;
    let state = Arc::clone(shared);
    let limits = move || {
        let limits = front::limits(&state);
        Limits {
            head_bytes: limits.head_bytes,
            idle_timeout: limits.idle_time,
        }
    };
    let state = Arc::clone(shared);
    let serve = move |request| front::serve(Arc::clone(&state), request);
    let counts = (Arc::clone(&shared.answers), Arc::clone(&shared.connections));
    task::spawn(server::accept(front, closed.clone(), counts, limits, serve));
    for address in [options.ready, options.control, options.metrics] {
        let listener = server::listen(address)?;
        let (state, ready) = (Arc::clone(shared), options.ready_path.clone());
        let respond = move |request| control::respond(Arc::clone(&state), request, ready.clone());
        let limits = || Limits {
            head_bytes: MAX_CONTROL_HEAD_BYTES,
            idle_timeout: CONTROL_IDLE_TIMEOUT,
        };
        let closed = if address == options.control {
            serves
        } else {
            closed
        };
        task::spawn(server::accept(
            listener,
            closed.clone(),
            Default::default(),
            limits,
            respond,
        ));
    }
    Ok(())
}

/// Carries out the dispatcher's due actions at every tick, without end.
async fn run_ticks<I: Ingress, P: Publisher>(
    shared: &Arc<Shared<I>>,
    peers: &Peers,
    publisher: &P,
) {
    let mut count: u32 = 0;
    loop {
        Timer::after(TICK).await;
        count += 1;
        if count.is_multiple_of(POOL_EXPIRY_TICKS) {
            shared.pool.expire();
        }
        let due = shared.dispatcher().tick(clock::now());
        shared.handle_change(&due.change, "lapse");
        for node in &due.silent {
            log::info!("event=peer_silent node={node}");
        }
        for news in due.rates {
            log_terms(news, "peer");
        }
        for news in due.paths {
            log_path(news);
        }
        for key in due.closed {
            shared.pool.close(key);
        }
        for notice in &due.crashes {
            notice::log(notice);
        }
        for notice in &due.speeds {
            log_speed(notice);
        }
        if let Some(age) = due.watch_begun {
            log::info!("event=watch_begun age_ms={}", age.as_millis());
        }
        let told = [
            (Extension::SPEEDS, encode_speeds(&due.speed_message)),
            (Extension::AGES, encode_ages(due.ages)),
        ];
        let extensions: Vec<Extension<'_>> = told
            .iter()
            .filter_map(|(kind, bytes)| {
                let (kind, bytes) = (*kind, bytes.as_deref()?);
                Some(Extension { kind, bytes })
            })
            .collect();
        for heartbeat in &due.heartbeats {
            // One heartbeat of each round covers the last key, so that each receiver is told once.
            let is_last = heartbeat.beat.last == Key::MAX;
            let extensions = if is_last { &extensions[..] } else { &[] };
            peers
                .send_heartbeat(shared, &heartbeat.receivers, &heartbeat.beat, extensions)
                .await;
        }
        for request in due.snapshot_requests {
            let (shared, peers) = (Arc::clone(shared), peers.clone());
            task::spawn(async move { peers.fetch_snapshot(&shared, request).await });
        }
        if due.confirmation {
            let (shared, publisher) = (Arc::clone(shared), publisher.clone());
            task::spawn(async move { confirm_roster(&shared, &publisher).await });
        }
        if due.history {
            let (shared, publisher) = (Arc::clone(shared), publisher.clone());
            task::spawn(async move { read_history(&shared, &publisher).await });
        }
        for query in due.cache_queries {
            let shared = Arc::clone(shared);
            task::spawn(async move { exchange::fetch_cache_list(&shared, query).await });
        }
        for probe in due.probes {
            let shared = Arc::clone(shared);
            task::spawn(async move { exchange::probe(&shared, probe).await });
        }
        for search in due.searches {
            let shared = Arc::clone(shared);
            task::spawn(async move { exchange::search(&shared, search).await });
        }
    }
}

/// Logs a change of what is believed of an endpoint's speed.
fn log_speed(notice: &speed::Notice) {
    match notice {
        speed::Notice::Speed {
            endpoint,
            reading,
            step,
        } => log::info!(
            "event=endpoint_speed endpoint={endpoint} reading={reading:.2} step={step:.2}"
        ),
        speed::Notice::Stall {
            endpoint,
            time,
            usual,
        } => log::info!(
            "event=endpoint_stalled endpoint={endpoint} ms={} usual_ms={}",
            time.as_millis(),
            usual.as_millis()
        ),
    }
}

/// Reads the changes of the endpoint list from the publisher, since peers do not confirm it.
async fn confirm_roster<I: Ingress, P: Publisher>(shared: &Arc<Shared<I>>, publisher: &P) {
    let begun = clock::now();
    match publisher.catch_up(Area::Roster, Arc::clone(shared)).await {
        Ok(()) => {
            shared.dispatcher().record_confirmation(begun);
            log::info!("event=roster_confirmed");
        }
        Err(cause) => log::info!("event=roster_unconfirmed cause=\"{cause}\""),
    }
}

/// Reads which endpoints have left, as streams of before the start may have begun there.
async fn read_history<I: Ingress, P: Publisher>(shared: &Arc<Shared<I>>, publisher: &P) {
    let begun = clock::now();
    if let Err(cause) = publisher.read_history(Arc::clone(shared)).await {
        log::info!("event=history_unread cause=\"{cause}\"");
        return;
    }
    let departed = shared.dispatcher().departed_count();
    log::info!(
        "event=history_read departed={departed} ms={}",
        clock::now().saturating_sub(begun).as_millis()
    );
}

/// Waits for a termination signal; until then, applies changes of the seeds.
async fn wait_for_signal<I: Ingress, R>(mut signals: Signals, shared: &Shared<I>, reload: R)
where
    R: Fn() -> Option<Vec<Node>> + Send + Sync + 'static,
{
    /// Interval at which the settings are read, since they may change without a signal.
    const RELOAD_INTERVAL: Duration = Duration::from_secs(2);
    loop {
        let timer = async {
            Timer::after(RELOAD_INTERVAL).await;
            None
        };
        match future::or(async { signals.next().await }, timer).await {
            Some(SIGTERM | SIGINT) => return,
            Some(_) => log::info!("event=reload cause=signal"),
            None => {}
        }
        if let Some(seeds) = reload() {
            log::info!("event=seeds_changed seeds={}", seeds.len());
            shared.dispatcher().set_seeds(&seeds, clock::now());
        }
    }
}

/// Returns a random number that distinguishes this process from earlier ones.
#[must_use]
pub fn random_incarnation() -> u64 {
    rand::random()
}
