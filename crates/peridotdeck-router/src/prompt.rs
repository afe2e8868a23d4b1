//! The properties that the router reads from a completion request.

use serde::{Deserialize, Serializer as _};
use serde_json::{Serializer, Value};
use xxhash_rust::xxh3::xxh3_64;

use crate::api_error::ApiError;

/// Bytes of text per token, to estimate the size of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of memory for each value in JSON, beside its text.
const VALUE_BYTES: usize = 64;

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

    /// Returns the bytes of memory that a body takes while it is parsed, beside the body.
    #[must_use]
    pub fn parsed_bytes(body: &[u8]) -> usize {
        2 * body.len() + Self::kept_bytes(body)
    }

    /// Returns the bytes of memory that a parsed body takes together with the body that is sent.
    #[must_use]
    pub fn kept_bytes(body: &[u8]) -> usize {
        let values = body.iter().filter(|byte| b",[{".contains(byte));
        2 * body.len() + VALUE_BYTES * values.count()
    }

    /// Returns the body to send to an endpoint.
    ///
    /// If `delivered_tokens` is not 0, the endpoint resumes the answer after that many tokens.
    ///
    /// # Panics
    /// If JSON cannot be written to memory, which is a bug.
    #[must_use]
    pub fn body(&self, delivered_tokens: u32) -> Vec<u8> {
        let stream = self.text_only.then_some(("stream", Value::Bool(true)));
        let resumes = delivered_tokens > 0;
        let resume = resumes.then(|| ("resume_from", delivered_tokens.into()));
        let changed: Vec<(&str, Value)> = stream.into_iter().chain(resume).collect();
        let is_kept = |name: &str| changed.iter().all(|(each, _)| *each != name);
        let fields = self.json.as_object().into_iter().flatten();
        let kept = fields.filter(|(name, _)| is_kept(name));
        let kept = kept.map(|(name, value)| (name.as_str(), value));
        let overrides = changed.iter().map(|(name, value)| (*name, value));
        let mut body = Vec::new();
        let written = Serializer::new(&mut body).collect_map(kept.chain(overrides));
        written.expect("values are written to memory");
        body
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
