//! Stand-ins for what the router meets: model engines, plain services, the platform's
//! configuration service and VM list, the weight store, and a path that loses track of connections.
//!
//! Each speaks HTTP on loopback, is seeded, and counts what the experiments must know: tokens
//! generated, runs of each call, load beyond the cold limit. Faults are set through the handles, or
//! by `POST /fault` on a stand-in that runs as its own process. They model behaviour, not speed
//! records; `docs/STANDINS.md` lists each behaviour with its setting.

pub mod engine;
pub mod plain;
pub mod platform;
pub mod relay;
pub mod text;
pub mod weights;

pub use engine::Engine;
pub use plain::Plain;
pub use platform::Platform;
pub use relay::Relay;
pub use weights::Weights;

use std::{io, net::SocketAddr};

use peridotdeck_http::server::{Limits, Server};
use tide::Response;

/// Loopback with a port that the system chooses.
pub(crate) const ANY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Serves a tide application on an address.
pub(crate) async fn serve<S>(address: SocketAddr, app: tide::Server<S>) -> io::Result<Server>
where
    S: Clone + Send + Sync + 'static,
{
    let respond = move |request| {
        let app = app.clone();
        async move { app.respond::<_, http_types::Response>(request).await }
    };
    Server::start(address, Limits::default(), respond).await
}

/// Returns a JSON answer.
pub(crate) fn json(status: u16, value: &serde_json::Value) -> Response {
    Response::builder(status)
        .content_type(tide::http::mime::JSON)
        .body(value.to_string())
        .build()
}
