//! Room of endpoints for one class, and the time until more of it comes free.

use std::time::Duration;

/// Standard deviations of the need above that are kept free, so that it finds room in 92 of 100 cases.
const KEPT_DEVIATIONS: f64 = 1.4;

/// Slots of an endpoint for each one that no class above can keep from a request.
const SLOTS_PER_GRANTED: u32 = 8;

/// Slots of a service that the classes above a request need.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Slots for all classes above, of whose need only the deviation is kept.
    pub all: f64,
    /// Slots for the most urgent streams, whose number at each endpoint is known.
    pub urgent: f64,
    /// Number of endpoints.
    pub endpoints: f64,
    /// Part of the fleet's requests that this node sends.
    pub own_part: f64,
}

impl Need {
    /// Returns the slots to keep free at an endpoint where `urgent` of the most urgent streams run.
    ///
    /// Arrivals vary by the square root of their mean. All endpoints share what is kept for that, since
    /// an urgent request goes where there is room.
    #[must_use]
    pub fn kept(self, urgent: u32, slots: u32) -> u32 {
        let endpoints = self.endpoints.max(1.0);
        let missing = (self.urgent / endpoints - f64::from(urgent)).max(0.0);
        let spread = KEPT_DEVIATIONS * self.all.sqrt() / endpoints;
        let granted = (slots / SLOTS_PER_GRANTED).max(1);
        let most = slots.saturating_sub(granted);
        ((missing + spread).round() as u32).min(most)
    }

    /// Returns the slots of all `slots` that the classes above leave, however much they need.
    fn left(self, slots: u32) -> f64 {
        let granted = f64::from(slots / SLOTS_PER_GRANTED);
        (f64::from(slots) - self.all).max(granted).max(1.0)
    }
}

/// Slots of a service's endpoints, as a request of one class sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Slots of all endpoints that may take the request.
    pub slots: u32,
    /// Known requests there.
    pub running: u32,
    /// Free slots that the request may use.
    pub free: u32,
    /// Free slots that are kept for the classes above.
    pub kept: u32,
    /// Requests of this node that get room before it.
    pub ahead: u32,
}

impl Room {
    /// Adds an endpoint and returns whether it has room.
    pub fn add(&mut self, slots: u32, running: u32, kept: u32) -> bool {
        let idle = slots.saturating_sub(running);
        let free = idle.saturating_sub(kept);
        self.slots = self.slots.saturating_add(slots);
        self.running = self.running.saturating_add(running.min(slots));
        self.free = self.free.saturating_add(free);
        self.kept = self.kept.saturating_add(idle - free);
        free > 0
    }

    /// Returns the time until the last of `count` waiting requests gets room.
    ///
    /// Each slot that the classes above leave comes free once in `hold`, and this node fills its
    /// part of them. Returns nothing while no holding time is known.
    #[must_use]
    pub fn expected_wait(&self, need: Need, hold: Duration, count: u32) -> Option<Duration> {
        let slots = need.left(self.slots) * need.own_part;
        let wait = hold.as_secs_f64() * f64::from(count) / slots;
        let wait = Duration::try_from_secs_f64(wait).ok()?;
        (!hold.is_zero()).then_some(wait)
    }

    /// Returns whether half of the slots are free.
    #[must_use]
    pub fn is_half_free(&self) -> bool {
        u64::from(self.running) * 2 <= u64::from(self.slots)
    }
}
