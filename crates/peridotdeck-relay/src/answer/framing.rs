//! How an answer shows where its body ends.

use hyper::{Version, body::Body, header::TRANSFER_ENCODING, http::response};
use strum::{Display, IntoStaticStr};

/// How an answer shows where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Framing {
    /// The head states the body's length.
    Length,
    /// The body consists of chunks, and the last one is marked.
    Chunks,
    /// The body ends with its connection, so its end does not show whether it is complete.
    Connection,
    /// The head names an encoding that the relay does not know, so no end is the body's.
    Unknown,
}

impl Framing {
    /// Returns whether the end of the body shows that it is complete.
    #[must_use]
    pub fn shows_end(self) -> bool {
        matches!(self, Self::Length | Self::Chunks)
    }

    /// Returns the framing of an answer whose body has not been read yet.
    #[must_use]
    pub fn of(head: &response::Parts, body: &impl Body) -> Self {
        if body.size_hint().exact().is_some() {
            return Self::Length;
        }
        let mut encodings = head.headers.get_all(TRANSFER_ENCODING).iter();
        let last = encodings.next_back().and_then(|value| value.to_str().ok());
        let last = last.and_then(|value| value.rsplit(',').next());
        let is_chunked = last.is_some_and(|name| name.trim().eq_ignore_ascii_case("chunked"));
        if is_chunked && head.version == Version::HTTP_11 {
            Self::Chunks
        } else if head.headers.contains_key(TRANSFER_ENCODING) {
            Self::Unknown
        } else {
            Self::Connection
        }
    }
}
