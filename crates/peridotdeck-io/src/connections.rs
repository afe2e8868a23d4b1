//! The open connections of a server, of which there is a bound.
//!
//! Callers that connect by the thousand and ask for nothing would take the descriptors and the memory
//! of all others. Once as many connections are open as may be, a further one takes the place of the
//! one that has waited for its caller longest. None is closed whose request is complete, unless its
//! caller does not read the answer.
//!
//! A request takes more than its caller's connection: the one to its endpoint, and the buffers between
//! the two. All draw on one account, see [`Bound`], also connections that are kept for later requests.

mod account;

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use futures_lite::future;

pub use account::{Bound, CONNECTION_BYTES, EXCHANGE_BYTES, Number};
use account::{Kind, State};

/// Shortest time between two log lines on connections that were closed for others.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest wait after which a connection may be closed in favour of a request, in milliseconds.
///
/// A caller that has just connected needs time to send its own request.
const MIN_WAIT_MS: u64 = 250;

/// What a connection waits for that its caller has not sent, and since when.
///
/// The first in order is the first to be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wait {
    /// A request, or the rest of its head, since a time in milliseconds.
    Request(u64),
    /// The answer to be read, of which nothing could be written since a time in milliseconds.
    Read(u64),
    /// The rest of a body whose head came at a time in milliseconds.
    Body(u64),
}

impl Wait {
    /// Returns the time since when the connection waits, in milliseconds.
    fn since(self) -> u64 {
        match self {
            Self::Request(since) | Self::Read(since) | Self::Body(since) => since,
        }
    }
}

/// What a server knows of a connection.
pub trait Activity {
    /// Returns the time in milliseconds, by the clock of all connections.
    fn millis() -> u64;

    /// Returns what the connection waits for, or none once a request is complete and until it is answered.
    ///
    /// One whose caller has long not read the answer waits too.
    fn wait(&self) -> Option<Wait>;
}

/// The open connections of a server.
#[derive(Debug)]
pub struct Connections<A> {
    bound: Bound,
    state: Mutex<State<A>>,
    /// Connections that were closed for others, or not taken.
    closed: AtomicU64,
    /// Connections whose tasks have not ended, also those that were closed for others.
    live: AtomicUsize,
}

impl<A> Connections<A> {
    /// Creates connections of a server that bounds only the number of its callers.
    #[must_use]
    pub fn new(callers: usize) -> Self {
        Self::within(Bound {
            callers,
            ..Bound::default()
        })
    }

    /// Creates a server's connections, which together with those to endpoints are within a bound.
    #[must_use]
    pub fn within(bound: Bound) -> Self {
        Self {
            bound,
            state: Mutex::default(),
            closed: AtomicU64::new(0),
            live: AtomicUsize::new(0),
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().open()
    }

    /// Returns the number of requests in progress that count.
    #[must_use]
    pub fn exchanges(&self) -> usize {
        self.lock().exchanges()
    }

    /// Returns whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of connections that were closed for others, or not taken.
    #[must_use]
    pub fn closed(&self) -> u64 {
        self.closed.load(Ordering::Relaxed)
    }

    /// Gives the thread to connections that were closed for others, until they have ended.
    ///
    /// Else a burst of new ones would hold more descriptors than may be open. One whose request has
    /// become complete meanwhile is not waited for.
    pub async fn settle(&self) {
        /// Most turns of the other tasks.
        const TURNS: usize = 8;
        for _ in 0..TURNS {
            let is_within = self.live.load(Ordering::Relaxed) <= self.bound.callers;
            if is_within && self.lock().is_settled(&self.bound) {
                return;
            }
            future::yield_now().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State<A>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<A: Activity> Connections<A> {
    /// Enters a new connection, for which another one may have to go.
    ///
    /// Returns nothing if there is no room, and no open connection waits for its caller.
    pub fn enter(self: &Arc<Self>, activity: &Arc<A>) -> Option<Place<A>> {
        let mut state = self.lock();
        let is_full = state.open() >= self.bound.callers;
        if is_full || !state.will_fit(&self.bound, Kind::Caller) {
            let has_place = !is_full || self.give_up(&mut state, 0);
            if !has_place || !self.make_room(&mut state, Kind::Caller, 0) {
                self.closed.fetch_add(1, Ordering::Relaxed);
                self.log(&mut state);
                return None;
            }
        }
        let (close, closed) = async_channel::bounded(1);
        let number = state.enter(Arc::clone(activity), close);
        self.live.fetch_add(1, Ordering::Relaxed);
        let connections = Arc::clone(self);
        Some(Place {
            connections,
            number,
            closed,
        })
    }

    /// Counts a complete request of a connection until it is answered; others may have to go.
    ///
    /// Returns nothing if there is no room yet, or the connection has been given up.
    pub fn claim(self: &Arc<Self>, number: Number) -> Option<Exchange<A>> {
        let mut state = self.lock();
        if !state.fits(&self.bound, Kind::Exchange) {
            if state.is_search_paused() {
                return None;
            }
            if !self.make_room(&mut state, Kind::Exchange, MIN_WAIT_MS) {
                self.log(&mut state);
                state.pause_searches();
            }
            // There is room only when those that are given up have ended.
            if !state.fits(&self.bound, Kind::Exchange) {
                return None;
            }
        }
        state.begin_exchange(number).then(|| Exchange {
            connections: Arc::clone(self),
            number,
        })
    }

    /// Closes kept connections, then those that wait for their callers, until one more of a kind fits.
    fn make_room(&self, state: &mut State<A>, kind: Kind, least_ms: u64) -> bool {
        while !state.will_fit(&self.bound, kind) {
            if !state.remove_kept() && !self.give_up(state, least_ms) {
                return false;
            }
        }
        true
    }

    /// Gives up the connection that has waited for its caller longest; returns whether there was one.
    fn give_up(&self, state: &mut State<A>, least_ms: u64) -> bool {
        let found = state.give_up_waiting(least_ms);
        if found {
            self.closed.fetch_add(1, Ordering::Relaxed);
            self.log(state);
        }
        found
    }

    /// Logs now and then that a connection is closed for another one, or not taken.
    fn log(&self, state: &mut State<A>) {
        if state.may_log(LOG_INTERVAL) {
            log::warn!(
                "event=connections_full open={} bound={} exchanges={} closed={}",
                state.open(),
                self.bound.callers,
                state.exchanges(),
                self.closed()
            );
        }
    }
}

impl<A> Connections<A> {
    /// Counts a connection to an endpoint that is kept for later requests, if there is room.
    ///
    /// The channel is closed when others need the room; its receiver closes the connection then.
    #[must_use]
    pub fn keep(self: &Arc<Self>, close: Sender<()>) -> Option<Kept<A>> {
        let mut state = self.lock();
        let fits = state.fits(&self.bound, Kind::Kept);
        fits.then(|| Kept {
            connections: Arc::clone(self),
            number: state.keep(close),
        })
    }
}

impl<A> Default for Connections<A> {
    /// Returns connections without a bound.
    fn default() -> Self {
        Self::within(Bound::default())
    }
}

/// Place of a connection among those that are open, until it is dropped.
#[derive(Debug)]
pub struct Place<A> {
    connections: Arc<Connections<A>>,
    number: Number,
    closed: Receiver<()>,
}

impl<A> Place<A> {
    /// Returns whether the connection counts towards a bound.
    #[must_use]
    pub fn is_bounded(&self) -> bool {
        self.connections.bound != Bound::default()
    }

    /// Returns the connection's number, for the claims of its requests.
    #[must_use]
    pub fn number(&self) -> Number {
        self.number
    }

    /// Waits until the place is needed for another connection.
    pub async fn taken(&self) {
        // An error means that the sender was dropped.
        let _ = self.closed.recv().await;
    }
}

impl<A> Drop for Place<A> {
    fn drop(&mut self) {
        self.connections.live.fetch_sub(1, Ordering::Relaxed);
        self.connections.lock().leave(self.number);
    }
}

/// A complete request that counts until it is dropped.
#[derive(Debug)]
pub struct Exchange<A> {
    connections: Arc<Connections<A>>,
    number: Number,
}

impl<A> Drop for Exchange<A> {
    fn drop(&mut self) {
        self.connections.lock().end_exchange(self.number);
    }
}

/// A connection to an endpoint that counts while it is kept, until it is dropped.
#[derive(Debug)]
pub struct Kept<A> {
    connections: Arc<Connections<A>>,
    number: Number,
}

impl<A> Drop for Kept<A> {
    fn drop(&mut self) {
        self.connections.lock().end_kept(self.number);
    }
}
