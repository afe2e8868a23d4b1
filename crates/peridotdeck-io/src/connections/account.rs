//! What is open, and what it takes of the memory and the descriptors.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::Sender;

use super::{Activity, Wait};

/// Memory of a caller's connection that waits for the rest of a head, in bytes.
pub const CONNECTION_BYTES: usize = 32 << 10;

/// Memory that a request in progress takes beside its caller's connection and its body, in bytes.
///
/// It is for the connection to the endpoint, the tasks, and the part of an answer between the two.
pub const EXCHANGE_BYTES: usize = 32 << 10;

/// Memory of a connection that is kept for later requests, in bytes.
const KEPT_BYTES: usize = 24 << 10;

/// Time without a further search after one found no connection to give up.
///
/// A search looks at every open connection under the lock.
const SEARCH_PAUSE: Duration = Duration::from_millis(20);

/// Number of a connection, in the order in which they were opened.
pub type Number = u64;

/// What all open connections may take together.
///
/// Each takes a descriptor, and a request in progress one more for its endpoint's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Connections of callers.
    pub callers: usize,
    /// Bytes of memory, as they are reckoned for each kind of connection.
    pub bytes: usize,
    /// Descriptors.
    pub descriptors: usize,
}

impl Default for Bound {
    /// Returns a bound that binds nothing.
    fn default() -> Self {
        Self {
            callers: usize::MAX,
            bytes: usize::MAX,
            descriptors: usize::MAX,
        }
    }
}

/// What draws on the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Caller,
    Exchange,
    Kept,
}

impl Kind {
    fn bytes(self) -> usize {
        match self {
            Self::Caller => CONNECTION_BYTES,
            Self::Exchange => EXCHANGE_BYTES,
            Self::Kept => KEPT_BYTES,
        }
    }
}

/// An open connection of a caller.
#[derive(Debug)]
struct Open<A> {
    number: Number,
    activity: Arc<A>,
    /// Requests in progress that count.
    exchanges: usize,
    /// Dropping it closes the connection; none if that has been given up, and has not ended yet.
    close: Option<Sender<()>>,
}

/// Callers' connections that were given up and have not ended, and their requests.
#[derive(Clone, Copy, Debug, Default)]
struct GivenUp {
    connections: usize,
    exchanges: usize,
}

/// All that draws on the bound; connections are sorted by number.
#[derive(Debug)]
pub(super) struct State<A> {
    open: Vec<Open<A>>,
    /// Those of the open ones that have been given up.
    given_up: GivenUp,
    /// Connections to endpoints that are kept, and how they are closed.
    kept: VecDeque<(Number, Sender<()>)>,
    /// Requests in progress that count.
    exchanges: usize,
    /// Number of the next connection.
    next: Number,
    /// Time from which a connection to give up is searched for again.
    searches_from: Option<Instant>,
    logged: Option<Instant>,
}

impl<A> Default for State<A> {
    fn default() -> Self {
        Self {
            open: Vec::new(),
            given_up: GivenUp::default(),
            kept: VecDeque::new(),
            exchanges: 0,
            next: 0,
            searches_from: None,
            logged: None,
        }
    }
}

impl<A> State<A> {
    /// Returns the number of callers' connections that have not been given up.
    pub(super) fn open(&self) -> usize {
        self.open.len() - self.given_up.connections
    }

    pub(super) fn exchanges(&self) -> usize {
        self.exchanges
    }

    /// Returns whether one more of a kind is within the bound.
    pub(super) fn fits(&self, bound: &Bound, kind: Kind) -> bool {
        self.is_within(bound, kind, self.open.len(), self.exchanges)
    }

    /// Returns whether one more of a kind is within the bound, once those that are given up have ended.
    pub(super) fn will_fit(&self, bound: &Bound, kind: Kind) -> bool {
        self.is_within(
            bound,
            kind,
            self.open(),
            self.exchanges - self.given_up.exchanges,
        )
    }

    /// Returns whether all that were given up have ended, or one more caller fits beside them.
    pub(super) fn is_settled(&self, bound: &Bound) -> bool {
        self.given_up.connections == 0 || self.fits(bound, Kind::Caller)
    }

    fn is_within(&self, bound: &Bound, kind: Kind, open: usize, exchanges: usize) -> bool {
        let kept = self.kept.len();
        let bytes = open * CONNECTION_BYTES + exchanges * EXCHANGE_BYTES + kept * KEPT_BYTES;
        let descriptors = open + exchanges + kept;
        bytes + kind.bytes() <= bound.bytes && descriptors < bound.descriptors
    }

    fn take_number(&mut self) -> Number {
        self.next += 1;
        self.next
    }

    fn find(&self, number: Number) -> Option<usize> {
        let found = self.open.binary_search_by_key(&number, |open| open.number);
        found.ok()
    }

    /// Adds a caller's connection.
    pub(super) fn enter(&mut self, activity: Arc<A>, close: Sender<()>) -> Number {
        let number = self.take_number();
        self.open.push(Open {
            number,
            activity,
            exchanges: 0,
            close: Some(close),
        });
        number
    }

    /// Removes a caller's connection, which has ended.
    pub(super) fn leave(&mut self, number: Number) {
        if let Some(index) = self.find(number) {
            let open = self.open.remove(index);
            self.exchanges -= open.exchanges;
            if open.close.is_none() {
                self.given_up.connections -= 1;
                self.given_up.exchanges -= open.exchanges;
            }
        }
    }

    /// Counts a request of a connection; returns whether that is open.
    pub(super) fn begin_exchange(&mut self, number: Number) -> bool {
        let index = self.find(number);
        let Some(index) = index.filter(|&index| self.open[index].close.is_some()) else {
            return false;
        };
        self.open[index].exchanges += 1;
        self.exchanges += 1;
        true
    }

    /// Ends the count of a request, if its connection has not ended before.
    pub(super) fn end_exchange(&mut self, number: Number) {
        if let Some(index) = self.find(number) {
            let open = &mut self.open[index];
            open.exchanges -= 1;
            self.exchanges -= 1;
            if open.close.is_none() {
                self.given_up.exchanges -= 1;
            }
        }
    }

    /// Counts a connection that is kept.
    pub(super) fn keep(&mut self, close: Sender<()>) -> Number {
        let number = self.take_number();
        self.kept.push_back((number, close));
        number
    }

    /// Ends the count of a kept connection, if it has not been given up.
    pub(super) fn end_kept(&mut self, number: Number) {
        let found = self.kept.binary_search_by_key(&number, |(each, _)| *each);
        if let Ok(index) = found {
            self.kept.remove(index);
        }
    }

    /// Closes the connection that has been kept longest; returns whether there was one.
    pub(super) fn remove_kept(&mut self) -> bool {
        let oldest = self.kept.pop_front();
        oldest.map(|(_, close)| close.close()).is_some()
    }

    /// Returns whether a recent search found no connection to give up.
    pub(super) fn is_search_paused(&self) -> bool {
        self.searches_from
            .is_some_and(|until| Instant::now() < until)
    }

    pub(super) fn pause_searches(&mut self) {
        self.searches_from = Some(Instant::now() + SEARCH_PAUSE);
    }

    /// Returns whether nothing has been logged for an interval, and notes that something is.
    pub(super) fn may_log(&mut self, interval: Duration) -> bool {
        let is_recent = self.logged.is_some_and(|at| at.elapsed() < interval);
        if !is_recent {
            self.logged = Some(Instant::now());
        }
        !is_recent
    }
}

impl<A: Activity> State<A> {
    /// Gives up the connection that has waited for its caller longest, and at least this many milliseconds.
    ///
    /// Returns whether there was one.
    pub(super) fn give_up_waiting(&mut self, least_ms: u64) -> bool {
        let until = A::millis().saturating_sub(least_ms);
        let waits = |(index, open): (usize, &Open<A>)| -> Option<(Wait, usize)> {
            open.close.as_ref()?;
            let wait = open.activity.wait()?;
            (wait.since() <= until).then_some((wait, index))
        };
        let longest = self.open.iter().enumerate().filter_map(waits).min();
        let Some((_, index)) = longest else {
            return false;
        };
        let open = &mut self.open[index];
        open.close = None;
        self.given_up.connections += 1;
        self.given_up.exchanges += open.exchanges;
        true
    }
}
