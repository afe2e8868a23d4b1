//! Requests in progress on a connection, and the time since the last one.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use hyper::body::{Body, Frame, SizeHint};
use peridotdeck_io::connections::{self, Connections, Exchange, Number, Wait};

use crate::clock;

/// Time for which nothing of an answer could be written, after which its caller does not read it.
const UNREAD_TIME: Duration = Duration::from_millis(250);

/// Counts of a server's answers in progress, over all its connections.
#[derive(Debug, Default)]
pub struct Answers {
    /// Answers without framing whose connections are open.
    unframed: AtomicU32,
    /// Answers that are read to their end and not completely written.
    unwritten: AtomicU32,
}

impl Answers {
    /// Returns the number of answers without framing whose connections are open.
    #[must_use]
    pub fn unframed(&self) -> u32 {
        self.unframed.load(Ordering::Relaxed)
    }

    /// Returns the number of answers that are read to their end and not completely written.
    ///
    /// The kernel takes the rest of an answer only as its caller reads.
    #[must_use]
    pub fn unwritten(&self) -> u32 {
        self.unwritten.load(Ordering::Relaxed)
    }
}

/// Counter of a connection's requests in progress, and the end of the last one.
#[derive(Debug)]
pub struct Activity {
    /// Number of requests in progress.
    requests: AtomicU64,
    /// Time at which the last request began or ended, in milliseconds of the node's clock.
    last_ms: AtomicU64,
    /// Whether the body of the request in progress is not complete.
    is_receiving: AtomicBool,
    /// Whether the connection's end is the end of the response in progress.
    ends_response: AtomicBool,
    /// Whether the body of the last response was read to its end.
    is_read: AtomicBool,
    /// Whether bytes of a response that has been read to its end are still to be written.
    is_unwritten: AtomicBool,
    /// Time since which nothing could be written, in milliseconds of the node's clock; 0 if it could.
    blocked_ms: AtomicU64,
    /// Whether this end of the connection was closed in an orderly way.
    is_closed: AtomicBool,
    answers: Arc<Answers>,
}

impl Activity {
    pub(super) fn new(answers: Arc<Answers>) -> Self {
        Self {
            requests: AtomicU64::new(0),
            last_ms: AtomicU64::new(millis()),
            is_receiving: AtomicBool::new(false),
            ends_response: AtomicBool::new(false),
            is_read: AtomicBool::new(false),
            is_unwritten: AtomicBool::new(false),
            blocked_ms: AtomicU64::new(0),
            is_closed: AtomicBool::new(false),
            answers,
        }
    }

    /// Marks the connection as busy until the guard is dropped.
    pub(super) fn begin(self: &Arc<Self>) -> Busy {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.is_read.store(false, Ordering::Relaxed);
        self.is_receiving.store(true, Ordering::Relaxed);
        self.last_ms.store(millis(), Ordering::Relaxed);
        Busy(Arc::clone(self))
    }

    /// Records whether the kernel has taken some of what there is to write.
    pub(super) fn record_write(&self, is_blocked: bool) {
        let was_blocked = self.blocked_ms.load(Ordering::Relaxed) > 0;
        if is_blocked != was_blocked {
            let since = if is_blocked { millis().max(1) } else { 0 };
            self.blocked_ms.store(since, Ordering::Relaxed);
        }
    }

    /// Returns since when the caller has not read, if that is for long.
    fn unread(&self) -> Option<u64> {
        let since = self.blocked_ms.load(Ordering::Relaxed);
        let is_long = millis().saturating_sub(since) >= UNREAD_TIME.as_millis() as u64;
        (since > 0 && is_long).then_some(since)
    }

    /// Records that everything has been written that hyper has to write.
    pub(super) fn record_flush(&self) {
        if self.is_unwritten.swap(false, Ordering::Relaxed) {
            self.answers.unwritten.fetch_sub(1, Ordering::Relaxed);
            self.last_ms.store(millis(), Ordering::Relaxed);
        }
    }

    /// Returns whether an orderly close of the connection says what is true.
    ///
    /// It says that the response in progress is complete, if the response has no framing.
    pub(super) fn may_close(&self) -> bool {
        let is_written = !self.is_unwritten.load(Ordering::Relaxed);
        !self.ends_response() || (self.is_read.load(Ordering::Relaxed) && is_written)
    }

    /// Records that this end of the connection was closed in an orderly way.
    pub(super) fn record_close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    /// Returns whether this end of the connection was closed in an orderly way.
    pub(super) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Returns whether the connection's end is the end of the response in progress.
    pub(super) fn ends_response(&self) -> bool {
        self.ends_response.load(Ordering::Relaxed)
    }

    /// Returns the time since the last answer was written, or none while a request is in progress.
    pub(super) fn idle(&self) -> Option<Duration> {
        let is_unwritten = self.is_unwritten.load(Ordering::Relaxed);
        if is_unwritten || self.requests.load(Ordering::Relaxed) > 0 {
            return None;
        }
        let last = self.last_ms.load(Ordering::Relaxed);
        Some(Duration::from_millis(millis().saturating_sub(last)))
    }
}

impl connections::Activity for Activity {
    fn millis() -> u64 {
        millis()
    }

    fn wait(&self) -> Option<Wait> {
        let last = self.last_ms.load(Ordering::Relaxed);
        if self.idle().is_some() {
            return Some(Wait::Request(last));
        }
        if let Some(since) = self.unread() {
            return Some(Wait::Read(since));
        }
        let is_receiving = self.is_receiving.load(Ordering::Relaxed);
        is_receiving.then_some(Wait::Body(last))
    }
}

impl Drop for Activity {
    fn drop(&mut self) {
        self.record_flush();
        if self.ends_response() {
            self.answers.unframed.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

fn millis() -> u64 {
    clock::now().as_millis() as u64
}

/// Receipt of a request, as an extension of it, with which its reader notes that it is complete.
#[derive(Clone, Debug)]
pub(crate) struct Receipt {
    activity: Arc<Activity>,
    connection: Number,
}

impl Receipt {
    pub(super) fn new(activity: Arc<Activity>, connection: Number) -> Self {
        Self {
            activity,
            connection,
        }
    }

    /// Counts the request until it is answered, if there is room or another one can be given up.
    pub(crate) fn claim(
        &self,
        connections: &Arc<Connections<Activity>>,
    ) -> Option<Exchange<Activity>> {
        connections.claim(self.connection)
    }

    /// Notes that the whole request has come, so that its connection is not given up for others.
    pub(crate) fn complete(&self) {
        self.activity.is_receiving.store(false, Ordering::Relaxed);
    }
}

/// Guard that marks a connection as busy until it is dropped.
#[derive(Debug)]
pub(super) struct Busy(Arc<Activity>);

impl Busy {
    /// Records that the connection's end is the end of the response, so it has no further one.
    pub(super) fn end_with_connection(&self) {
        if !self.0.ends_response.swap(true, Ordering::Relaxed) {
            self.0.answers.unframed.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Records that the response's body was read to its end.
    fn record_read(&self) {
        self.0.is_read.store(true, Ordering::Relaxed);
        if !self.0.is_unwritten.swap(true, Ordering::Relaxed) {
            self.0.answers.unwritten.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.last_ms.store(millis(), Ordering::Relaxed);
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A response body that marks its connection as busy until it is sent or dropped.
#[derive(Debug)]
pub struct Tracked<B> {
    body: Pin<Box<B>>,
    busy: Busy,
}

impl<B: Body> Tracked<B> {
    pub(super) fn new(body: B, busy: Busy) -> Self {
        if body.is_end_stream() {
            busy.record_read();
        }
        Self {
            body: Box::pin(body),
            busy,
        }
    }
}

impl<B: Body> Body for Tracked<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let polled = self.body.as_mut().poll_frame(context);
        let is_error = matches!(polled, Poll::Ready(Some(Err(_))));
        let is_end = matches!(polled, Poll::Ready(None));
        if is_end || (!is_error && self.body.is_end_stream()) {
            self.busy.record_read();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
