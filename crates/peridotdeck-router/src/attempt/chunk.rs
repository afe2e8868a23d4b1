//! One event of an engine's stream, and why it may be no part of the answer.

use std::borrow::Cow;

use serde::{Deserialize, de::IgnoredAny};
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
#[derive(Debug, Deserialize)]
pub struct Chunk<'a> {
    #[serde(borrow)]
    id: Option<Cow<'a, str>>,
    error: Option<IgnoredAny>,
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
}

#[derive(Debug, Deserialize)]
struct Choice<'a> {
    #[serde(default)]
    index: u32,
    #[serde(borrow)]
    text: Option<Cow<'a, str>>,
    #[serde(borrow)]
    delta: Option<Delta<'a>>,
    #[serde(borrow)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Debug, Deserialize)]
struct Delta<'a> {
    #[serde(borrow)]
    content: Option<Cow<'a, str>>,
}

impl<'a> Chunk<'a> {
    /// Parses the data of an event.
    ///
    /// # Errors
    /// [`Flaw::NotChunk`] or [`Flaw::EngineError`].
    pub fn parse(data: &'a [u8]) -> Result<Self, Flaw> {
        let chunk: Self = serde_json::from_slice(data).map_err(|_| Flaw::NotChunk)?;
        if chunk.error.is_some() {
            return Err(Flaw::EngineError);
        }
        Ok(chunk)
    }

    /// Returns the id that the event names, unless it names none.
    #[must_use]
    pub fn id(&self) -> Option<&str> {
        self.id.as_deref().filter(|id| !id.is_empty())
    }

    /// Returns the text that the event adds to the first choice.
    #[must_use]
    pub fn text(&self) -> &str {
        let Some(choice) = self.first_choice() else {
            return "";
        };
        let content = choice
            .delta
            .as_ref()
            .and_then(|delta| delta.content.as_ref());
        content.or(choice.text.as_ref()).map_or("", AsRef::as_ref)
    }

    /// Returns why the first choice has finished, if it has.
    #[must_use]
    pub fn finish_reason(&self) -> Option<&str> {
        self.first_choice()?.finish_reason.as_deref()
    }

    fn first_choice(&self) -> Option<&Choice<'a>> {
        self.choices.iter().find(|choice| choice.index == 0)
    }
}
