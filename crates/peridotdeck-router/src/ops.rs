//! What the router's command does, callable without a command line.

use std::{io, path::PathBuf};

use futures_lite::StreamExt;
use peridotdeck_settings::{Settings, load};
use quick_error::quick_error;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use crate::{
    dial::Direct,
    router::{Options, Router, Sockets},
};

quick_error! {
    /// Why the router cannot run.
    #[derive(Debug)]
    pub enum Error {
        /// The settings are wrong.
        Settings(cause: peridotdeck_settings::Error) {
            display("{cause}")
            from()
            source(cause)
        }
        /// An address cannot be bound, or signals cannot be received.
        Start(cause: io::Error) {
            display("cannot start: {cause}; check that the addresses are this machine's and free")
            from()
            source(cause)
        }
    }
}

/// Options of [`serve`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Serve {
    /// Settings file.
    pub settings: PathBuf,
    /// Whether to stop after checking it.
    pub check: bool,
}

/// Runs a router until a signal asks it to leave; SIGTERM and SIGINT shut down gracefully.
///
/// # Errors
/// If the settings are wrong or the router cannot start.
pub async fn serve(options: &Serve) -> Result<(), Error> {
    let settings = load(&options.settings)?;
    if options.check {
        println!("{}: ok", options.settings.display());
        return Ok(());
    }
    start_log(&settings);
    abort_on_panic();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let sockets = Sockets::bind(&settings).await?;
    let router = Router::start(settings, sockets, Options::from_clock(Direct)).await?;
    signals.next().await;
    router.drain().await;
    router.stop().await;
    Ok(())
}

/// Starts logging at the settings' level; the `RUST_LOG` variable goes before it.
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

/// Ends the process when any task panics.
///
/// A panic is a fault of this program. A router whose core has died would keep its sockets open
/// and answer nobody; ended, it is replaced.
pub fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        std::process::abort();
    }));
}
