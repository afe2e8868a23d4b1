//! One event of an engine's stream, and why it may be no part of the answer.

use serde::{Deserialize, de::IgnoredAny};
use serde_json::Value;
use strum::Display;

/// Why an event is no part of the answer; the attempt ends with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Flaw {
    /// Its data are no chunk of a completion.
    NotChunk,
    /// The engine reports that it failed.
    EngineError,
    /// It names another answer than the events before it.
    OtherAnswer,
    /// It has text although the answer has finished.
    AfterFinish,
    /// Its number is not beyond the last one.
    Repeats,
    /// Its number shows that events before it are missing.
    Gap,
}

/// The data of an event, as far as the router reads them.
///
/// A field that is null, or has another type than its text or number, counts as missing.
#[derive(Debug, Deserialize)]
pub struct Chunk {
    id: Option<Value>,
    error: Option<IgnoredAny>,
    choices: Option<Vec<Choice>>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    index: Option<Value>,
    text: Option<Value>,
    delta: Option<Delta>,
    finish_reason: Option<Value>,
}

#[derive(Debug, Deserialize)]
struct Delta {
    content: Option<Value>,
}

impl Chunk {
    /// Parses the data of an event.
    ///
    /// # Errors
    /// [`Flaw::NotChunk`] or [`Flaw::EngineError`].
    pub fn parse(data: &[u8]) -> Result<Self, Flaw> {
        let chunk: Self = serde_json::from_slice(data).map_err(|_| Flaw::NotChunk)?;
        if chunk.error.is_some() {
            return Err(Flaw::EngineError);
        }
        Ok(chunk)
    }

    /// Returns the id that the event names, unless it names none.
    #[must_use]
    pub fn id(&self) -> Option<&str> {
        self.id.as_ref()?.as_str().filter(|id| !id.is_empty())
    }

    /// Returns the text that the event adds to the first choice.
    #[must_use]
    pub fn text(&self) -> &str {
        let Some(choice) = self.first_choice() else {
            return "";
        };
        let delta = choice.delta.as_ref();
        let content = delta.and_then(|delta| delta.content.as_ref());
        let text = content.or(choice.text.as_ref());
        text.and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns why the first choice has finished, if it has; some engines send an empty reason before.
    #[must_use]
    pub fn finish_reason(&self) -> Option<&str> {
        let reason = self.first_choice()?.finish_reason.as_ref()?;
        reason.as_str().filter(|reason| !reason.is_empty())
    }

    fn first_choice(&self) -> Option<&Choice> {
        let index = |choice: &Choice| choice.index.as_ref().and_then(Value::as_u64);
        let mut choices = self.choices.iter().flatten();
        choices.find(|choice| index(choice).unwrap_or_default() == 0)
    }
}
