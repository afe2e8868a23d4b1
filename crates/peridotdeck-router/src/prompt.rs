//! What the router reads of a completion request.

use serde::Deserialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::api_error::Fault;

/// Bytes of text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of the prompt's beginning by which requests share a cached prefix.
const PREFIX_BYTES: usize = 64;

/// A completion request.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Whether the caller wants the answer as a stream.
    pub stream: bool,
    /// Largest output in tokens; 0 if the caller sets none.
    pub max_tokens: u32,
    /// Prompt size in tokens, estimated.
    pub tokens: u32,
    /// Digest of the prompt's beginning.
    pub prefix: u64,
    /// Whether the router may read the answer token by token and put it together again.
    pub simple: bool,
    /// The request as the caller sent it.
    pub value: Value,
}

#[derive(Deserialize)]
struct Known {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    n: Option<u32>,
    messages: Option<Vec<Value>>,
    prompt: Option<Value>,
    tools: Option<Value>,
    logprobs: Option<Value>,
}

impl Prompt {
    /// Reads a request body.
    ///
    /// # Errors
    /// A 400 that names what is wrong.
    pub fn read(body: &[u8], chat: bool) -> Result<Self, Fault> {
        let bad = |message: String| Fault::bad(400, "invalid_json", message);
        let value: Value = serde_json::from_slice(body).map_err(|cause| bad(cause.to_string()))?;
        let known = Known::deserialize(&value).map_err(|cause| bad(cause.to_string()))?;
        let text = known.text(chat)?;
        let simple = known.n.unwrap_or(1) == 1
            && known.tools.as_ref().is_none_or(Value::is_null)
            && known
                .logprobs
                .as_ref()
                .is_none_or(|each| each.is_null() || each == false);
        Ok(Self {
            model: known.model,
            stream: known.stream,
            max_tokens: known
                .max_completion_tokens
                .or(known.max_tokens)
                .unwrap_or(0),
            tokens: text.len().div_ceil(BYTES_PER_TOKEN) as u32,
            prefix: xxh3_64(&text.as_bytes()[..text.len().min(PREFIX_BYTES)]),
            simple,
            value,
        })
    }

    /// Returns the body to send to an endpoint, going on after `delivered` tokens.
    #[must_use]
    pub fn body(&self, delivered: u32) -> String {
        let mut value = self.value.clone();
        if self.simple {
            value["stream"] = Value::Bool(true);
        }
        if delivered > 0 {
            value["resume_from"] = delivered.into();
        }
        value.to_string()
    }
}

impl Known {
    fn text(&self, chat: bool) -> Result<String, Fault> {
        let bad = |message: &str| Err(Fault::bad(400, "invalid_request", message));
        if !chat {
            return match &self.prompt {
                Some(Value::String(text)) => Ok(text.clone()),
                Some(Value::Array(parts)) => Ok(parts.iter().filter_map(Value::as_str).collect()),
                _ => bad("\"prompt\" must be a string or a list of strings"),
            };
        }
        match &self.messages {
            Some(messages) if !messages.is_empty() => Ok(messages.iter().map(content).collect()),
            _ => bad("\"messages\" must be a list with at least one message"),
        }
    }
}

/// Text of a message, whose content may be a string or a list of parts.
fn content(message: &Value) -> String {
    match &message["content"] {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts
            .iter()
            .filter_map(|part| part["text"].as_str())
            .collect(),
        _ => String::new(),
    }
}
