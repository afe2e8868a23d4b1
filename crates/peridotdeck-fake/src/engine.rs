//! A model engine that batches continuously.
//!
//! Requests beyond the slots wait by priority. A running request pays prefill for the prompt less
//! the cached prefix, then one token per step; steps slow down as the batch fills. A cold engine
//! bears little and falls over beyond that. Routes:
//!
//! - `POST /v1/chat/completions`, `POST /v1/completions`, `GET /v1/models`
//! - `GET /load` (late by [`Setting::report_lag`]), `GET /cache-events` (late, with gaps)
//! - `POST /orders` (load, unload, role; with a fencing number), `GET`/`POST /kv/{prefix}`
//! - `POST /fault`

mod api;
mod cache;
mod seat;
mod setting;
mod state;

pub use setting::Setting;
pub use state::{Counts, Fault, Load};

use std::{io, net::SocketAddr, sync::Arc};

use peridotdeck_http::server::Server;

use state::State;

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    state: Arc<State>,
}

impl Engine {
    /// Starts an engine on loopback.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(setting: Setting) -> io::Result<Self> {
        Self::start_at(crate::ANY, setting).await
    }

    /// Starts an engine at an address.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start_at(address: SocketAddr, setting: Setting) -> io::Result<Self> {
        let state = Arc::new(State::new(setting));
        let server = crate::serve(address, api::app(Arc::clone(&state))).await?;
        state.watch(server.accept_state());
        Ok(Self { server, state })
    }

    /// Returns the engine's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what the engine has counted.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state.counts()
    }

    /// Returns the load that the engine reports, which is late.
    #[must_use]
    pub fn load(&self) -> Load {
        self.state.report()
    }

    /// Injects a fault.
    pub fn inject(&self, fault: Fault) {
        Arc::clone(&self.state).inject(fault);
    }
}
