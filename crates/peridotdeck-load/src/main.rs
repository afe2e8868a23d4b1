//! The load and experiment tool.

use std::{path::PathBuf, process::ExitCode};

use async_std::task;
use bpaf::Bpaf;
use peridotdeck_core::Strategy;
use peridotdeck_load::{cost, ops};

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
    /// Measures what control costs a node in a data centre, and prints the table of the capacity
    /// page.
    #[bpaf(command)]
    Cost {
        /// Routers in the data centre, one run for each number.
        #[bpaf(argument("N"), some("name at least one number of nodes"))]
        nodes: Vec<u32>,
        /// Seconds for each measurement.
        #[bpaf(argument("S"), fallback(5))]
        seconds: u64,
    },
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    peridotdeck_router::ops::abort_on_panic();
    match command().run() {
        Command::Run {
            json,
            svg,
            strategy,
            seed,
            quiet,
            experiment,
        } => run(&ops::Run {
            experiment,
            json,
            svg,
            strategy,
            seed,
            quiet,
        }),
        Command::Cost { nodes, seconds } => match task::block_on(cost::measure(&nodes, seconds)) {
            Ok(table) => {
                println!("{table}");
                ExitCode::SUCCESS
            }
            Err(error) => fail(&error.to_string()),
        },
    }
}

fn run(options: &ops::Run) -> ExitCode {
    match task::block_on(ops::run(options)) {
        Ok(report) if report.invariants.hold() => ExitCode::SUCCESS,
        Ok(_) => fail("a promise was broken, see the invariants above"),
        Err(error) => fail(&error.to_string()),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("peridotdeck-load: {message}");
    ExitCode::FAILURE
}
