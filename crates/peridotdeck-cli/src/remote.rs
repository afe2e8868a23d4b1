//! Sends single requests to a node: JSON-RPC calls and page fetches.

use std::{net::SocketAddr, time::Duration};

use http_types::{Method, Request, mime};
use peridotdeck_http::client;
use peridotdeck_router::operators::PATH;
use quick_error::quick_error;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};

/// Bounds the wait for a node's response head.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

quick_error! {
    /// Why a request to a node failed.
    #[derive(Debug)]
    pub enum Error {
        /// The connection failed or no response arrived in time.
        Call(address: SocketAddr, cause: client::Error) {
            display("{address}: {cause}; is the router running there?")
            source(cause)
        }
        /// The node refused the request or reported an error, or its response is malformed.
        Response(address: SocketAddr, problem: String) {
            display("{address}: {problem}")
        }
    }
}

/// Calls a JSON-RPC method of a node's operator interface and returns its result.
///
/// # Errors
/// Fails if the node cannot be reached, refuses the request or returns an error.
pub async fn call<T: DeserializeOwned>(
    address: SocketAddr,
    method: &str,
    params: impl Serialize,
) -> Result<T, Error> {
    let failed = |problem: String| Error::Response(address, problem);
    let url = client::url(address, PATH).map_err(|cause| failed(cause.to_string()))?;
    let mut request = Request::new(Method::Post, url);
    let call = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params}).to_string();
    request.set_body(call);
    request.set_content_type(mime::JSON);
    let sent = client::request(address, request, RESPONSE_TIMEOUT).await;
    let mut response = sent.map_err(|cause| Error::Call(address, cause))?;
    if !response.status().is_success() {
        return Err(failed(format!("refused with status {}", response.status())));
    }
    let mut body: Value = response
        .body_json()
        .await
        .map_err(|cause| failed(cause.to_string()))?;
    if let Some(message) = body["error"]["message"].as_str() {
        return Err(failed(message.to_owned()));
    }
    serde_json::from_value(body["result"].take()).map_err(|cause| failed(cause.to_string()))
}

/// Fetches a page of a relay node's control interface.
///
/// # Errors
/// Fails if the node cannot be reached or refuses the request.
pub async fn fetch_page(address: SocketAddr, path: &str) -> Result<String, Error> {
    let failed = |problem: String| Error::Response(address, problem);
    let url = client::url(address, path).map_err(|cause| failed(cause.to_string()))?;
    let sent = client::request(address, Request::new(Method::Get, url), RESPONSE_TIMEOUT).await;
    let mut response = sent.map_err(|cause| Error::Call(address, cause))?;
    let body = response.body_string().await;
    let body = body.map_err(|cause| failed(cause.to_string()))?;
    if response.status().is_success() {
        Ok(body)
    } else {
        Err(failed(body.trim().to_owned()))
    }
}
