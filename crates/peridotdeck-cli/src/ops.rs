//! The subcommands as functions, without the command line.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use peridotdeck_policy::{Config, Parts, Snapshot, join, split};
use peridotdeck_router::operators::{Explanation, Query, Status};
use quick_error::quick_error;

use crate::remote;

quick_error! {
    /// Why a subcommand failed.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read(file: PathBuf, cause: io::Error) {
            display("{}: {cause}", file.display())
            source(cause)
        }
        /// The configuration is invalid; lists every mistake with the name that it concerns.
        Config(file: PathBuf, mistakes: Vec<String>) {
            display("{}: {} mistake(s)\n  {}", file.display(), mistakes.len(), mistakes.join("\n  "))
        }
        /// A request to a node failed.
        Remote(cause: remote::Error) {
            display("{cause}")
            from()
            source(cause)
        }
    }
}

/// Reads and checks a configuration file, a JSON object of parts as `Policy::print` writes it.
///
/// # Errors
/// [`Error::Read`] if the file cannot be read, [`Error::Config`] if the configuration is invalid.
pub fn read(path: &Path) -> Result<Config, Error> {
    let text = fs::read_to_string(path).map_err(|cause| Error::Read(path.to_owned(), cause))?;
    let invalid = |mistakes| Error::Config(path.to_owned(), mistakes);
    let parts: Parts =
        serde_json::from_str(&text).map_err(|cause| invalid(vec![cause.to_string()]))?;
    let encoded: Vec<(String, String)> = parts
        .iter()
        .map(|(key, value)| (key.clone(), value.to_string()))
        .collect();
    let pairs = encoded
        .iter()
        .map(|(key, value)| (key.as_str(), value.as_str()));
    let config = join(pairs).map_err(|error| invalid(vec![error.to_string()]))?;
    let checked = Snapshot::new(config.clone());
    checked.map_err(|errors| invalid(errors.iter().map(ToString::to_string).collect()))?;
    Ok(config)
}

/// Checks a configuration and returns one line with the number of items of each kind.
///
/// # Errors
/// See [`read`].
pub fn check(path: &Path) -> Result<String, Error> {
    let config = read(path)?;
    let endpoints: usize = config
        .services
        .iter()
        .map(|service| service.endpoints.len())
        .sum();
    Ok(format!(
        "{}: ok, {} classes, {} places, {} organisations, {} services, {endpoints} endpoints",
        path.display(),
        config.classes.len(),
        config.places.len(),
        config.organisations.len(),
        config.services.len()
    ))
}

/// Checks a configuration and returns its parts as JSON in canonical form.
///
/// # Errors
/// See [`read`].
pub fn print(path: &Path) -> Result<String, Error> {
    Ok(format!("{:#}", serde_json::json!(split(&read(path)?))))
}

/// Fetches a node's state.
///
/// # Errors
/// Fails if the node does not answer.
pub async fn status(node: SocketAddr) -> Result<Status, Error> {
    Ok(remote::call(node, "operator.status", ()).await?)
}

/// Fetches the class, limits and pools that a node would give a request.
///
/// # Errors
/// Fails if the node does not answer, or a name is unknown.
pub async fn explain(node: SocketAddr, query: Query) -> Result<Explanation, Error> {
    Ok(remote::call(node, "operator.explain", (query,)).await?)
}

/// Starts a node's graceful shutdown: it accepts no new work and finishes its requests.
///
/// # Errors
/// Fails if the node does not answer.
pub async fn drain(node: SocketAddr) -> Result<(), Error> {
    let _: bool = remote::call(node, "operator.drain", ()).await?;
    Ok(())
}

/// Formats a node's state as text for operators.
#[must_use]
pub fn format_status(status: &Status) -> String {
    let mut lines = vec![
        format!(
            "node {} in {}: {}",
            status.node,
            status.place,
            state_name(status)
        ),
        format!(
            "configuration {} (last refused {}), VM list {}",
            status.revision, status.rejected, status.roster
        ),
        format!(
            "open requests {}, votes on idempotency keys: {}",
            status.open, status.witness
        ),
    ];
    for (place, nodes) in &status.live {
        lines.push(format!("live in {place}: {nodes:?}"));
    }
    for pool in &status.pools {
        lines.push(format!(
            "pool of {}: {} waiting",
            pool.service, pool.waiting
        ));
        for endpoint in &pool.endpoints {
            lines.push(format!(
                "  endpoint {}: {}, {} of {} slots",
                endpoint.id, endpoint.phase, endpoint.in_flight, endpoint.slots
            ));
        }
    }
    lines.join("\n")
}

fn state_name(status: &Status) -> &'static str {
    match (status.leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}

/// Formats an explanation as text for operators.
#[must_use]
pub fn format_explanation(explanation: &Explanation) -> String {
    let mut lines = vec![
        format!("class {} of tier {}", explanation.class, explanation.tier),
        format!(
            "organisation has {} of {} requests in progress at this node",
            explanation.open, explanation.concurrency
        ),
    ];
    for (rank, pool) in explanation.pools.iter().enumerate() {
        let forecast = if pool.late {
            "would miss the target"
        } else {
            "keeps the target"
        };
        lines.push(format!(
            "{}. {} through node {}: wait {} ms, path {} ms, {forecast}",
            rank + 1,
            pool.place,
            pool.owner,
            pool.wait_ms,
            pool.path_ms
        ));
    }
    if explanation.pools.is_empty() {
        lines.push("no pool can take the request".to_owned());
    }
    lines.join("\n")
}

/// Fetches a relay node's state or, for a route, where a request would go now and why.
///
/// The request is of `organisation`, if that is not empty, and has a prompt of `tokens` tokens.
///
/// # Errors
/// Fails if the node does not answer, or does not know the route or the organisation.
pub async fn inspect(
    node: SocketAddr,
    route: Option<&str>,
    organisation: &str,
    tokens: u32,
) -> Result<String, Error> {
    let path = match route {
        Some(route) => {
            format!("/explain?route={route}&organisation={organisation}&tokens={tokens}")
        }
        None => "/status".to_owned(),
    };
    Ok(remote::fetch_page(node, &path).await?.trim_end().to_owned())
}
