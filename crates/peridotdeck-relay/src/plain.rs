//! Forwards a plain answer that is too large to be kept.
//!
//! What comes is passed on as the caller takes it, so that an answer takes little memory, however
//! large it is. The caller's framing is the node's own: the answer's length, or chunks of which the
//! last one is written only where the endpoint's end is judged to be the answer's. Any other end
//! aborts the caller's connection, so that a broken answer cannot be mistaken for a complete one.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use async_io::Timer;
use futures_lite::{future, stream};
use http_body_util::StreamBody;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use peridotdeck_core::dispatch::{Key, attempt::End};

use crate::{
    Ingress,
    answer::{Failure, MAX_ANSWER_BYTES, read_data},
    clock,
    exchange::Channel,
    forwarding::{Forwarding, StartedAnswer},
    stream::Error,
};

/// A plain answer that is being forwarded to the caller.
#[derive(Debug)]
pub struct Relay<I: Ingress> {
    forwarding: Forwarding<I>,
    key: Key,
    status: u16,
    /// Whether the endpoint answers with an error; the attempt has then ended.
    is_failure: bool,
    channel: Option<Channel>,
    /// What was read of the body and is to be passed on first, last part first.
    read: Vec<Bytes>,
    rest: Option<Incoming>,
    /// Length that the head states, in bytes.
    length: Option<u64>,
    /// Bytes that were passed on.
    passed: usize,
    deadline: Timer,
}

impl<I: Ingress> Relay<I> {
    pub(crate) fn new(
        mut forwarding: Forwarding<I>,
        key: Key,
        started: StartedAnswer,
        is_failure: bool,
    ) -> Self {
        forwarding.framing = Some(started.channel.framing);
        forwarding.release_body();
        let left = forwarding.flight.time_left(clock::now());
        let (next, rest) = started.start.rest.unzip();
        let kept = started.start.kept;
        let unread = rest.as_ref().and_then(|rest| rest.size_hint().exact());
        let read: Vec<Bytes> = next.into_iter().chain([kept]).collect();
        let come: usize = read.iter().map(Bytes::len).sum();
        Self {
            forwarding,
            key,
            status: started.head.status.as_u16(),
            is_failure,
            channel: Some(started.channel),
            read,
            rest,
            length: unread.map(|unread| unread + come as u64),
            passed: 0,
            deadline: Timer::after(left),
        }
    }

    /// Returns the answer's body.
    #[must_use]
    pub fn into_body(self) -> impl Body<Data = Bytes, Error = Error> + Send + 'static {
        let left = self.length;
        let parts = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => None,
                Err(failure) => {
                    relay.cut(&failure);
                    // An error makes hyper drop the caller's connection with all unwritten data.
                    // Yield first, so that the bytes before the error are written.
                    future::yield_now().await;
                    Some((Err(Error::Broken), None))
                }
            }
        });
        let body = Box::pin(StreamBody::new(parts));
        Measured { body, left }
    }

    /// Returns the next bytes, or none at the end of the answer.
    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        let read = match self.read.pop() {
            Some(bytes) => Some(bytes),
            None => self.read().await?,
        };
        let Some(bytes) = read else {
            self.finish().await?;
            return Ok(None);
        };
        self.passed += bytes.len();
        if self.passed > MAX_ANSWER_BYTES {
            return Err(Failure::new(End::Garbled, "answer is too large"));
        }
        // Nobody asks for more than the stated length.
        if self.length == Some(self.passed as u64) {
            self.finish().await?;
        }
        Ok(Some(bytes))
    }

    /// Reads what comes next from the endpoint, before the deadline of the request.
    async fn read(&mut self) -> Result<Option<Bytes>, Failure> {
        let Some(rest) = &mut self.rest else {
            return Ok(None);
        };
        let read = read_data(rest);
        let expired = async {
            (&mut self.deadline).await;
            Err(Failure::new(End::TimedOut, "deadline passed"))
        };
        future::or(read, expired).await
    }

    /// Records the complete answer, and keeps its connection.
    ///
    /// # Errors
    /// If nothing shows that the endpoint has ended the answer here.
    async fn finish(&mut self) -> Result<(), Failure> {
        // The channel is gone after the end has been recorded.
        let Some(channel) = &self.channel else {
            return Ok(());
        };
        let forwarding = &self.forwarding;
        channel
            .check_end(&forwarding.shared, &forwarding.flight)
            .await?;
        if let Some(channel) = self.channel.take() {
            channel.keep(&self.forwarding.shared.pool, self.key);
        }
        self.forwarding.finish_attempt(End::Finished, "");
        let (outcome, cause) = if self.is_failure {
            ("failed", "endpoint answered with an error")
        } else {
            ("answered", "")
        };
        self.forwarding.record_end(outcome, self.status, cause);
        Ok(())
    }

    /// Records that the answer has ended before it was complete.
    fn cut(&mut self, failure: &Failure) {
        self.forwarding.finish_attempt(failure.end, &failure.cause);
        let cause = failure.end.into();
        self.forwarding.record_end("cut", self.status, cause);
    }
}

/// A body that has a known length, or none.
#[derive(Debug)]
struct Measured<B> {
    body: Pin<Box<B>>,
    /// Bytes that are to come.
    left: Option<u64>,
}

impl<B: Body<Data = Bytes>> Body for Measured<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let polled = self.body.as_mut().poll_frame(context);
        if let (Poll::Ready(Some(Ok(frame))), Some(left)) = (&polled, &mut self.left) {
            let length = frame.data_ref().map_or(0, Bytes::len) as u64;
            *left = left.saturating_sub(length);
        }
        polled
    }

    fn size_hint(&self) -> SizeHint {
        self.left
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
