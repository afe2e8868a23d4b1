//! The order of a stream's events, as their ids tell it.
//!
//! An endpoint may send an event twice, send the head of another answer behind its own, or begin a
//! stream anew where it should go on. A caller sees each of these as a number that goes back, so every
//! event is compared with the one before it, across attempts and across the caller's own requests.

use strum::{Display, IntoStaticStr};

/// Consecutive ids after which a missing number shows a missing event.
const MIN_CONSECUTIVE: u32 = 2;

/// Place of an event in its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Order {
    /// Nothing contradicts that the event is the next one.
    Follows,
    /// The event is not beyond the last one.
    Repeats,
    /// Events between the last one and this one are missing.
    Gap,
}

/// The events of a stream so far, over all attempts.
#[derive(Clone, Debug, Default)]
pub struct Sequence {
    /// Last id; empty before the first one.
    last: Vec<u8>,
    /// Number of ids so far.
    ids: u32,
    /// Whether an id was not one more than the one before it.
    has_jump: bool,
    /// Whether the next id is the first one of a continuation.
    joins: bool,
    /// Whether the last event has no id.
    is_unnamed: bool,
}

impl Sequence {
    /// Creates the sequence of a stream that its caller takes up after an event.
    #[must_use]
    pub fn after(last: &str) -> Self {
        let mut sequence = Self::default();
        sequence.advance(Some(last.as_bytes()));
        sequence.continued()
    }

    /// Returns the sequence in which another attempt goes on.
    #[must_use]
    pub fn continued(&self) -> Self {
        Self {
            joins: true,
            ..self.clone()
        }
    }

    /// Returns the place of an event with this id; one without an id follows always.
    #[must_use]
    pub fn order(&self, id: Option<&[u8]>) -> Order {
        let Some(id) = id.filter(|id| !id.is_empty()) else {
            return Order::Follows;
        };
        if self.last.is_empty() {
            return Order::Follows;
        }
        let repeats = match (digits(&self.last), digits(id)) {
            (Some(last), Some(new)) => (new.len(), new) <= (last.len(), last),
            _ => id == self.last,
        };
        let is_consecutive = !self.has_jump && self.ids >= MIN_CONSECUTIVE;
        if repeats {
            Order::Repeats
        } else if self.joins && is_consecutive && !is_next(&self.last, id) {
            Order::Gap
        } else {
            Order::Follows
        }
    }

    /// Returns the place of an event, which becomes the last one if it follows.
    pub fn advance(&mut self, id: Option<&[u8]>) -> Order {
        let order = self.order(id);
        if order != Order::Follows {
            return order;
        }
        let id = id.filter(|id| !id.is_empty());
        self.is_unnamed = id.is_none();
        if let Some(id) = id {
            self.has_jump |= self.ids > 0 && !is_next(&self.last, id);
            self.ids = self.ids.saturating_add(1);
            self.last.clear();
            self.last.extend_from_slice(id);
            self.joins = false;
        }
        order
    }

    /// Returns whether no id has shown yet that the continuation in progress follows.
    #[must_use]
    pub fn is_joining(&self) -> bool {
        self.joins && !self.last.is_empty()
    }

    /// Returns whether another attempt can go on behind the last event, or there is none yet.
    #[must_use]
    pub fn can_continue(&self) -> bool {
        let is_sendable = self.last.is_empty() || self.last().is_some();
        !self.is_unnamed && is_sendable
    }

    /// Returns the id of the last event that has one and can be sent to an endpoint.
    #[must_use]
    pub fn last(&self) -> Option<&str> {
        let last = std::str::from_utf8(&self.last).ok();
        last.filter(|last| !last.is_empty())
    }
}

/// Returns the digits of a number without leading zeros, or none if an id is no number.
fn digits(id: &[u8]) -> Option<&[u8]> {
    if !id.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let zeros = id.iter().take_while(|&&digit| digit == b'0').count();
    Some(&id[zeros..])
}

/// Returns whether both ids are numbers and the second is one more than the first.
fn is_next(last: &[u8], id: &[u8]) -> bool {
    let number = |id: &[u8]| -> Option<u64> {
        let digits = digits(id)?;
        digits.iter().try_fold(0_u64, |number, digit| {
            number.checked_mul(10)?.checked_add(u64::from(digit - b'0'))
        })
    };
    number(last).is_some_and(|last| number(id) == last.checked_add(1))
}
