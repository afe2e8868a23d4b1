//! How much of an organisation's limits is wanted, lent or used.

use super::Parts;

/// Parts of the rate and of the concurrency.
///
/// They are lent apart: the rate returns when a loan ends, while requests run on and keep their
/// slots. So a node borrows no more slots than it needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Amount {
    /// Parts of the rate and the burst.
    pub rate: Parts,
    /// Parts of the concurrency.
    pub slots: Parts,
}

impl Amount {
    /// Returns whether it is nothing at all.
    #[must_use]
    pub fn is_none(self) -> bool {
        self == Self::default()
    }

    /// Combines two amounts part by part.
    #[must_use]
    pub fn zip(self, other: Self, combine: impl Fn(Parts, Parts) -> Parts) -> Self {
        Self {
            rate: combine(self.rate, other.rate),
            slots: combine(self.slots, other.slots),
        }
    }

    /// Returns the smaller of both, part by part.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.zip(other, Parts::min)
    }

    /// Returns the larger of both, part by part.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.zip(other, Parts::max)
    }

    /// Returns what remains without another amount, part by part.
    #[must_use]
    pub fn less(self, other: Self) -> Self {
        self.zip(other, Parts::saturating_sub)
    }

    /// Returns both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, Parts::saturating_add)
    }
}
