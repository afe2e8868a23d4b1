//! How long ago the publisher has confirmed what a node knows.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Area, Registry};
use crate::id::Time;

/// Time since the publisher last confirmed each area, as known to the sender of a heartbeat.
///
/// It goes with a heartbeat, and holds for the positions that the heartbeat names. See
/// `docs/design/PLATFORM.md`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages {
    /// Age of the configuration and the closed data centres.
    pub policy_ms: u32,
    /// Age of the endpoint list.
    pub roster_ms: u32,
}

impl Ages {
    /// Returns the age of an area.
    #[must_use]
    pub fn of(self, area: Area) -> Duration {
        let age = match area {
            Area::Policy => self.policy_ms,
            Area::Roster => self.roster_ms,
        };
        Duration::from_millis(age.into())
    }
}

impl Registry {
    /// Returns the ages of what this node knows.
    #[must_use]
    pub fn ages(&self, now: Time) -> Ages {
        let millis = |area| u32::try_from(self.age(area, now).as_millis()).unwrap_or(u32::MAX);
        Ages {
            policy_ms: millis(Area::Policy),
            roster_ms: millis(Area::Roster),
        }
    }
}
