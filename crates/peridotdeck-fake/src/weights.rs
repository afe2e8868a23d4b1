//! A weight store that serves model files at a limited rate.
//!
//! `GET /weights/{name}` streams zeros; when more readers come than the rate allows, it answers 429
//! with `Retry-After`.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use peridotdeck_http::server::Server;
use serde_json::json;
use tide::{Request, Response};

use crate::json;

#[derive(Clone, Debug)]
struct State {
    per_second: u32,
    window: Arc<Mutex<(Instant, u32)>>,
}

/// A running weight store.
#[derive(Debug)]
pub struct Weights {
    server: Server,
}

impl Weights {
    /// Starts a store on loopback that serves `per_second` reads a second.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(per_second: u32) -> io::Result<Self> {
        let state = State {
            per_second,
            window: Arc::new(Mutex::new((Instant::now(), 0))),
        };
        let mut app = tide::with_state(state);
        app.at("/weights/:name").get(read);
        Ok(Self {
            server: crate::serve(crate::ANY, app).await?,
        })
    }

    /// Returns the store's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

async fn read(request: Request<State>) -> tide::Result {
    /// Size of each stand-in weight file in bytes.
    const SIZE: usize = 4_096;
    let state = request.state();
    let mut window = state.window.lock().unwrap_or_else(PoisonError::into_inner);
    if window.0.elapsed().as_secs() >= 1 {
        *window = (Instant::now(), 0);
    }
    window.1 += 1;
    if window.1 > state.per_second {
        let mut response = json(
            429,
            &json!({"error": {"message": "the weight store is busy"}}),
        );
        response.insert_header("retry-after", "1");
        return Ok(response);
    }
    Ok(Response::builder(200).body(vec![0_u8; SIZE]).build())
}
