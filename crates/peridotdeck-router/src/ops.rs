//! The router program, callable without a command line.

use std::{io, path::PathBuf};

use futures_lite::StreamExt;
use peridotdeck_settings::{Settings, load};
use quick_error::quick_error;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use crate::{
    dial::Direct,
    router::{self, Router, Sockets},
};

quick_error! {
    /// Reason for which the router cannot run.
    #[derive(Debug)]
    pub enum Error {
        /// The settings file cannot be read or is invalid.
        Settings(cause: peridotdeck_settings::Error) {
            display("{cause}")
            from()
            source(cause)
        }
        /// An address cannot be bound, or signals cannot be received.
        Start(cause: io::Error) {
            display("cannot start: {cause}; check that the addresses in the settings belong to this VM and are not in use")
            from()
            source(cause)
        }
    }
}

/// Options of [`serve`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Path of the settings file (TOML).
    pub settings: PathBuf,
    /// Whether to check the settings and return without starting the router.
    pub check: bool,
}

/// Runs a router until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
/// If the settings cannot be read or are invalid, or the router cannot start.
pub async fn serve(options: &Options) -> Result<(), Error> {
    let settings = load(&options.settings)?;
    if options.check {
        println!("{}: ok", options.settings.display());
        return Ok(());
    }
    start_log(&settings);
    abort_on_panic();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let sockets = Sockets::bind(&settings).await?;
    let router = Router::start(settings, sockets, router::Options::from_clock(Direct)).await?;
    signals.next().await;
    router.drain().await;
    router.stop().await;
    Ok(())
}

/// Starts logging at the level of the settings; the variable `RUST_LOG` takes precedence.
fn start_log(settings: &Settings) {
    env_logger::Builder::from_env(
        env_logger::Env::default().default_filter_or(settings.log.clone()),
    )
    .format(|buffer, record| {
        use std::io::Write as _;
        let level = record.level().as_str().to_lowercase();
        writeln!(
            buffer,
            "ts={} level={level} {}",
            buffer.timestamp_millis(),
            record.args()
        )
    })
    .init();
}

/// Makes a panic in any task abort the process.
///
/// A panic is a bug. A router whose core has panicked would keep its sockets open without answering
/// any request; a process that has ended is replaced.
pub fn abort_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        std::process::abort();
    }));
}
