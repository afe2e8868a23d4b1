//! Forwards a stream of server-sent events to the caller.
//!
//! Only complete events are forwarded, because an endpoint may fail in the middle of one. If the
//! route allows it, a broken stream is resumed at another endpoint after the last complete event;
//! the caller receives one answer with the head of the first endpoint. Otherwise the caller's
//! connection is aborted, so that a broken stream cannot be mistaken for a complete one.
//!
//! The caller's framing is the node's own. A stream that ends with its connection is complete for the
//! caller only if its endpoint lives on, see [`crate::answer`].

use async_io::Timer;
use futures_lite::{future, stream};
use http_body_util::StreamBody;
use hyper::body::{Body, Bytes, Frame, Incoming};
use peridotdeck_core::{
    dispatch::{
        Key,
        attempt::{End, Next},
    },
    id::Time,
};
use quick_error::quick_error;

use crate::{
    Ingress,
    answer::{Events, Failure, read_data, read_rest},
    clock,
    exchange::Channel,
    forwarding::{Forwarding, StartedStream},
};

quick_error! {
    /// Reason why the caller's connection is aborted in the middle of a stream.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The stream broke and cannot be resumed.
        Broken {
            display("the stream broke and cannot be resumed")
        }
    }
}

/// A stream that is being forwarded to the caller.
#[derive(Debug)]
pub struct Relay<I: Ingress> {
    forwarding: Forwarding<I>,
    key: Key,
    channel: Option<Channel>,
    body: Option<Incoming>,
    events: Events,
    first_sent: bool,
    last_sent: Time,
    /// Whether something that does not belong to the stream has been logged in this attempt.
    foreign_logged: bool,
    deadline: Timer,
}

impl<I: Ingress> Relay<I> {
    pub(crate) fn new(mut forwarding: Forwarding<I>, key: Key, started: StartedStream) -> Self {
        forwarding.record_answer_start();
        forwarding.framing = Some(started.channel.framing);
        let left = forwarding.flight.time_left(clock::now());
        Self {
            forwarding,
            key,
            channel: Some(started.channel),
            body: started.body,
            events: started.events,
            first_sent: false,
            last_sent: Time::ZERO,
            foreign_logged: false,
            deadline: Timer::after(left),
        }
    }

    /// Returns the events as a response body.
    #[must_use]
    pub fn into_body(self) -> impl Body<Data = Bytes, Error = Error> + Send + 'static {
        let events = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => None,
                Err(error) => {
                    // An error makes hyper drop the caller's connection with all unwritten data.
                    // Yield first, so that the events before the error are written.
                    future::yield_now().await;
                    Some((Err(error), None))
                }
            }
        });
        StreamBody::new(events)
    }

    /// Returns the next complete events, or none at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            self.log_foreign();
            if let Some(bytes) = self.events.take_complete() {
                self.record_sent();
                return Ok(Some(bytes));
            }
            if self.events.foreign().is_some() {
                if let Err(failure) = self.end_before_foreign().await {
                    self.recover(&failure).await?;
                }
                continue;
            }
            let Some(body) = &mut self.body else {
                match self.check_end().await {
                    Ok(()) => return Ok(self.finish()),
                    Err(failure) => self.recover(&failure).await?,
                }
                continue;
            };
            let read = async { read_data(body).await };
            let expired = async {
                (&mut self.deadline).await;
                Err(Failure::new(End::TimedOut, "deadline passed"))
            };
            match future::or(read, expired).await {
                Ok(Some(bytes)) => {
                    if let Err(failure) = self.events.push(&bytes) {
                        self.recover(&failure).await?;
                    }
                }
                Ok(None) => self.body = None,
                Err(failure) => self.recover(&failure).await?,
            }
        }
    }

    /// Ends the stream before the first thing that does not belong to it.
    ///
    /// Bytes behind a stream without framing are not passed on, and do not say that it was not over.
    ///
    /// # Errors
    /// If the framing, or an event that follows, says that the stream was not over.
    async fn end_before_foreign(&mut self) -> Result<(), Failure> {
        let channel = self.channel.as_ref();
        if channel.is_some_and(|channel| channel.framing.shows_end()) {
            let cause = "something in the stream does not belong to it";
            return Err(Failure::new(End::Garbled, cause));
        }
        if let Some(mut body) = self.body.take() {
            let flight = &self.forwarding.flight;
            read_rest(&mut body, &mut self.events, flight).await?;
        }
        self.events.drop_foreign()
    }

    /// Logs what does not belong to the stream, once in each attempt.
    fn log_foreign(&mut self) {
        if let Some(foreign) = self.events.foreign()
            && !self.foreign_logged
        {
            self.forwarding.log_foreign(foreign);
            self.foreign_logged = true;
        }
    }

    /// Records the time to the first event, or the pause since the event before.
    fn record_sent(&mut self) {
        let now = clock::now();
        let is_first = !std::mem::replace(&mut self.first_sent, true);
        if is_first {
            let flight = &self.forwarding.flight;
            let time = now.saturating_sub(flight.arrived);
            let metrics = &self.forwarding.shared.metrics;
            metrics.observe_first_answer(&flight.route.name, flight.organisation_name(), time);
            self.forwarding.time_to_first = Some(time);
            if !self.forwarding.flight.route.resumable {
                self.forwarding.release_body();
            }
        } else {
            let pause = now.saturating_sub(self.last_sent);
            self.forwarding.record_pause(pause);
        }
        self.last_sent = now;
    }

    /// Checks that the endpoint's stream ended where the caller's may end.
    ///
    /// # Errors
    /// If the stream ended inside an event, or nothing shows that its endpoint ended it.
    async fn check_end(&self) -> Result<(), Failure> {
        self.events.check_end()?;
        // The channel is gone after the end has been recorded.
        let Some(channel) = &self.channel else {
            return Ok(());
        };
        let forwarding = &self.forwarding;
        channel
            .check_end(&forwarding.shared, &forwarding.flight)
            .await
    }

    /// Records the complete stream, keeps its connection, and returns the remaining bytes.
    fn finish(&mut self) -> Option<Bytes> {
        if let Some(channel) = self.channel.take() {
            channel.keep(&self.forwarding.shared.pool, self.key);
            self.forwarding.finish_attempt(End::Finished, "");
            self.forwarding.record_stream_end();
            self.forwarding.record_end("answered", 200, "");
        }
        self.events.take_rest()
    }

    /// Resumes the stream at another endpoint.
    ///
    /// # Errors
    /// If the stream cannot be resumed, so that the caller's connection must be aborted.
    async fn recover(&mut self, failure: &Failure) -> Result<(), Error> {
        self.log_foreign();
        // Closing the connection stops the generation at this endpoint before another one resumes.
        self.channel = None;
        self.body = None;
        self.forwarding.finish_attempt(failure.end, &failure.cause);
        let flight = &self.forwarding.flight;
        let can_resume = flight.route.resumable && self.events.sequence().can_continue();
        let may_resume = can_resume || !self.first_sent;
        if failure.end != End::TimedOut
            && may_resume
            && self.forwarding.next_step(failure.end) == Next::Retry
        {
            let is_begun = self.first_sent && self.events.sequence().last().is_some();
            match self.forwarding.resume(&self.events, is_begun).await {
                Ok((key, started)) => {
                    self.continue_with(key, started);
                    return Ok(());
                }
                Err(refusal) => self.forwarding.record_refusal("cut", &refusal),
            }
        }
        let end: &'static str = failure.end.into();
        self.forwarding.record_end("cut", 0, end);
        Err(Error::Broken)
    }

    /// Switches to the stream of another endpoint, which follows the last complete event.
    fn continue_with(&mut self, key: Key, started: StartedStream) {
        self.forwarding.record_answer_start();
        self.forwarding.framing = Some(started.channel.framing);
        self.key = key;
        self.channel = Some(started.channel);
        self.body = started.body;
        let after = self.events.sequence().last();
        self.forwarding.log_joined(&started.events, after);
        self.events = started.events;
        self.foreign_logged = false;
    }
}
