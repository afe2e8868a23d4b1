//! A bound on the bytes that a process keeps for all of its requests and answers together.
//!
//! A bound on each body does not bound their sum. Whatever is kept for longer than a read of its
//! connection reserves its bytes from one [`Budget`], and is given up or waits where it gets none.
//!
//! A holder may have at most a third of the bytes that are free, which is a quarter of the budget if
//! no other holds any. The bound falls as more is in use, so that some bytes are always left for a
//! holder that has few. This is the dynamic threshold of shared buffers in switches.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use quick_error::quick_error;

/// Time over which the pace of a body is measured.
pub const PACE_WINDOW: Duration = Duration::from_millis(250);

/// Bytes in a window below which a body is slow, and may be given up for others of its holder.
pub const PACE_BYTES: usize = 16 << 10;

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

/// A holder that has bytes.
#[derive(Debug)]
struct Share {
    holder: Holder,
    bytes: usize,
    /// Number of times that the holder got no more.
    denials: u64,
}

/// Usage, and the holders that have bytes, sorted.
#[derive(Debug)]
struct State {
    usage: Usage,
    shares: Vec<Share>,
}

impl State {
    /// Returns the index of a holder's share, or the index where it belongs.
    fn find(&self, holder: Holder) -> Result<usize, usize> {
        self.shares
            .binary_search_by_key(&holder, |share| share.holder)
    }

    /// Reserves bytes for a holder.
    fn take(&mut self, holder: Holder, bytes: usize) -> Result<(), Denied> {
        let found = self.find(holder);
        let held = found.map_or(0, |index| self.shares[index].bytes);
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
            if let Ok(index) = found {
                self.shares[index].denials += 1;
            }
            return Err(denied);
        }
        match found {
            Ok(index) => self.shares[index].bytes += bytes,
            Err(index) => {
                let share = Share {
                    holder,
                    bytes,
                    denials: 0,
                };
                self.shares.insert(index, share);
            }
        }
        self.usage.used += bytes;
        self.usage.peak = self.usage.peak.max(self.usage.used);
        Ok(())
    }

    /// Takes bytes of a holder back.
    fn put_back(&mut self, holder: Holder, bytes: usize) {
        let index = self.find(holder).expect("a holder of bytes has a share");
        self.shares[index].bytes -= bytes;
        if self.shares[index].bytes == 0 {
            self.shares.remove(index);
        }
        self.usage.used -= bytes;
    }

    /// Returns how often a holder got no more.
    fn denials(&self, holder: Holder) -> u64 {
        self.find(holder)
            .map_or(0, |index| self.shares[index].denials)
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
        let shares = Vec::new();
        let state = Arc::new(Mutex::new(State { usage, shares }));
        Self { state }
    }

    /// Returns a reservation for a holder, which has no bytes yet.
    #[must_use]
    pub fn reservation(&self, holder: Holder) -> Reservation {
        Reservation {
            budget: self.clone(),
            holder,
            bytes: 0,
            denials: 0,
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
    /// Denials of the holder until bytes were last reserved here.
    denials: u64,
}

impl Reservation {
    /// Reserves what is missing until the reservation has so many bytes.
    ///
    /// # Errors
    /// If the holder's share or the whole budget is in use; the reservation keeps what it has.
    pub fn cover(&mut self, bytes: usize) -> Result<(), Denied> {
        let missing = bytes.saturating_sub(self.bytes);
        if missing > 0 {
            let mut state = self.budget.lock();
            state.take(self.holder, missing)?;
            self.denials = state.denials(self.holder);
            self.bytes += missing;
        }
        Ok(())
    }

    /// Returns whether the holder got no more elsewhere, since bytes were last reserved here.
    ///
    /// A reservation that waits for its next bytes then is in the way of others.
    #[must_use]
    pub fn is_contended(&self) -> bool {
        self.bytes > 0 && self.budget.lock().denials(self.holder) > self.denials
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

/// Bytes that are kept as they come, and reserved before they are kept.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl Buffer {
    /// Smallest capacity, in bytes.
    const MIN_CAPACITY: usize = 512;

    /// Creates an empty buffer whose bytes are reserved here.
    #[must_use]
    pub fn new(reservation: Reservation) -> Self {
        let bytes = Vec::new();
        Self { bytes, reservation }
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// If the bytes that are needed cannot be reserved; the buffer keeps what it has.
    pub fn extend(&mut self, more: &[u8]) -> Result<(), Denied> {
        let (capacity, needed) = (self.bytes.capacity(), self.bytes.len() + more.len());
        if needed > capacity {
            let capacity = needed.max(capacity + capacity / 2).max(Self::MIN_CAPACITY);
            self.reservation.cover(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(more);
        Ok(())
    }

    /// Returns whether others of the same holder got no more since the buffer last grew.
    #[must_use]
    pub fn is_contended(&self) -> bool {
        self.reservation.is_contended()
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
