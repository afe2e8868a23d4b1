//! What a scheduler that knew all sizes could attain.
//!
//! A fluid bound: in each second the engines give a fixed number of slot-seconds, spent on the most
//! urgent class first. Interactive work that finds no room in its second is lost; bulk may use any
//! later second. No faults, no path delays and perfect packing, so nothing real can exceed it.

use std::collections::BTreeMap;

use peridotdeck_fake::text;

use crate::{arrivals::Arrival, experiment::Experiment};

/// Part by which a full batch slows each step, as the stand-in engine does.
const BATCH_SLOWDOWN: f64 = 1.5;

/// Returns the attainable part of each class that uses models; others have no bound.
#[must_use]
pub fn attainment(experiment: &Experiment, arrivals: &[Arrival]) -> BTreeMap<String, f64> {
    let seconds = (experiment.seconds + experiment.tail_seconds) as usize;
    let mut bounds = BTreeMap::new();
    for model in &experiment.models {
        let slots = f64::from(model.engine.slots) * model.places.len() as f64;
        let mut room = vec![slots; seconds];
        let mut classes: Vec<_> = experiment.classes.iter().collect();
        classes.sort_by_key(|class| class.tier);
        for class in classes {
            let mut demand = vec![0.0; seconds];
            for arrival in arrivals {
                let load = &experiment.loads[arrival.load];
                if load.class == class.name && load.service == model.name {
                    let second = (arrival.at.as_secs() as usize).min(seconds - 1);
                    demand[second] += slot_seconds(&model.engine, load.prompt, &arrival.prompt);
                }
            }
            let total: f64 = demand.iter().sum();
            if total > 0.0 {
                let served = serve(&demand, &mut room, class.bulk);
                // Sums in another order may differ in the last digit.
                bounds.insert(class.name.clone(), (served / total).min(1.0));
            }
        }
    }
    bounds
}

fn slot_seconds(engine: &peridotdeck_fake::engine::Setting, prompt: u32, text: &str) -> f64 {
    let prefill = f64::from(prompt) * f64::from(engine.prefill_us) / 2.0;
    let decode = f64::from(text::tokens(text, 0)) * f64::from(engine.step_us) * BATCH_SLOWDOWN;
    (prefill + decode) / 1e6
}

/// Spends the room of each second and returns the served demand.
fn serve(demand: &[f64], room: &mut [f64], waits: bool) -> f64 {
    let (mut backlog, mut served) = (0.0, 0.0);
    for (wanted, room) in demand.iter().zip(room) {
        backlog += wanted;
        let now = backlog.min(*room);
        *room -= now;
        served += now;
        backlog = if waits { backlog - now } else { 0.0 };
    }
    served
}
