//! Forwarding of one caller's request, from its admission to its end.

mod attempt;
mod logging;

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use hyper::{
    Response,
    body::{Bytes, Incoming},
    http::response,
};
use peridotdeck_core::{
    Verdict,
    dispatch::{
        Key, Software,
        attempt::{Assignment, Attempt, End, Next, Placement, WaitCause},
        config::Kind,
        flight::Flight,
        refusal::Refusal,
        speed::{Gap, Gaps},
        stream::Evidence,
    },
};
use peridotdeck_io::connections::Exchange;

use crate::{
    Ingress, Shared,
    answer::{Events, Failure, Framing, Start},
    clock,
    exchange::{Channel, Message},
    plain,
    server::Activity,
    shared::{Counted, detour_text},
    stream::Relay,
};
use attempt::Received;

/// Outcome of a request for the caller.
#[derive(Debug)]
pub enum Outcome<I: Ingress> {
    /// A complete answer of an endpoint.
    Whole(Response<Bytes>),
    /// The head of an answer that is too large to be kept, and the relay of its body.
    Large(response::Parts, Box<plain::Relay<I>>),
    /// The head of a stream, and the relay of its events.
    Stream(response::Parts, Box<Relay<I>>),
    /// No answer, for the reason that the refusal states.
    Refused(Refusal),
}

/// A streamed answer of which the first event has arrived.
#[derive(Debug)]
pub(crate) struct StartedStream {
    pub(crate) head: response::Parts,
    pub(crate) events: Events,
    /// Rest of the stream; none if it has ended.
    pub(crate) body: Option<Incoming>,
    pub(crate) channel: Channel,
}

/// A plain answer that goes on behind what is kept.
#[derive(Debug)]
pub(crate) struct StartedAnswer {
    pub(crate) head: response::Parts,
    pub(crate) start: Start,
    pub(crate) channel: Channel,
}

/// One request, its attempts, and the facts that are logged at its end.
#[derive(Debug)]
pub struct Forwarding<I: Ingress> {
    pub(crate) shared: Arc<Shared<I>>,
    _counted: Counted,
    /// Room that the request takes until it has ended.
    _exchange: Option<Exchange<Activity>>,
    pub(crate) message: Message,
    pub(crate) flight: Flight,
    current_attempt: Option<Attempt>,
    /// Id of the endpoint of the last attempt.
    endpoint: String,
    /// Time from the arrival of the request to the first event that was forwarded.
    pub(crate) time_to_first: Option<Duration>,
    /// Longest time between two events that were forwarded.
    pub(crate) longest_pause: Duration,
    /// Pauses of the stream at its current endpoint, if these are to show its speed.
    gaps: Option<Gaps>,
    /// Whether a pause between two events was longer than usual.
    had_long_pause: bool,
    attempts: u32,
    /// Framing of the last answer.
    pub(crate) framing: Option<Framing>,
    /// Logged reason why the request waits for an endpoint.
    wait_cause: Option<WaitCause>,
    /// Logged decision on the version at which the stream goes on.
    resolved: Option<(Evidence, Option<Software>)>,
    ended: bool,
}

impl<I: Ingress> Forwarding<I> {
    /// Starts the forwarding of an admitted request.
    #[must_use]
    pub fn new(
        shared: Arc<Shared<I>>,
        message: Message,
        flight: Flight,
        exchange: Option<Exchange<Activity>>,
    ) -> Self {
        let counted = shared.open_requests.begin();
        let tells_speeds_apart = shared.dispatcher().tells_speeds_apart();
        Self {
            shared,
            _counted: counted,
            _exchange: exchange,
            message,
            flight,
            current_attempt: None,
            endpoint: String::new(),
            time_to_first: None,
            longest_pause: Duration::ZERO,
            gaps: tells_speeds_apart.then(Gaps::default),
            had_long_pause: false,
            attempts: 0,
            framing: None,
            wait_cause: None,
            resolved: None,
            ended: false,
        }
    }

    /// Makes attempts until one succeeds or no further one is allowed.
    pub async fn run(mut self) -> Outcome<I> {
        let mut placed = self.place().await;
        loop {
            let assignment = match placed {
                Ok(assignment) => assignment,
                Err(refusal) => return self.refuse(refusal),
            };
            match self.make_attempt(&assignment).await {
                Some(Ok(received)) => match self.handle_answer(&assignment, received) {
                    Ok(outcome) => return *outcome,
                    Err(forwarding) => self = *forwarding,
                },
                Some(Err(failure)) => {
                    self.finish_attempt(failure.end, &failure.cause);
                    if let Next::GiveUp(refusal) = self.next_step(failure.end) {
                        return self.refuse(refusal);
                    }
                }
                None => {
                    self.finish_attempt(End::Silent, "slow");
                    self.flight.runs += 1;
                }
            }
            placed = self.place().await;
        }
    }

    /// Returns the outcome for the caller, or the request itself if it should be retried.
    fn handle_answer(
        mut self,
        assignment: &Assignment,
        received: Received,
    ) -> Result<Box<Outcome<I>>, Box<Self>> {
        let key = assignment.attempt.key();
        match received {
            Received::Complete(response, channel) => {
                self.keep(channel, key);
                self.finish_attempt(End::Finished, "");
                self.record_end("answered", response.status().as_u16(), "");
                Ok(Box::new(Outcome::Whole(response)))
            }
            Received::Failed(response, channel) => {
                self.keep(channel, key);
                self.finish_attempt(End::Failed, "");
                if self.next_step(End::Failed) == Next::Retry {
                    return Err(Box::new(self));
                }
                self.record_end(
                    "failed",
                    response.status().as_u16(),
                    "endpoint answered with an error",
                );
                Ok(Box::new(Outcome::Whole(response)))
            }
            Received::Large(started, is_failure) => {
                if is_failure {
                    self.finish_attempt(End::Failed, "");
                    if self.next_step(End::Failed) == Next::Retry {
                        return Err(Box::new(self));
                    }
                }
                let head = started.head.clone();
                let relay = plain::Relay::new(self, key, *started, is_failure);
                Ok(Box::new(Outcome::Large(head, Box::new(relay))))
            }
            Received::Stream(started) => {
                let head = started.head.clone();
                let relay = Relay::new(self, key, *started);
                Ok(Box::new(Outcome::Stream(head, Box::new(relay))))
            }
        }
    }

    /// Keeps the connection of a complete answer.
    fn keep(&mut self, channel: Channel, key: Key) {
        self.framing = Some(channel.framing);
        channel.keep(&self.shared.pool, key);
    }

    /// Waits until the dispatcher assigns an endpoint or refuses the request.
    pub(crate) async fn place(&mut self) -> Result<Assignment, Refusal> {
        loop {
            let now = clock::now();
            let placement = self.shared.dispatcher().place(&mut self.flight, now);
            self.log_resolved();
            match placement {
                Placement::Send(assignment) => {
                    self.current_attempt = Some(assignment.attempt.clone());
                    self.attempts += 1;
                    self.endpoint.clone_from(&assignment.instance);
                    self.log_placed(&assignment);
                    self.shared.metrics.count_placement(&assignment);
                    return Ok(assignment);
                }
                Placement::Wait(delay) => {
                    self.log_waiting(&delay);
                    Timer::after(delay.time).await;
                }
                Placement::Refuse(refusal, exclusions) => {
                    self.log_unknown();
                    self.log_unplaced(&exclusions);
                    return Err(refusal);
                }
            }
        }
    }

    /// Resumes a broken stream at another endpoint, after the last one of the events so far.
    ///
    /// Returns the key of the endpoint and the stream. Without an id the endpoint starts the stream anew.
    /// `is_begun` says whether the caller has events of it.
    pub(crate) async fn resume(
        &mut self,
        events: &Events,
        is_begun: bool,
    ) -> Result<(Key, StartedStream), Refusal> {
        loop {
            let assignment = self.place().await?;
            let (shared, message) = (&self.shared, &self.message);
            let events = events.resumed();
            let flight = &self.flight;
            let work = Self::receive_answer(shared, message, flight, &assignment, events, is_begun);
            let failure = match work.await {
                Ok(Received::Stream(started)) => return Ok((assignment.attempt.key(), *started)),
                Ok(_) => Failure::new(End::Failed, "answer is not a stream"),
                Err(failure) => failure,
            };
            self.finish_attempt(failure.end, &failure.cause);
            if let Next::GiveUp(refusal) = self.next_step(failure.end) {
                return Err(refusal);
            }
        }
    }

    /// Records that the answer has begun.
    pub(crate) fn record_answer_start(&mut self) {
        let now = clock::now();
        let plain = self.flight.route.kind != Kind::Stream;
        if let Some(attempt) = &mut self.current_attempt {
            let mut dispatcher = self.shared.dispatcher();
            dispatcher.record_answer_start(attempt, plain, &self.flight, now);
            if !plain {
                dispatcher.begin_stream(attempt, &mut self.flight, now);
            }
        }
    }

    /// Records a pause between two events.
    ///
    /// Each new longest pause is reported to the dispatcher at once, until one was longer than usual.
    /// Nothing is reported after a second attempt, because another endpoint had to take over.
    pub(crate) fn record_pause(&mut self, pause: Duration) {
        self.record_gap(pause);
        if pause <= self.longest_pause {
            return;
        }
        self.longest_pause = pause;
        if self.attempts == 1 && !self.had_long_pause {
            let mut dispatcher = self.shared.dispatcher();
            self.had_long_pause = dispatcher.record_pause(&self.flight.service, pause);
        }
    }

    /// Records a pause among those at the current endpoint, and reports what it shows.
    fn record_gap(&mut self, pause: Duration) {
        let Some(gaps) = &mut self.gaps else {
            return;
        };
        let gap = gaps.add(pause);
        if gap != Gap::Usual
            && let Some(attempt) = &self.current_attempt
        {
            let now = clock::now();
            self.shared.dispatcher().record_gap(attempt, gap, now);
        }
    }

    /// Reports a complete stream to the dispatcher, if its only attempt had no long pause.
    pub(crate) fn record_stream_end(&self) {
        if self.attempts == 1 && !self.had_long_pause {
            let mut dispatcher = self.shared.dispatcher();
            dispatcher.record_steady_stream(&self.flight.service);
        }
    }

    /// Ends the attempt in progress, and returns it to the dispatcher with its outcome.
    pub(crate) fn finish_attempt(&mut self, end: End, cause: &str) {
        let Some(mut attempt) = self.current_attempt.take() else {
            return;
        };
        let now = clock::now();
        let plain = self.flight.route.kind != Kind::Stream;
        let mut dispatcher = self.shared.dispatcher();
        if let Some(gaps) = &mut self.gaps {
            dispatcher.record_gaps(&attempt, &self.flight.route.name, &std::mem::take(gaps));
        }
        if plain && end == End::Finished {
            dispatcher.record_answer_start(&mut attempt, plain, &self.flight, now);
        }
        dispatcher.finish(&attempt, end, &self.flight, now);
        drop(dispatcher);
        self.shared
            .metrics
            .count_attempt(&self.flight.service, end.into());
        if end != End::Finished {
            log::info!(
                "event=attempt_ended id={} endpoint={} key={:08x} detour={} end={end} ms={} \
                 cause=\"{cause}\"",
                self.flight.id,
                self.endpoint,
                attempt.key(),
                detour_text(attempt.detour()),
                now.saturating_sub(attempt.sent()).as_millis(),
            );
        }
    }

    /// Gives up the request's body, because no further attempt can follow.
    pub(crate) fn release_body(&mut self) {
        self.message.body = Bytes::new();
    }

    /// Returns the dispatcher's decision after a failed attempt.
    pub(crate) fn next_step(&mut self, end: End) -> Next {
        let now = clock::now();
        self.shared
            .dispatcher()
            .next_step(&mut self.flight, end, now)
    }

    /// Ends the request without an answer.
    fn refuse(mut self, refusal: Refusal) -> Outcome<I> {
        let outcome = match refusal.verdict {
            Verdict::NotRun => "refused",
            Verdict::MayHaveRun | Verdict::Ran => "failed",
        };
        self.record_refusal(outcome, &refusal);
        Outcome::Refused(refusal)
    }
}

impl<I: Ingress> Drop for Forwarding<I> {
    fn drop(&mut self) {
        if !self.ended {
            self.finish_attempt(End::Cancelled, "caller disconnected");
            self.shared.dispatcher().end_wait(&self.flight);
            self.record_end("cancelled", 0, "caller disconnected");
        }
    }
}
