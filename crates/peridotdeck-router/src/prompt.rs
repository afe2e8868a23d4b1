//! The properties that the router reads from a completion request.

use serde::Deserialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::api_error::ApiError;

/// Bytes of text per token, to estimate the size of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// Leading bytes of a prompt that identify its prefix in endpoints' prefix caches.
const PREFIX_BYTES: usize = 64;

/// A caller's completion request, parsed.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Whether the caller requests a streamed answer.
    pub stream: bool,
    /// Largest output in tokens; 0 if the caller sets no limit.
    pub max_tokens: u32,
    /// Prompt size in tokens, estimated from its size in bytes.
    pub tokens: u32,
    /// Digest of the prompt's prefix.
    pub prefix: u64,
    /// Whether the answer is a single text: one choice, without tools or log probabilities.
    ///
    /// The router streams such an answer from the endpoint and can reassemble it from its tokens.
    pub text_only: bool,
    /// The request body as the caller sent it.
    pub json: Value,
}

/// The properties that the router reads; all others pass through unchanged.
///
/// Callers see this type's name in messages about JSON that does not fit.
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
    /// Parses a request body.
    ///
    /// # Errors
    /// Status 400 with the reason if the body is not JSON, or a property is missing or has the
    /// wrong type.
    pub fn parse(body: &[u8], chat: bool) -> Result<Self, ApiError> {
        let invalid = |message: String| ApiError::new(400, "invalid_json", message);
        let json: Value =
            serde_json::from_slice(body).map_err(|cause| invalid(cause.to_string()))?;
        let known = Known::deserialize(&json).map_err(|cause| invalid(cause.to_string()))?;
        let text = known.prompt_text(chat)?;
        let text_only = known.n.unwrap_or(1) == 1
            && known.tools.as_ref().is_none_or(Value::is_null)
            && known
                .logprobs
                .as_ref()
                .is_none_or(|value| value.is_null() || value == false);
        Ok(Self {
            model: known.model,
            stream: known.stream,
            max_tokens: known
                .max_completion_tokens
                .or(known.max_tokens)
                .unwrap_or(0),
            tokens: text.len().div_ceil(BYTES_PER_TOKEN) as u32,
            prefix: xxh3_64(&text.as_bytes()[..text.len().min(PREFIX_BYTES)]),
            text_only,
            json,
        })
    }

    /// Returns the body to send to an endpoint.
    ///
    /// If `delivered_tokens` is not 0, the endpoint resumes the answer after that many tokens.
    #[must_use]
    pub fn body(&self, delivered_tokens: u32) -> String {
        let mut json = self.json.clone();
        if self.text_only {
            json["stream"] = Value::Bool(true);
        }
        if delivered_tokens > 0 {
            json["resume_from"] = delivered_tokens.into();
        }
        json.to_string()
    }
}

impl Known {
    fn prompt_text(&self, chat: bool) -> Result<String, ApiError> {
        let invalid = |message: &str| Err(ApiError::new(400, "invalid_request", message));
        if !chat {
            return match &self.prompt {
                Some(Value::String(text)) => Ok(text.clone()),
                Some(Value::Array(parts)) => Ok(parts.iter().filter_map(Value::as_str).collect()),
                _ => invalid("\"prompt\" must be a string or a list of strings"),
            };
        }
        match &self.messages {
            Some(messages) if !messages.is_empty() => Ok(messages.iter().map(text_of).collect()),
            _ => invalid("\"messages\" must be a list with at least one message"),
        }
    }
}

/// Returns the text of a message, whose content may be a string or a list of parts.
fn text_of(message: &Value) -> String {
    match &message["content"] {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts
            .iter()
            .filter_map(|part| part["text"].as_str())
            .collect(),
        _ => String::new(),
    }
}
