//! Command line of the operators' command.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use async_std::task;
use bpaf::Bpaf;
use peridotdeck_cli::ops;
use peridotdeck_router::operators::Query;

/// Checks configurations and queries routers.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
enum Command {
    /// Checks a configuration file.
    #[bpaf(command)]
    Check {
        /// Configuration file: a JSON object of named parts.
        #[bpaf(positional("CONFIG"))]
        config: PathBuf,
    },
    /// Checks a configuration file and prints it in canonical form.
    #[bpaf(command)]
    Print {
        /// Configuration file: a JSON object of named parts.
        #[bpaf(positional("CONFIG"))]
        config: PathBuf,
    },
    /// Shows a node's state, the live nodes that it sees and the pools that it schedules.
    #[bpaf(command)]
    Status {
        /// Caller address of the node.
        #[bpaf(argument("ADDRESS"), fallback(default_address()))]
        node: SocketAddr,
    },
    /// Shows the class, limits and pools that a request would get, with the expected delays.
    #[bpaf(command)]
    Explain {
        /// Caller address of the node.
        #[bpaf(argument("ADDRESS"), fallback(default_address()))]
        node: SocketAddr,
        /// Name of the organisation.
        #[bpaf(argument("NAME"))]
        organisation: String,
        /// Name of the class, if not the service's default class.
        #[bpaf(argument("NAME"), fallback(String::new()))]
        class: String,
        /// Name of the service.
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Shows a relay node's state on the users' platform, or where a request would go now, without sending it.
    #[bpaf(command)]
    Inspect {
        /// Name of the route to explain.
        #[bpaf(argument("NAME"), optional)]
        route: Option<String>,
        /// Name of the organisation whose request to explain.
        #[bpaf(argument("NAME"), fallback(String::new()))]
        organisation: String,
        /// Prompt length in tokens of the request to explain.
        #[bpaf(argument("NUMBER"), fallback(0))]
        tokens: u32,
        /// Control address of the node.
        #[bpaf(positional("ADDRESS"))]
        node: SocketAddr,
    },
    /// Starts a node's graceful shutdown.
    #[bpaf(command)]
    Drain {
        /// Caller address of the node.
        #[bpaf(argument("ADDRESS"), fallback(default_address()))]
        node: SocketAddr,
    },
}

/// Returns the caller address in the example settings.
fn default_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8080))
}

async fn run(command: Command) -> Result<String, ops::Error> {
    match command {
        Command::Check { config } => ops::check(&config),
        Command::Print { config } => ops::print(&config),
        Command::Status { node } => Ok(ops::format_status(&ops::status(node).await?)),
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
            Ok(ops::format_explanation(&ops::explain(node, query).await?))
        }
        Command::Inspect {
            route,
            organisation,
            tokens,
            node,
        } => ops::inspect(node, route.as_deref(), &organisation, tokens).await,
        Command::Drain { node } => {
            ops::drain(node).await?;
            Ok("leaving".to_owned())
        }
    }
}

fn main() -> ExitCode {
    match task::block_on(run(command().run())) {
        Ok(output) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("peridotdeck: {error}");
            ExitCode::FAILURE
        }
    }
}
