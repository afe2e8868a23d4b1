//! What the load tool's command does, callable without a command line.

use std::{
    collections::BTreeMap,
    error::Error,
    fs,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::{sync::RwLock, task};
use peridotdeck_core::Strategy;

use crate::{
    arrivals::{self, Arrival},
    bound,
    caller::{self, End},
    experiment::{self, Experiment},
    fault::{self, Shared},
    plot,
    stage::Stage,
    tally::{Report, Tally},
};

/// Time between two lines of progress.
const PROGRESS: Duration = Duration::from_secs(5);

/// Options of [`run`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Run {
    /// Experiment file.
    pub experiment: PathBuf,
    /// File for the report as JSON.
    pub json: Option<PathBuf>,
    /// File for the plot of attainment over time.
    pub svg: Option<PathBuf>,
    /// Placement strategy.
    pub strategy: Strategy,
    /// Seed in place of the file's.
    pub seed: Option<u64>,
    /// Whether to print no progress.
    pub quiet: bool,
}

/// Runs an experiment, prints the table, and returns the report.
///
/// # Errors
/// If the experiment is wrong, something cannot start, or a file cannot be written.
pub async fn run(options: &Run) -> Result<Report, Box<dyn Error>> {
    let experiment = experiment::load(&options.experiment)?;
    let seed = options.seed.unwrap_or(experiment.seed);
    let report = play(experiment, options.strategy, seed, options.quiet).await?;
    println!(
        "strategy={} seed={seed}\n{}",
        report.strategy,
        report.table()
    );
    if let Some(path) = &options.json {
        fs::write(path, serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(path) = &options.svg {
        plot::attainment(&report, path)?;
    }
    Ok(report)
}

/// What the callers of one run share.
#[derive(Clone, Debug)]
struct Traffic {
    experiment: Arc<Experiment>,
    stage: Shared,
    tally: Arc<Mutex<Tally>>,
    verdicts: Arc<Mutex<Vec<(String, String)>>>,
    started: Instant,
}

/// Plays an experiment and returns the report.
///
/// # Errors
/// If something cannot start.
pub async fn play(
    experiment: Experiment,
    strategy: Strategy,
    seed: u64,
    quiet: bool,
) -> Result<Report, Box<dyn Error>> {
    let arrivals = arrivals::draw(&experiment, seed);
    let bounds = bound::attainment(&experiment, &arrivals);
    let stage = Stage::start(&experiment, strategy, seed).await?;
    let tally = Tally::new(&experiment, &strategy.to_string(), seed);
    let traffic = Traffic {
        started: Instant::now(),
        experiment: Arc::new(experiment),
        stage: Arc::new(RwLock::new(stage)),
        tally: Arc::new(Mutex::new(tally)),
        verdicts: Arc::default(),
    };
    let started = traffic.started;
    let faults = task::spawn(fault::play(
        Arc::clone(&traffic.experiment),
        Arc::clone(&traffic.stage),
        started,
    ));
    let total = arrivals.len();
    let progress = (!quiet).then(|| task::spawn(show_progress(traffic.clone(), started, total)));
    let mut callers = Vec::with_capacity(total);
    for (index, arrival) in arrivals.into_iter().enumerate() {
        task::sleep(arrival.at.saturating_sub(started.elapsed())).await;
        callers.push(task::spawn(attend(traffic.clone(), arrival, index)));
    }
    for caller in callers {
        caller.await;
    }
    let watch = faults.await;
    if let Some(progress) = progress {
        progress.cancel().await;
    }
    conclude(&traffic, watch.late_runs, &bounds).await
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn show_progress(traffic: Traffic, started: Instant, total: usize) {
    loop {
        task::sleep(PROGRESS).await;
        let ended = lock(&traffic.tally).ended();
        eprintln!(
            "{:>3} s: {ended} of {total} requests ended",
            started.elapsed().as_secs()
        );
    }
}

/// One caller, who may send a call with a key to two routers at once.
async fn attend(traffic: Traffic, arrival: Arrival, index: usize) {
    if arrival.twice {
        let second = traffic.clone();
        let copy = arrival.clone();
        let other = task::spawn(async move { second.send(&copy, index + 1, false).await });
        traffic.send(&arrival, index, true).await;
        other.await;
    } else {
        traffic.send(&arrival, index, true).await;
    }
}

impl Traffic {
    /// Callers wait until the experiment ends, because bulk may take that long.
    fn patience(&self) -> Duration {
        let end = self.experiment.seconds + self.experiment.tail_seconds;
        Duration::from_secs(end).saturating_sub(self.started.elapsed())
    }

    async fn send(&self, arrival: &Arrival, draw: usize, counts: bool) {
        let place = &self.experiment.places[arrival.place].name;
        let target = self.stage.read().await.balance(place, draw);
        let Some((slot, address)) = target else {
            return;
        };
        let mut outcome = caller::send(&self.experiment, arrival, address, self.patience()).await;
        let died = self.has_died(slot, address).await;
        if died && outcome.end == End::Lost {
            outcome = self.send_again(arrival, draw).await.unwrap_or(outcome);
        }
        self.note_verdict(arrival, &outcome.end);
        if counts {
            let class = &self.experiment.loads[arrival.load].class;
            lock(&self.tally).add(class, arrival.at, &outcome, died);
        }
    }

    async fn has_died(&self, slot: usize, address: std::net::SocketAddr) -> bool {
        let stage = self.stage.read().await;
        stage.slots[slot]
            .router
            .as_ref()
            .is_none_or(|router| router.address() != address)
    }

    /// A caller whose router died sends the same request again to another.
    async fn send_again(&self, arrival: &Arrival, draw: usize) -> Option<caller::Outcome> {
        let stage = self.stage.read().await;
        let live = stage.slots.iter().filter_map(|slot| slot.router.as_ref());
        let addresses: Vec<_> = live.map(peridotdeck_router::Router::address).collect();
        drop(stage);
        let address = *addresses.get(draw % addresses.len().max(1))?;
        Some(caller::send(&self.experiment, arrival, address, self.patience()).await)
    }

    fn note_verdict(&self, arrival: &Arrival, end: &End) {
        let Some(key) = &arrival.key else { return };
        let verdict = match end {
            End::Refused(verdict) => verdict.clone(),
            _ => "other".to_owned(),
        };
        lock(&self.verdicts).push((key.clone(), verdict));
    }
}

async fn conclude(
    traffic: &Traffic,
    late_runs: u64,
    bounds: &BTreeMap<String, f64>,
) -> Result<Report, Box<dyn Error>> {
    let stage = traffic.stage.read().await;
    let mut generated: BTreeMap<String, u64> = BTreeMap::new();
    let mut cold_exceeded = 0;
    for (_, engine) in &stage.engines {
        let counts = engine.counts();
        cold_exceeded += counts.cold_exceeded;
        for (class, tokens) in counts.tokens {
            *generated.entry(class).or_default() += tokens;
        }
    }
    let mut shed = 0;
    for router in stage.routers() {
        let counts = router
            .handle()
            .inspect(|node, _| node.pools().counts())
            .await;
        shed += counts.map_or(0, |counts| counts.shed_for_bulk);
    }
    let experiment = Arc::clone(&traffic.experiment);
    let empty = Tally::new(&experiment, "", 0);
    let mut tally = std::mem::replace(&mut *lock(&traffic.tally), empty);
    let invariants = tally.invariants();
    invariants.duplicates = stage.record.duplicates().len() as u64;
    invariants.untrue_not_run = untrue(&lock(&traffic.verdicts), &stage);
    invariants.shed_for_bulk = shed;
    invariants.work_to_place_out = late_runs;
    invariants.cold_limit_exceeded = cold_exceeded;
    Ok(tally.finish(&generated, bounds))
}

/// Counts the keys that ran although every caller was told not run.
fn untrue(verdicts: &[(String, String)], stage: &Stage) -> u64 {
    let mut keys: Vec<&str> = verdicts.iter().map(|(key, _)| key.as_str()).collect();
    keys.sort_unstable();
    keys.dedup();
    let refused = keys.into_iter().filter(|key| {
        verdicts
            .iter()
            .filter(|(each, _)| each == key)
            .all(|(_, verdict)| verdict == "not_run")
    });
    refused.filter(|key| stage.record.runs(key) > 0).count() as u64
}
