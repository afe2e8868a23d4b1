//! A plain service that records every run of a call.
//!
//! Any path is accepted. The record, shared by all endpoints of a service, counts runs by
//! idempotency key, so that a second run is seen wherever it happens.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_std::task;
use peridotdeck_http::{body, server::Server};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tide::{Request, Response, StatusCode};

use crate::json;

/// Header with the caller's key for a call that may not be repeated.
const KEY: &str = "idempotency-key";

/// Header by which the service says whether it ran a call that it answers with an error.
const VERDICT: &str = "x-verdict";

/// A fault of a plain service, for its next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The connection breaks before the call runs.
    BreakBefore,
    /// The call runs and its answer is lost.
    BreakAfter,
    /// The call is refused and did not run.
    Refuse,
    /// The call runs and its answer does not come.
    Hold,
}

/// Runs by key, over all endpoints of a service.
#[derive(Clone, Debug, Default)]
pub struct Record {
    runs: Arc<Mutex<Vec<(String, u32)>>>,
}

impl Record {
    fn lock(&self) -> MutexGuard<'_, Vec<(String, u32)>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, key: &str) -> u32 {
        let mut runs = self.lock();
        let found = runs.binary_search_by(|(each, _)| each.as_str().cmp(key));
        let at = found.unwrap_or_else(|at| {
            runs.insert(at, (key.to_owned(), 0));
            at
        });
        runs[at].1 += 1;
        runs[at].1
    }

    /// Returns the runs of a key.
    #[must_use]
    pub fn runs(&self, key: &str) -> u32 {
        let runs = self.lock();
        let found = runs.binary_search_by(|(each, _)| each.as_str().cmp(key));
        found.map_or(0, |at| runs[at].1)
    }

    /// Returns the keys that ran more than once.
    #[must_use]
    pub fn duplicates(&self) -> Vec<String> {
        let runs = self.lock();
        runs.iter()
            .filter(|(_, count)| *count > 1)
            .map(|(key, _)| key.clone())
            .collect()
    }
}

#[derive(Clone, Debug)]
struct State {
    record: Record,
    fault: Arc<Mutex<Option<Fault>>>,
    delay: Duration,
}

/// A running plain service endpoint.
#[derive(Debug)]
pub struct Plain {
    server: Server,
    state: State,
}

impl Plain {
    /// Starts an endpoint on loopback that takes `delay` for each call.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(record: Record, delay: Duration) -> io::Result<Self> {
        Self::start_at(crate::ANY, record, delay).await
    }

    /// Starts an endpoint at an address.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start_at(
        address: SocketAddr,
        record: Record,
        delay: Duration,
    ) -> io::Result<Self> {
        let state = State {
            record,
            fault: Arc::default(),
            delay,
        };
        let mut app = tide::with_state(state.clone());
        app.at("/load").get(load);
        app.at("/fault").post(fault);
        app.at("/").all(call);
        app.at("/*").all(call);
        let server = crate::serve(address, app).await?;
        Ok(Self { server, state })
    }

    /// Returns the endpoint's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Injects a fault into the next call.
    pub fn inject(&self, fault: Fault) {
        *self
            .state
            .fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(fault);
    }

    /// Closes new connections at once while down.
    pub fn set_down(&self, down: bool) {
        self.server.accept_state().set_rejecting(down);
    }
}

async fn call(mut request: Request<State>) -> tide::Result {
    let body = request.body_bytes().await?;
    let state = request.state().clone();
    let fault = state
        .fault
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take();
    match fault {
        Some(Fault::BreakBefore) => return Ok(broken()),
        Some(Fault::Refuse) => {
            let mut response = json(503, &json!({"error": {"message": "try another endpoint"}}));
            response.insert_header(VERDICT, "not_run");
            return Ok(response);
        }
        _ => {}
    }
    let key = request
        .header(KEY)
        .map(|values| values.last().as_str().to_owned());
    let runs = key.as_deref().map_or(0, |key| state.record.add(key));
    task::sleep(state.delay).await;
    if fault == Some(Fault::Hold) {
        std::future::pending::<()>().await;
    }
    if fault == Some(Fault::BreakAfter) {
        return Ok(broken());
    }
    let path = request.url().path();
    Ok(json(
        200,
        &json!({"path": path, "key": key, "runs": runs, "bytes": body.len()}),
    ))
}

/// A body that breaks before its first byte, as when the process dies.
fn broken() -> Response {
    let (feed, body) = body::channel::<Vec<u8>>();
    let _ = feed.try_send(Err(io::Error::other("the service died")));
    Response::builder(StatusCode::Ok).body(body).build()
}

async fn load(_: Request<State>) -> tide::Result {
    Ok(json(
        200,
        &json!({"boot": 1, "running": 0, "queued": 0, "warm": true}),
    ))
}

async fn fault(mut request: Request<State>) -> tide::Result {
    let fault: Fault = request.body_json().await?;
    *request
        .state()
        .fault
        .lock()
        .unwrap_or_else(PoisonError::into_inner) = Some(fault);
    Ok(Response::new(StatusCode::Ok))
}
