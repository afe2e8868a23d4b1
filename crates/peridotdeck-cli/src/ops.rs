//! What the command does, callable without a command line.

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
    /// Why the command failed.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read(file: PathBuf, cause: io::Error) {
            display("{}: {cause}", file.display())
            source(cause)
        }
        /// The configuration has mistakes.
        Config(file: PathBuf, mistakes: Vec<String>) {
            display("{}: {} mistake(s)\n  {}", file.display(), mistakes.len(), mistakes.join("\n  "))
        }
        /// A node did not answer.
        Remote(cause: remote::Error) {
            display("{cause}")
            from()
            source(cause)
        }
    }
}

/// Reads a configuration: the parts that the operators' library prints.
///
/// # Errors
/// Lists every mistake with the name that it concerns.
pub fn read(path: &Path) -> Result<Config, Error> {
    let text = fs::read_to_string(path).map_err(|cause| Error::Read(path.to_owned(), cause))?;
    let wrong = |mistakes| Error::Config(path.to_owned(), mistakes);
    let parts: Parts =
        serde_json::from_str(&text).map_err(|cause| wrong(vec![cause.to_string()]))?;
    let texts: Vec<(String, String)> = parts
        .iter()
        .map(|(key, value)| (key.clone(), value.to_string()))
        .collect();
    let pairs = texts
        .iter()
        .map(|(key, value)| (key.as_str(), value.as_str()));
    let config = join(pairs).map_err(|error| wrong(vec![error.to_string()]))?;
    let checked = Snapshot::new(config.clone());
    checked.map_err(|errors| wrong(errors.iter().map(ToString::to_string).collect()))?;
    Ok(config)
}

/// Checks a configuration and returns one line about it.
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

/// Checks a configuration and prints its parts in their canonical form.
///
/// # Errors
/// See [`read`].
pub fn print(path: &Path) -> Result<String, Error> {
    Ok(format!("{:#}", serde_json::json!(split(&read(path)?))))
}

/// Returns a node's state.
///
/// # Errors
/// If the node does not answer.
pub async fn status(node: SocketAddr) -> Result<Status, Error> {
    Ok(remote::call(node, "operator.status", ()).await?)
}

/// Returns how a request would be classed, limited and placed by a node.
///
/// # Errors
/// If the node does not answer, or a name is unknown.
pub async fn explain(node: SocketAddr, query: Query) -> Result<Explanation, Error> {
    Ok(remote::call(node, "operator.explain", (query,)).await?)
}

/// Asks a node to leave: it takes no new work and lets every request end.
///
/// # Errors
/// If the node does not answer.
pub async fn drain(node: SocketAddr) -> Result<(), Error> {
    let _: bool = remote::call(node, "operator.drain", ()).await?;
    Ok(())
}

/// Prints a node's state for people.
#[must_use]
pub fn show_status(status: &Status) -> String {
    let mut lines = vec![
        format!(
            "node {} in {}: {}",
            status.node,
            status.place,
            state(status)
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

fn state(status: &Status) -> &'static str {
    match (status.leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}

/// Prints an explanation for people.
#[must_use]
pub fn show_explanation(explanation: &Explanation) -> String {
    let mut lines = vec![
        format!("class {} of tier {}", explanation.class, explanation.tier),
        format!(
            "customer has {} of {} requests in progress here",
            explanation.open, explanation.concurrency
        ),
    ];
    for (rank, pool) in explanation.pools.iter().enumerate() {
        let promise = if pool.late {
            "would miss the target"
        } else {
            "keeps the target"
        };
        lines.push(format!(
            "{}. {} through node {}: wait {} ms, path {} ms, {promise}",
            rank + 1,
            pool.place,
            pool.owner,
            pool.wait_ms,
            pool.path_ms
        ));
    }
    if explanation.pools.is_empty() {
        lines.push("no pool can take it".to_owned());
    }
    lines.join("\n")
}

/// Returns the state of a node on the users' platform, or what its endpoints would do for a request.
///
/// # Errors
/// If the node does not answer, or does not know the route.
pub async fn inspect(node: SocketAddr, route: Option<&str>, tokens: u32) -> Result<String, Error> {
    let path = match route {
        Some(route) => format!("/explain?route={route}&tokens={tokens}"),
        None => "/status".to_owned(),
    };
    Ok(remote::page(node, &path).await?.trim_end().to_owned())
}
