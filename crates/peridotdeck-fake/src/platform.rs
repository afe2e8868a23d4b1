//! The platform's read-only side: configuration service and VM list, with blocking queries.
//!
//! - `GET /v1/config?index=N&wait_ms=M`: parts changed after index N, once there are any
//! - `GET /v1/vms?index=N&wait_ms=M`: the VM list, once it is newer than N
//!
//! Only the handle publishes; the router has no way to write.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::task;
use peridotdeck_http::server::Server;
use peridotdeck_policy::Parts;
use peridotdeck_wire::{Member, Part};
use serde::Deserialize;
use serde_json::{Value, json};
use tide::Request;

use crate::json;

#[derive(Clone, Debug, Default)]
struct Published {
    index: u64,
    parts: Vec<Part>,
    roster: u64,
    members: Vec<Member>,
    odd: Vec<Value>,
}

#[derive(Debug, Default)]
struct Inner {
    now: Published,
    frozen: Option<Published>,
    reads: u64,
}

#[derive(Clone, Debug, Default)]
struct State {
    inner: Arc<Mutex<Inner>>,
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self) -> Published {
        let inner = self.lock();
        inner.frozen.as_ref().unwrap_or(&inner.now).clone()
    }
}

/// A running configuration service and VM list.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    state: State,
}

impl Platform {
    /// Starts the service on loopback, with nothing published.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start() -> io::Result<Self> {
        Self::start_at(crate::ANY).await
    }

    /// Starts the service at an address.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let state = State::default();
        let mut app = tide::with_state(state.clone());
        app.at("/v1/config").get(config);
        app.at("/v1/vms").get(vms);
        let server = crate::serve(address, app).await?;
        Ok(Self { server, state })
    }

    /// Returns the service's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a configuration and returns its revision; unchanged parts keep theirs.
    pub fn publish(&self, parts: &Parts) -> u64 {
        let mut inner = self.state.lock();
        let index = inner.now.index + 1;
        let now = &mut inner.now;
        for old in now
            .parts
            .iter_mut()
            .filter(|old| !parts.contains_key(&old.key))
        {
            if !old.value.is_empty() {
                *old = Part {
                    key: old.key.clone(),
                    revision: index,
                    value: String::new(),
                };
            }
        }
        for (key, value) in parts {
            let part = Part {
                key: key.clone(),
                revision: index,
                value: value.to_string(),
            };
            match now.parts.binary_search_by(|each| each.key.cmp(key)) {
                Ok(at) if now.parts[at].value == part.value => {}
                Ok(at) => now.parts[at] = part,
                Err(at) => now.parts.insert(at, part),
            }
        }
        now.index = index;
        index
    }

    /// Publishes a VM list and returns its index.
    pub fn list(&self, members: Vec<Member>) -> u64 {
        let mut inner = self.state.lock();
        inner.now.roster += 1;
        inner.now.members = members;
        inner.now.roster
    }

    /// Lists entries of another writer among the parts and the members.
    pub fn list_odd(&self, odd: Vec<Value>) {
        self.state.lock().now.odd = odd;
    }

    /// Serves what is published now, whatever comes later, until thawed.
    pub fn freeze(&self, frozen: bool) {
        let mut inner = self.state.lock();
        inner.frozen = frozen.then(|| inner.now.clone());
    }

    /// Closes new connections at once while down.
    pub fn set_down(&self, down: bool) {
        self.server.accept_state().set_rejecting(down);
    }

    /// Returns the reads so far.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.state.lock().reads
    }
}

/// A blocking query.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Query {
    #[serde(default)]
    index: u64,
    #[serde(default)]
    wait_ms: u64,
}

/// Waits until `index` of what is published exceeds the query's, or its time is up.
async fn wait(
    request: &Request<State>,
    index: fn(&Published) -> u64,
) -> tide::Result<(Query, Published)> {
    /// Time between two looks.
    const LOOK: Duration = Duration::from_millis(10);
    /// Longest wait that a query may ask for.
    const MAX_WAIT: Duration = Duration::from_secs(60);
    let query: Query = request.query()?;
    request.state().lock().reads += 1;
    let started = Instant::now();
    let longest = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    loop {
        let published = request.state().read();
        if index(&published) > query.index || started.elapsed() >= longest {
            return Ok((query, published));
        }
        task::sleep(LOOK).await;
    }
}

async fn config(request: Request<State>) -> tide::Result {
    let (query, published) = wait(&request, |published| published.index).await?;
    let newer = published
        .parts
        .iter()
        .filter(|part| part.revision > query.index);
    let parts = newer.map(|part| json!(part));
    let parts: Vec<Value> = published.odd.iter().cloned().chain(parts).collect();
    Ok(json(
        200,
        &json!({"index": published.index, "parts": parts}),
    ))
}

async fn vms(request: Request<State>) -> tide::Result {
    let (_, published) = wait(&request, |published| published.roster).await?;
    let members = published.members.iter().map(|member| json!(member));
    let members: Vec<Value> = published.odd.iter().cloned().chain(members).collect();
    Ok(json(
        200,
        &json!({"index": published.roster, "members": members}),
    ))
}
