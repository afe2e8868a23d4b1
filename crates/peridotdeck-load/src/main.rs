//! The load and experiment tool.

use std::{path::PathBuf, process::ExitCode};

use async_std::task;
use bpaf::Bpaf;
use peridotdeck_core::Strategy;
use peridotdeck_load::ops;

/// Load and experiments for peridotdeck.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Command {
    /// Runs an experiment and prints attainment by class; fails if a promise was broken.
    #[bpaf(command)]
    Run {
        /// File for the report as JSON.
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
        /// File for a plot of attainment over time.
        #[bpaf(argument("FILE"))]
        svg: Option<PathBuf>,
        /// Strategy: deadline, round-robin or least-outstanding.
        #[bpaf(argument("NAME"), fallback(Strategy::Deadline))]
        strategy: Strategy,
        /// Seed in place of the experiment's.
        #[bpaf(argument("N"))]
        seed: Option<u64>,
        /// Print no progress.
        quiet: bool,
        /// Experiment file (TOML).
        #[bpaf(positional("EXPERIMENT"))]
        experiment: PathBuf,
    },
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    peridotdeck_router::ops::abort_on_panic();
    let Command::Run {
        json,
        svg,
        strategy,
        seed,
        quiet,
        experiment,
    } = command().run();
    let options = ops::Run {
        experiment,
        json,
        svg,
        strategy,
        seed,
        quiet,
    };
    match task::block_on(ops::run(&options)) {
        Ok(report) if report.invariants.hold() => ExitCode::SUCCESS,
        Ok(_) => {
            eprintln!("peridotdeck-load: a promise was broken, see the invariants above");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("peridotdeck-load: {error}");
            ExitCode::FAILURE
        }
    }
}
