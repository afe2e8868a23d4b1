//! The operators' command.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use async_std::task;
use bpaf::Bpaf;
use peridotdeck_cli::ops;
use peridotdeck_router::operators::Query;

/// Checks configurations and asks routers.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Command {
    /// Checks a configuration file.
    #[bpaf(command)]
    Check {
        /// Configuration (JSON parts).
        #[bpaf(positional("CONFIG"))]
        config: PathBuf,
    },
    /// Checks a configuration file and prints it in canonical form.
    #[bpaf(command)]
    Print {
        /// Configuration (JSON parts).
        #[bpaf(positional("CONFIG"))]
        config: PathBuf,
    },
    /// Shows the state of a node, its view of the fleet and its engines.
    #[bpaf(command)]
    Status {
        /// Callers' address of the node.
        #[bpaf(argument("ADDRESS"), fallback(local()))]
        node: SocketAddr,
    },
    /// Shows how a request would be classed, limited and placed, and why.
    #[bpaf(command)]
    Explain {
        /// Callers' address of the node.
        #[bpaf(argument("ADDRESS"), fallback(local()))]
        node: SocketAddr,
        /// Customer.
        #[bpaf(argument("NAME"))]
        organisation: String,
        /// Class in place of the service's own.
        #[bpaf(argument("NAME"), fallback(String::new()))]
        class: String,
        /// Service.
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Shows the state of a node on the users' platform; with a route, what its endpoints would do.
    #[bpaf(command)]
    Inspect {
        /// Route whose requests are to be explained.
        #[bpaf(argument("NAME"), optional)]
        route: Option<String>,
        /// Prompt tokens of such a request.
        #[bpaf(argument("NUMBER"), fallback(0))]
        tokens: u32,
        /// Control address of the node.
        #[bpaf(positional("ADDRESS"))]
        node: SocketAddr,
    },
    /// Asks a node to leave gracefully.
    #[bpaf(command)]
    Drain {
        /// Callers' address of the node.
        #[bpaf(argument("ADDRESS"), fallback(local()))]
        node: SocketAddr,
    },
}

/// Where a router listens by the example settings.
fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8080))
}

async fn run(command: Command) -> Result<String, ops::Error> {
    match command {
        Command::Check { config } => ops::check(&config),
        Command::Print { config } => ops::print(&config),
        Command::Status { node } => Ok(ops::show_status(&ops::status(node).await?)),
        Command::Explain {
            node,
            organisation,
            class,
            service,
        } => {
            let query = Query {
                organisation,
                service,
                class,
            };
            Ok(ops::show_explanation(&ops::explain(node, query).await?))
        }
        Command::Inspect {
            route,
            tokens,
            node,
        } => ops::inspect(node, route.as_deref(), tokens).await,
        Command::Drain { node } => {
            ops::drain(node).await?;
            Ok("leaving".to_owned())
        }
    }
}

fn main() -> ExitCode {
    match task::block_on(run(command().run())) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("peridotdeck: {error}");
            ExitCode::FAILURE
        }
    }
}
