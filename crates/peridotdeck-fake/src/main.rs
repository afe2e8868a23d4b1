//! Stand-ins as processes of their own, for trying a router by hand.

use std::{fs, io, net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use async_std::task;
use bpaf::Bpaf;
use peridotdeck_fake::{Engine, Plain, Platform, Weights, engine::Setting, plain::Record};
use peridotdeck_policy::Parts;
use peridotdeck_wire::Member;

/// Runs one stand-in until it is stopped.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Command {
    /// A model engine.
    #[bpaf(command)]
    Engine {
        /// Name of the model.
        #[bpaf(argument("NAME"))]
        model: String,
        /// Address to listen on.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Start cold.
        cold: bool,
    },
    /// A plain service endpoint.
    #[bpaf(command)]
    Plain {
        /// Address to listen on.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Time that a call takes in milliseconds.
        #[bpaf(argument("MS"), fallback(10))]
        delay: u64,
    },
    /// A configuration service with its VM list; the files are read again every second.
    #[bpaf(command)]
    Platform {
        /// Address to listen on.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Configuration (JSON parts).
        #[bpaf(argument("FILE"))]
        config: PathBuf,
        /// VM list (JSON list of members).
        #[bpaf(argument("FILE"))]
        vms: PathBuf,
    },
    /// A weight store on a port that the system chooses.
    #[bpaf(command)]
    Weights {
        /// Reads a second.
        #[bpaf(argument("N"), fallback(10))]
        rate: u32,
    },
}

async fn run(command: Command) -> io::Result<()> {
    match command {
        Command::Engine {
            model,
            listen,
            cold,
        } => {
            let setting = Setting {
                model,
                starts_cold: cold,
                ..Setting::default()
            };
            let engine = Engine::start_at(listen, setting).await?;
            wait(engine.address()).await;
        }
        Command::Plain { listen, delay } => {
            let plain =
                Plain::start_at(listen, Record::default(), Duration::from_millis(delay)).await?;
            wait(plain.address()).await;
        }
        Command::Platform {
            listen,
            config,
            vms,
        } => publish(listen, &config, &vms).await?,
        Command::Weights { rate } => {
            let weights = Weights::start(rate).await?;
            wait(weights.address()).await;
        }
    }
    Ok(())
}

async fn wait(address: SocketAddr) {
    println!("listening on {address}");
    std::future::pending::<()>().await;
}

/// Publishes two files and follows their changes; a broken file leaves the old content published.
async fn publish(listen: SocketAddr, config: &PathBuf, vms: &PathBuf) -> io::Result<()> {
    /// Time between two looks at the files.
    const LOOK: Duration = Duration::from_secs(1);
    let platform = Platform::start_at(listen).await?;
    println!("listening on {}", platform.address());
    let (mut old_config, mut old_vms) = (String::new(), String::new());
    loop {
        let (new_config, new_vms) = (fs::read_to_string(config)?, fs::read_to_string(vms)?);
        if new_config != old_config {
            match serde_json::from_str::<Parts>(&new_config) {
                Ok(parts) => println!("published revision {}", platform.publish(&parts)),
                Err(cause) => eprintln!("{}: {cause}", config.display()),
            }
            old_config = new_config;
        }
        if new_vms != old_vms {
            match serde_json::from_str::<Vec<Member>>(&new_vms) {
                Ok(members) => println!("published VM list {}", platform.list(members)),
                Err(cause) => eprintln!("{}: {cause}", vms.display()),
            }
            old_vms = new_vms;
        }
        task::sleep(LOOK).await;
    }
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match task::block_on(run(command().run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("peridotdeck-fake: {error}");
            ExitCode::FAILURE
        }
    }
}
