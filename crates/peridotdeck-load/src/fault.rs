//! Carries out the faults of an experiment.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{sync::RwLock, task};
use peridotdeck_router::handle::Input;

use crate::{
    arrivals::Arrival,
    caller,
    experiment::{Experiment, Fault, Kind},
    stage::Stage,
};

/// Time after which the balancer stops sending to a router that has died.
const NOTICE: Duration = Duration::from_secs(1);

/// Time after that until the VM list drops it.
const LISTED: Duration = Duration::from_secs(2);

/// Time after which no new work may reach a data centre that was taken out.
const OUT: Duration = Duration::from_secs(3);

/// The stage, shared by callers and faults.
pub type Shared = Arc<RwLock<Stage>>;

/// Runs begun in data centres that were out.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    out: Vec<(String, Option<u64>)>,
    /// Runs begun too late.
    pub late_runs: u64,
}

/// Carries out all faults in time, then returns what the watch has seen.
pub async fn play(experiment: Arc<Experiment>, shared: Shared, started: Instant) -> Watch {
    let mut faults = experiment.faults.clone();
    faults.sort_by(|one, other| one.at.total_cmp(&other.at));
    let mut watch = Watch::default();
    for fault in &faults {
        let due = Duration::from_secs_f64(fault.at);
        task::sleep(due.saturating_sub(started.elapsed())).await;
        log::info!("event=fault at={:.1} kind=\"{:?}\"", fault.at, fault.kind);
        if let Err(cause) = inject(fault, &experiment, &shared, &mut watch).await {
            log::error!("event=fault_failed cause=\"{cause}\"");
        }
    }
    let end = Duration::from_secs(experiment.seconds);
    task::sleep(end.saturating_sub(started.elapsed())).await;
    for (place, _) in watch.out.clone() {
        watch.close(&place, &*shared.read().await);
    }
    watch
}

impl Watch {
    /// Counts the runs of a data centre from now on.
    fn open(&mut self, place: &str, stage: &Stage) {
        self.out.push((place.to_owned(), Some(runs(place, stage))));
    }

    /// Adds the runs begun since [`Watch::open`].
    fn close(&mut self, place: &str, stage: &Stage) {
        let now = runs(place, stage);
        for (_, before) in self.out.iter_mut().filter(|(name, _)| name == place) {
            if let Some(before) = before.take() {
                self.late_runs += now - before;
            }
        }
    }
}

fn runs(place: &str, stage: &Stage) -> u64 {
    let engines = stage.engines.iter().filter(|(name, _)| name == place);
    engines.map(|(_, engine)| engine.counts().runs).sum()
}

async fn inject(
    fault: &Fault,
    experiment: &Experiment,
    shared: &Shared,
    watch: &mut Watch,
) -> io::Result<()> {
    match &fault.kind {
        Kind::Engine { index, fault } => shared.read().await.engines[*index].1.inject(*fault),
        Kind::Plain { index, fault } => shared.read().await.plains[*index].1.inject(*fault),
        Kind::PlaceOut(place) => {
            shared.write().await.set_out(place, true);
            task::sleep(OUT).await;
            watch.open(place, &*shared.read().await);
        }
        Kind::PlaceBack(place) => {
            let mut stage = shared.write().await;
            watch.close(place, &stage);
            stage.set_out(place, false);
        }
        Kind::RouterKill(index) => kill(*index, shared).await,
        Kind::RouterPause { index, seconds } => pause(*index, *seconds, shared).await,
        Kind::RouterReplace(index) => replace(*index, shared).await?,
        Kind::Cut(place) => shared.read().await.paths.cut(place),
        Kind::Heal => shared.read().await.paths.heal(),
        Kind::PlatformDown => shared.read().await.platform.set_down(true),
        Kind::PlatformUp => shared.read().await.platform.set_down(false),
        Kind::Deadly { service, times } => send_deadly(experiment, service, *times, shared).await,
    }
    Ok(())
}

/// A router dies; the balancer notices, and later the VM list.
async fn kill(index: usize, shared: &Shared) {
    shared.write().await.kill(index).await;
    let shared = Arc::clone(shared);
    task::spawn(async move {
        task::sleep(NOTICE).await;
        shared.write().await.slots[index].up = false;
        task::sleep(LISTED).await;
        shared.write().await.unlist(index).await;
    });
}

/// Blocks the router's core, as SIGSTOP blocks a process; its sockets stay open. The balancer's
/// health checks notice.
async fn pause(index: usize, seconds: f64, shared: &Shared) {
    let stage = shared.read().await;
    let Some(router) = &stage.slots[index].router else {
        return;
    };
    let pause = Duration::from_secs_f64(seconds);
    let sleep = move |_: &_, _| std::thread::sleep(pause);
    router
        .handle()
        .send_input(Input::Inspect(Box::new(sleep)))
        .await;
    let shared = Arc::clone(shared);
    task::spawn(async move {
        task::sleep(NOTICE).await;
        shared.write().await.slots[index].up = false;
        task::sleep(pause.saturating_sub(NOTICE)).await;
        shared.write().await.slots[index].up = true;
    });
}

/// The balancer stops sending, the old router drains while the new one starts.
async fn replace(index: usize, shared: &Shared) -> io::Result<()> {
    let old = {
        let mut stage = shared.write().await;
        stage.replace(index).await?
    };
    if let Some(old) = old {
        let shared = Arc::clone(shared);
        task::spawn(async move {
            old.drain().await;
            shared.write().await.retire(old);
        });
    }
    Ok(())
}

async fn send_deadly(experiment: &Experiment, service: &str, times: u32, shared: &Shared) {
    let Some(load) = experiment
        .loads
        .iter()
        .position(|load| load.service == service)
    else {
        return;
    };
    let arrival = Arrival {
        at: Duration::ZERO,
        load,
        organisation: 0,
        place: 0,
        prompt: format!("{} about 10", peridotdeck_fake::text::DEADLY),
        key: None,
        twice: false,
    };
    for draw in 0..times {
        let place = &experiment.places[draw as usize % experiment.places.len()].name;
        let Some((_, address)) = shared.read().await.balance(place, draw as usize) else {
            continue;
        };
        let outcome = caller::send(experiment, &arrival, address, Duration::from_secs(10)).await;
        log::info!("event=deadly_sent end=\"{:?}\"", outcome.end);
    }
}
