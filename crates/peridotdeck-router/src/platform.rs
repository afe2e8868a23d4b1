//! Watches of the configuration service and the VM list.
//!
//! Only the watchers of a data centre keep a blocking query open. Other nodes query rarely, in case
//! all watchers have lost the platform but not their peers.

use std::{
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use http_types::Request;
use peridotdeck_core::Event;
use peridotdeck_http::client;
use peridotdeck_io::budget::Reservation;
use peridotdeck_wire::Delta;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use crate::{dial::Dial, handle::Handle, memory::Account};

/// Longest time for which the service holds a blocking query open.
const BLOCKING_QUERY_WAIT: Duration = Duration::from_secs(10);

/// Extra time for the response head of a blocking query, and the longest time for its body.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);

/// Mean delay after a failed query.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Delay after an answer without a newer revision, and between a non-watcher's checks.
const IDLE_DELAY: Duration = Duration::from_millis(250);

/// Time between two queries of a node that is no watcher, before 20% jitter.
const NON_WATCHER_INTERVAL: Duration = Duration::from_secs(30);

/// Largest answer in bytes; it holds all parts of a large fleet's configuration.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Bytes of memory for each byte of an answer: its text, with spare room, its parts and what they hold.
const COPIES: usize = 4;

/// Answer of `/v1/config`.
#[derive(Debug, Deserialize)]
struct Config {
    index: u64,
    parts: Vec<Box<RawValue>>,
}

/// Answer of `/v1/vms`.
#[derive(Debug, Deserialize)]
struct VmList {
    index: u64,
    members: Vec<Box<RawValue>>,
}

/// Resource that a task watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Configuration parts.
    Config,
    /// The VM list.
    VmList,
}

/// Watches one resource and sends its changes to the driver, until the task is cancelled.
///
/// After a failed query, the next one goes to the next address.
pub async fn watch<D: Dial>(
    resource: Resource,
    addresses: Vec<SocketAddr>,
    dial: D,
    handle: Handle,
    account: Account,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut failures = 0;
    let mut idle = Duration::ZERO;
    loop {
        let watching = handle.shared.watching.load(Ordering::Relaxed);
        if !watching && idle < NON_WATCHER_INTERVAL.mul_f64(rng.random_range(0.8..1.2)) {
            task::sleep(IDLE_DELAY).await;
            idle += IDLE_DELAY;
            continue;
        }
        idle = Duration::ZERO;
        let wait = if watching {
            BLOCKING_QUERY_WAIT
        } else {
            Duration::ZERO
        };
        let address = addresses[failures % addresses.len()];
        match query(resource, address, wait, (&dial, &handle), &account).await {
            Ok(delta) => {
                let changed = is_newer(resource, &delta, &handle);
                handle.send(Event::Published(delta)).await;
                task::sleep(if changed {
                    Duration::from_millis(20)
                } else {
                    IDLE_DELAY
                })
                .await;
            }
            Err(cause) => {
                log::debug!("event=platform_failed address={address} cause=\"{cause}\"");
                failures += 1;
                task::sleep(RETRY_DELAY.mul_f64(rng.random_range(0.5..1.5))).await;
            }
        }
    }
}

fn is_newer(resource: Resource, delta: &Delta, handle: &Handle) -> bool {
    match resource {
        Resource::Config => delta.to > handle.shared.config_revision.load(Ordering::Relaxed),
        Resource::VmList => delta.roster > handle.shared.vm_list_revision.load(Ordering::Relaxed),
    }
}

async fn query<D: Dial>(
    resource: Resource,
    address: SocketAddr,
    wait: Duration,
    (dial, handle): (&D, &Handle),
    account: &Account,
) -> http_types::Result<Delta> {
    if !dial.reaches_platform() {
        return Err(http_types::Error::from_str(
            504,
            "the platform cannot be reached",
        ));
    }
    let (path, index) = match resource {
        Resource::Config => (
            "/v1/config",
            handle.shared.config_revision.load(Ordering::Relaxed),
        ),
        Resource::VmList => (
            "/v1/vms",
            handle.shared.vm_list_revision.load(Ordering::Relaxed),
        ),
    };
    let path = format!("{path}?index={index}&wait_ms={}", wait.as_millis());
    let (from, mut delta) = (index, empty_delta());
    match resource {
        Resource::Config => {
            let (answer, _held): (Config, _) = fetch(address, &path, wait, account).await?;
            (delta.from, delta.to, delta.parts) = (from, answer.index, readable(&answer.parts));
        }
        Resource::VmList => {
            let (answer, _held): (VmList, _) = fetch(address, &path, wait, account).await?;
            (delta.roster, delta.members) = (answer.index, readable(&answer.members));
        }
    }
    Ok(delta)
}

/// Returns the entries that can be read; logs the others.
///
/// They are decoded one by one, so that one which cannot be read conceals no other.
fn readable<T: DeserializeOwned>(entries: &[Box<RawValue>]) -> Vec<T> {
    /// Most characters of a cause that are logged.
    const MAX_CHARACTERS: usize = 200;
    let read = |entry: &RawValue| {
        let read = serde_json::from_str(entry.get());
        read.map_err(|cause| {
            let cause = cause.to_string();
            let cause = cause.chars().flat_map(char::escape_debug);
            let cause: String = cause.take(MAX_CHARACTERS).collect();
            log::warn!("event=entry_unusable cause=\"{cause}\"");
        })
        .ok()
    };
    entries.iter().filter_map(|entry| read(entry)).collect()
}

fn empty_delta() -> Delta {
    Delta {
        nonce: 0,
        from: 0,
        to: 0,
        parts: Vec::new(),
        roster: 0,
        members: Vec::new(),
    }
}

async fn fetch<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    wait: Duration,
    account: &Account,
) -> http_types::Result<(T, Reservation)> {
    let request = Request::get(client::url(address, path)?);
    let bad_gateway = |cause| http_types::Error::new(http_types::StatusCode::BadGateway, cause);
    let mut response = client::request(address, request, wait + RESPONSE_MARGIN)
        .await
        .map_err(bad_gateway)?;
    if !response.status().is_success() {
        return Err(http_types::Error::from_str(
            502,
            "the platform answered with an error status",
        ));
    }
    let mut incoming = client::Incoming::new(&mut response, MAX_ANSWER_BYTES)?;
    let mut held = account.reservation();
    let mut body = Vec::new();
    let mut piece = vec![0; client::PIECE_BYTES];
    let until = Instant::now() + RESPONSE_MARGIN;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let bytes = timeout(left, incoming.read(&mut piece)).await??;
        if bytes == 0 {
            return Ok((serde_json::from_str(&String::from_utf8_lossy(&body))?, held));
        }
        body.extend_from_slice(&piece[..bytes]);
        account.cover(&mut held, COPIES * body.len())?;
    }
}
