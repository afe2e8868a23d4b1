//! A bound on the bytes that a process keeps for all of its requests and answers together.
//!
//! A bound on each body does not bound their sum. Whatever is kept for longer than a read of its
//! connection reserves its bytes from one [`Budget`], and is given up or waits where it gets none.
//!
//! A holder may have at most a third of the bytes that are free, which is a quarter of the budget if
//! no other holds any. The bound falls as more is in use, so that some bytes are always left for a
//! holder that has few. This is the dynamic threshold of shared buffers in switches.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use quick_error::quick_error;

/// Free bytes for each byte that a holder may have.
const FREE_PER_HELD: usize = 3;

quick_error! {
    /// Why no bytes were reserved.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Denied {
        /// The holder has its share.
        Share {
            display("the holder's share of the memory is in use")
        }
        /// All bytes are in use.
        Total {
            display("the memory for bodies is in use")
        }
    }
}

/// What bytes are reserved for, such as an endpoint or an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder(Option<u64>);

impl Holder {
    /// The process itself, which needs its configuration and peers; only the whole budget binds it.
    pub const PROCESS: Self = Self(None);

    /// Returns the holder with this number, which has a bounded share.
    #[must_use]
    pub const fn numbered(number: u64) -> Self {
        Self(Some(number))
    }
}

/// Number of bytes in use, and what has become of the requests for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes that may be reserved.
    pub limit: usize,
    /// Bytes that are reserved.
    pub used: usize,
    /// Most bytes that were reserved at a time.
    pub peak: usize,
    /// Number of times that no bytes were reserved.
    pub denials: u64,
}

/// Usage, and the bytes of each holder that has any, sorted by holder.
#[derive(Debug)]
struct State {
    usage: Usage,
    holders: Vec<(Holder, usize)>,
}

impl State {
    /// Reserves bytes for a holder.
    fn take(&mut self, holder: Holder, bytes: usize) -> Result<(), Denied> {
        let found = self
            .holders
            .binary_search_by_key(&holder, |(each, _)| *each);
        let held = found.map_or(0, |index| self.holders[index].1);
        let used = self.usage.used.checked_add(bytes);
        let used = used.filter(|used| *used <= self.usage.limit);
        let free = used.map(|used| self.usage.limit - used);
        let denied = match free {
            None => Some(Denied::Total),
            Some(free) if holder != Holder::PROCESS && held + bytes > free / FREE_PER_HELD => {
                Some(Denied::Share)
            }
            Some(_) => None,
        };
        if let Some(denied) = denied {
            self.usage.denials += 1;
            return Err(denied);
        }
        match found {
            Ok(index) => self.holders[index].1 += bytes,
            Err(index) => self.holders.insert(index, (holder, bytes)),
        }
        self.usage.used += bytes;
        self.usage.peak = self.usage.peak.max(self.usage.used);
        Ok(())
    }

    /// Takes bytes of a holder back.
    fn put_back(&mut self, holder: Holder, bytes: usize) {
        let found = self
            .holders
            .binary_search_by_key(&holder, |(each, _)| *each);
        let index = found.expect("a holder of bytes is in the table");
        self.holders[index].1 -= bytes;
        if self.holders[index].1 == 0 {
            self.holders.remove(index);
        }
        self.usage.used -= bytes;
    }
}

/// Bytes that all requests and answers of a process may keep together; clones share them.
#[derive(Clone, Debug)]
pub struct Budget {
    state: Arc<Mutex<State>>,
}

impl Budget {
    /// Creates a budget of so many bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        let usage = Usage {
            limit,
            ..Usage::default()
        };
        let holders = Vec::new();
        let state = Arc::new(Mutex::new(State { usage, holders }));
        Self { state }
    }

    /// Returns a reservation for a holder, which has no bytes yet.
    #[must_use]
    pub fn reservation(&self, holder: Holder) -> Reservation {
        Reservation {
            budget: self.clone(),
            holder,
            bytes: 0,
        }
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.lock().usage
    }

    /// Locks the state for a few instructions; holder and sum change together.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Budget {
    /// Returns a budget without a bound.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

/// Bytes that are in use until the reservation is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    holder: Holder,
    bytes: usize,
}

impl Reservation {
    /// Reserves what is missing until the reservation has so many bytes.
    ///
    /// # Errors
    /// If the holder's share or the whole budget is in use; the reservation keeps what it has.
    pub fn cover(&mut self, bytes: usize) -> Result<(), Denied> {
        let missing = bytes.saturating_sub(self.bytes);
        if missing > 0 {
            self.budget.lock().take(self.holder, missing)?;
            self.bytes += missing;
        }
        Ok(())
    }

    /// Gives back what the reservation has above so many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let spare = self.bytes.saturating_sub(bytes);
        if spare > 0 {
            self.budget.lock().put_back(self.holder, spare);
            self.bytes -= spare;
        }
    }

    /// Returns the reserved bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
