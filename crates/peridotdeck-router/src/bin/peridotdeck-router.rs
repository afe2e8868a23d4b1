//! The entry router, one per VM.

use std::{path::PathBuf, process::ExitCode};

use async_std::task;
use bpaf::Bpaf;
use peridotdeck_router::ops::{Options, serve};

/// Runs an entry router.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Arguments {
    /// Check the settings and stop.
    check: bool,
    /// Settings file (TOML).
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let Arguments { check, settings } = arguments().run();
    match task::block_on(serve(&Options { settings, check })) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("peridotdeck-router: {error}");
            ExitCode::FAILURE
        }
    }
}
