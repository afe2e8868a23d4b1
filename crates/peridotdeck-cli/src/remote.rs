//! One JSON-RPC call to a node.

use std::{net::SocketAddr, time::Duration};

use http_types::{Method, Request, mime};
use peridotdeck_http::client;
use peridotdeck_router::operators::PATH;
use quick_error::quick_error;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};

/// Longest time for an answer.
const PATIENCE: Duration = Duration::from_secs(5);

quick_error! {
    /// Why a node did not answer.
    #[derive(Debug)]
    pub enum Error {
        /// The connection failed.
        Call(address: SocketAddr, cause: client::Error) {
            display("{address}: {cause}; is the router running there?")
            source(cause)
        }
        /// The answer is not of the expected form.
        Answer(address: SocketAddr, what: String) {
            display("{address}: {what}")
        }
    }
}

/// Calls a method of a node's operator interface.
///
/// # Errors
/// If the node cannot be reached, refuses, or answers with an error.
pub async fn call<T: DeserializeOwned>(
    address: SocketAddr,
    method: &str,
    params: impl Serialize,
) -> Result<T, Error> {
    let wrong = |what: String| Error::Answer(address, what);
    let url = client::url(address, PATH).map_err(|cause| wrong(cause.to_string()))?;
    let mut request = Request::new(Method::Post, url);
    let text = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params}).to_string();
    request.set_body(text);
    request.set_content_type(mime::JSON);
    let sent = client::request(address, request, PATIENCE).await;
    let mut response = sent.map_err(|cause| Error::Call(address, cause))?;
    if !response.status().is_success() {
        return Err(wrong(format!("refused with status {}", response.status())));
    }
    let mut body: Value = response
        .body_json()
        .await
        .map_err(|cause| wrong(cause.to_string()))?;
    if let Some(message) = body["error"]["message"].as_str() {
        return Err(wrong(message.to_owned()));
    }
    serde_json::from_value(body["result"].take()).map_err(|cause| wrong(cause.to_string()))
}

/// Reads a page of a node that places its own callers' requests.
///
/// # Errors
/// If the node cannot be reached or refuses.
pub async fn page(address: SocketAddr, path: &str) -> Result<String, Error> {
    let wrong = |what: String| Error::Answer(address, what);
    let url = client::url(address, path).map_err(|cause| wrong(cause.to_string()))?;
    let sent = client::request(address, Request::new(Method::Get, url), PATIENCE).await;
    let mut response = sent.map_err(|cause| Error::Call(address, cause))?;
    let body = response.body_string().await;
    let body = body.map_err(|cause| wrong(cause.to_string()))?;
    if response.status().is_success() {
        Ok(body)
    } else {
        Err(wrong(body.trim().to_owned()))
    }
}
