//! Watches of the configuration service and the VM list.
//!
//! Only the watchers of a data centre keep a blocking query open; the others look rarely, in case
//! that every watcher is cut off from the platform alone.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use async_std::{future::timeout, task};
use http_types::Request;
use peridotdeck_core::Event;
use peridotdeck_http::client;
use peridotdeck_wire::{Delta, Member, Part};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, de::DeserializeOwned};

use crate::{dial::Dial, handle::Handle};

/// Time for which a blocking query waits at the service.
const WAIT: Duration = Duration::from_secs(10);

/// Extra time for the answer of a blocking query.
const GRACE: Duration = Duration::from_secs(2);

/// Rest after a failed query.
const REST: Duration = Duration::from_millis(500);

/// Rest after an answer that brought nothing new into force.
const IDLE: Duration = Duration::from_millis(250);

/// Time between two looks of a node that is no watcher.
const RARE: Duration = Duration::from_secs(30);

/// Largest answer in bytes: all parts of a large fleet.
const MAX_ANSWER: usize = 16 << 20;

#[derive(Debug, Deserialize)]
struct Config {
    index: u64,
    parts: Vec<Part>,
}

#[derive(Debug, Deserialize)]
struct Vms {
    index: u64,
    members: Vec<Member>,
}

/// One of the two watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Configuration parts.
    Config,
    /// The VM list.
    Vms,
}

/// Watches one subject until the task is cancelled.
pub async fn watch<D: Dial>(
    subject: Subject,
    addresses: Vec<SocketAddr>,
    dial: D,
    handle: Handle,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut turn = 0;
    let mut idle = Duration::ZERO;
    loop {
        let watching = handle.shared.watching.load(Ordering::Relaxed);
        if !watching && idle < RARE.mul_f64(rng.random_range(0.8..1.2)) {
            task::sleep(IDLE).await;
            idle += IDLE;
            continue;
        }
        idle = Duration::ZERO;
        let wait = if watching { WAIT } else { Duration::ZERO };
        let address = addresses[turn % addresses.len()];
        match query(subject, address, wait, &dial, &handle).await {
            Ok(delta) => {
                let news = is_news(subject, &delta, &handle);
                handle.send(Event::Published(delta)).await;
                task::sleep(if news {
                    Duration::from_millis(20)
                } else {
                    IDLE
                })
                .await;
            }
            Err(cause) => {
                log::debug!("event=platform_failed address={address} cause=\"{cause}\"");
                turn += 1;
                task::sleep(REST.mul_f64(rng.random_range(0.5..1.5))).await;
            }
        }
    }
}

fn is_news(subject: Subject, delta: &Delta, handle: &Handle) -> bool {
    match subject {
        Subject::Config => delta.to > handle.shared.config_revision.load(Ordering::Relaxed),
        Subject::Vms => delta.roster > handle.shared.vm_list_revision.load(Ordering::Relaxed),
    }
}

async fn query<D: Dial>(
    subject: Subject,
    address: SocketAddr,
    wait: Duration,
    dial: &D,
    handle: &Handle,
) -> http_types::Result<Delta> {
    if !dial.reaches_platform() {
        return Err(http_types::Error::from_str(
            504,
            "the platform is out of reach",
        ));
    }
    let (path, index) = match subject {
        Subject::Config => (
            "/v1/config",
            handle.shared.config_revision.load(Ordering::Relaxed),
        ),
        Subject::Vms => (
            "/v1/vms",
            handle.shared.vm_list_revision.load(Ordering::Relaxed),
        ),
    };
    let path = format!("{path}?index={index}&wait_ms={}", wait.as_millis());
    let (from, mut delta) = (index, empty());
    match subject {
        Subject::Config => {
            let answer: Config = read(address, &path, wait).await?;
            (delta.from, delta.to, delta.parts) = (from, answer.index, answer.parts);
        }
        Subject::Vms => {
            let answer: Vms = read(address, &path, wait).await?;
            (delta.roster, delta.members) = (answer.index, answer.members);
        }
    }
    Ok(delta)
}

fn empty() -> Delta {
    Delta {
        nonce: 0,
        from: 0,
        to: 0,
        parts: Vec::new(),
        roster: 0,
        members: Vec::new(),
    }
}

async fn read<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    wait: Duration,
) -> http_types::Result<T> {
    let request = Request::get(client::url(address, path)?);
    let broken = |cause| http_types::Error::new(http_types::StatusCode::BadGateway, cause);
    let mut response = client::request(address, request, wait + GRACE)
        .await
        .map_err(broken)?;
    if !response.status().is_success() {
        return Err(http_types::Error::from_str(
            502,
            "the platform answered with an error",
        ));
    }
    let body = timeout(GRACE, response.body_bytes()).await??;
    if body.len() > MAX_ANSWER {
        return Err(http_types::Error::from_str(
            502,
            "the platform's answer is too large",
        ));
    }
    Ok(serde_json::from_slice(&body)?)
}
