//! Room at endpoints that is too small for all classes, and who gets it.
//!
//! In a burst of less urgent requests a batching engine fills up. The next urgent request displaces
//! one of them, whose prompt is then read again, so that the burst costs the room twice and everyone is
//! late. A node therefore sends a request only into the room that the classes above will not need:
//!
//! - [`demand`]: arrivals of each class and how long they hold a slot, which gives the need;
//! - [`room`]: the free slots of an endpoint, and those that are kept for the classes above;
//! - [`queue`]: the requests that wait at this node, in the order in which they get room;
//! - [`usage`]: the tokens that organisations have used lately, and which of them are hot;
//! - [`repeats`]: requests that this node has refused or failed lately, which wait behind first tries.
//!
//! `docs/design/SHARES.md` compares this with other ways.

pub mod demand;
pub mod queue;
pub mod repeats;
pub mod room;
pub mod usage;

pub use demand::Demand;
pub use queue::Queue;
pub use repeats::Repeats;
pub use room::Room;
pub use usage::Usage;

use crate::id::Time;

/// What a node has learnt of the requests that compete for room.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Arrivals and holding times of each class.
    pub demand: Demand,
    /// Requests that wait for room.
    pub queue: Queue,
    /// Requests that were refused or failed.
    pub repeats: Repeats,
    /// Slots that were kept for the classes above the last request that did not get them.
    pub kept: u32,
    /// Tokens of each organisation.
    pub usage: Usage,
}

impl Table {
    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: Time) {
        self.repeats.expire(now);
        self.usage.expire(now);
    }
}

/// A count whose events lose weight with their age.
#[derive(Clone, Copy, Debug, Default)]
struct Decayed {
    weight: f64,
    updated: Time,
}

impl Decayed {
    /// Adds to the count; what was counted `window` ago has 1/e of its weight.
    fn add(&mut self, amount: f64, window: Time, now: Time) {
        self.weight = self.value(window, now) + amount;
        self.updated = now;
    }

    fn value(self, window: Time, now: Time) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.weight * (-age / window.as_secs_f64()).exp()
    }
}
