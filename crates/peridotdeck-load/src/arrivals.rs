//! The requests of an experiment, computed before it starts.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::experiment::{Experiment, Load};

/// Text of one prompt token.
const FILLER: &str = "act ";

/// One request to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time after the start.
    pub at: Duration,
    /// Index of its load in the experiment.
    pub load: usize,
    /// Index of its customer in the experiment.
    pub organisation: usize,
    /// Index of the data centre near its caller.
    pub place: usize,
    /// Prompt of a completion.
    pub prompt: String,
    /// Key of a call that must run at most once.
    pub key: Option<String>,
    /// Whether its caller sends it to two routers at once.
    pub twice: bool,
}

/// Draws all arrivals, in order of time.
#[must_use]
pub fn draw(experiment: &Experiment, seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, load) in experiment.loads.iter().enumerate() {
        let mut rng = SmallRng::seed_from_u64(seed ^ (index as u64) << 32);
        let mut at = 0.0;
        loop {
            let rate = load.rate * factor(load, at);
            // The inverse of the exponential distribution turns a uniform draw into a gap.
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            if at >= experiment.seconds as f64 {
                break;
            }
            arrivals.push(arrival(experiment, index, load, at, &mut rng));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn factor(load: &Load, at: f64) -> f64 {
    let burst = load
        .bursts
        .iter()
        .find(|burst| (burst.from..burst.to).contains(&at));
    burst.map_or(1.0, |burst| burst.factor)
}

fn arrival(
    experiment: &Experiment,
    index: usize,
    load: &Load,
    at: f64,
    rng: &mut SmallRng,
) -> Arrival {
    let tokens = tokens(load, rng);
    let serial: u64 = rng.random();
    let act = serial % 40;
    let filler = FILLER.repeat(load.prompt.saturating_sub(16) as usize);
    Arrival {
        at: Duration::from_secs_f64(at),
        load: index,
        organisation: pick(experiment, rng),
        place: rng.random_range(0..experiment.places.len()),
        prompt: format!(
            "Script {act:04} of the season, for a director. {filler}Scene {serial:016x}: write about {tokens} words"
        ),
        key: load.once.then(|| format!("{serial:016x}")),
        twice: load.once && rng.random_bool(load.twice),
    }
}

/// Draws an output size; small ones are more frequent, as with real answers.
fn tokens(load: &Load, rng: &mut SmallRng) -> u32 {
    let spread = f64::from(load.tokens_max - load.tokens_min);
    let draw: f64 = rng.random::<f64>() * rng.random::<f64>();
    load.tokens_min + (spread * draw * 2.0).min(spread) as u32
}

fn pick(experiment: &Experiment, rng: &mut SmallRng) -> usize {
    let total: f64 = experiment.organisations.iter().map(|each| each.load).sum();
    let mut draw = rng.random::<f64>() * total;
    for (index, organisation) in experiment.organisations.iter().enumerate() {
        draw -= organisation.load;
        if draw < 0.0 {
            return index;
        }
    }
    experiment.organisations.len() - 1
}
