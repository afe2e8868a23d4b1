//! Arrivals follow from the seed, and the bound from the arrivals.

use std::path::Path;

use peridotdeck_load::{Experiment, arrivals::draw, bound::attainment, experiment::load};

fn experiment() -> Experiment {
    load(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments/hollerieth.toml")).unwrap()
}

#[test]
fn same_seed() {
    let experiment = experiment();
    assert_eq!(draw(&experiment, 5), draw(&experiment, 5));
    assert_ne!(draw(&experiment, 5), draw(&experiment, 6));
}

#[test]
fn burst_is_denser() {
    let experiment = experiment();
    let arrivals = draw(&experiment, 5);
    let perusal = experiment
        .loads
        .iter()
        .position(|load| load.class == "perusal")
        .unwrap();
    let count = |from: u64, to: u64| {
        arrivals
            .iter()
            .filter(|each| each.load == perusal && (from..to).contains(&each.at.as_secs()))
            .count()
    };
    assert!(count(8, 16) > 3 * count(0, 8));
}

#[test]
fn bound_is_a_share() {
    let experiment = experiment();
    let bounds = attainment(&experiment, &draw(&experiment, 5));
    assert!(
        bounds.values().all(|&bound| (0.0..=1.0).contains(&bound)),
        "{bounds:?}"
    );
    assert!(bounds["perusal"] < 1.0, "the burst exceeds the capacity");
    assert!(
        bounds["cast-breakdown"] > 0.999,
        "the most urgent class alone does not"
    );
}
