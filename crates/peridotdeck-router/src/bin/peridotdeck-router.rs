//! The entry router, one per VM.

use std::{path::PathBuf, process::ExitCode};

use async_std::task;
use bpaf::Bpaf;
use futures_lite::future;
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
    // A task runs in the executor's threads, as all others do. A further thread that waits for events would wake
    // them for each.
    let router = task::spawn(async move { serve(&Options { settings, check }).await });
    match future::block_on(router) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("peridotdeck-router: {error}");
            ExitCode::FAILURE
        }
    }
}
