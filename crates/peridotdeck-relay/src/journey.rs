//! One caller's request from its admission to its end.

mod account;

use std::{
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_io::Timer;
use async_std::future::timeout;
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Bytes, Incoming},
    http::response,
};
use peridotdeck_core::{
    Verdict,
    dispatch::{
        Key,
        attempt::{Assignment, Attempt, End, Next, Placement, WaitCause},
        config::Kind,
        flight::Flight,
        refusal::Refusal,
    },
};

use crate::{
    Ingress, Shared, clock,
    exchange::{self, Failure, Message},
    ingress::Reply,
    pool::Link,
    stream::{self, Events, Relay},
};

/// Longest time to read the rest of an answer that nobody needs, to keep the connection.
const DRAIN: Duration = Duration::from_millis(50);

/// What the caller gets.
#[derive(Debug)]
pub enum Outcome<I: Ingress> {
    /// A whole answer of an endpoint.
    Whole(Response<Bytes>),
    /// The head of a stream, and its events.
    Stream(response::Parts, Box<Relay<I>>),
    /// No answer.
    Refused(Refusal),
}

/// An answer that has begun.
#[derive(Debug)]
pub(crate) struct Started {
    pub(crate) head: response::Parts,
    pub(crate) events: Events,
    pub(crate) body: Option<Incoming>,
    pub(crate) link: Link,
    pub(crate) keep_alive: Option<Duration>,
}

/// What an attempt came to.
enum Arrival {
    Whole(Response<Bytes>, Link, Option<Duration>),
    Failed(Response<Bytes>, Link, Option<Duration>),
    Started(Box<Started>),
}

/// A request, its attempts, and its end.
#[derive(Debug)]
pub struct Journey<I: Ingress> {
    pub(crate) shared: Arc<Shared<I>>,
    pub(crate) message: Message,
    pub(crate) flight: Flight,
    running: Option<Attempt>,
    /// Endpoint of the last attempt.
    endpoint: String,
    /// Time from the arrival to the first event that was passed on.
    pub(crate) first: Option<Duration>,
    /// Longest time between two events that were passed on.
    pub(crate) pause: Duration,
    /// Whether such a pause was longer than usual.
    paused: bool,
    attempts: u32,
    /// Why it waits for an endpoint, as logged.
    obstacle: Option<WaitCause>,
    ended: bool,
}

impl<I: Ingress> Journey<I> {
    /// Starts with an admitted request.
    #[must_use]
    pub fn new(shared: Arc<Shared<I>>, message: Message, flight: Flight) -> Self {
        shared.open.fetch_add(1, Ordering::Relaxed);
        Self {
            shared,
            message,
            flight,
            running: None,
            endpoint: String::new(),
            first: None,
            pause: Duration::ZERO,
            paused: false,
            attempts: 0,
            obstacle: None,
            ended: false,
        }
    }

    /// Makes attempts until one succeeds or no more may be made.
    pub async fn run(mut self) -> Outcome<I> {
        let mut placed = self.place().await;
        loop {
            let assignment = match placed {
                Ok(assignment) => assignment,
                Err(refusal) => return self.refuse(refusal),
            };
            match self.attempt(&assignment).await {
                Some(Ok(arrival)) => match self.arrive(&assignment, arrival) {
                    Ok(outcome) => return *outcome,
                    Err(journey) => self = *journey,
                },
                Some(Err(failure)) => {
                    self.finish(failure.end, &failure.cause);
                    if let Next::GiveUp(refusal) = self.next(failure.end) {
                        return self.refuse(refusal);
                    }
                }
                None => {
                    self.finish(End::Silent, "slow");
                    self.flight.runs += 1;
                }
            }
            placed = self.place().await;
        }
    }

    /// Decides on an answer: passes it on, or tries again if that may help.
    fn arrive(
        mut self,
        assignment: &Assignment,
        arrival: Arrival,
    ) -> Result<Box<Outcome<I>>, Box<Self>> {
        let key = assignment.attempt.key();
        match arrival {
            Arrival::Whole(response, link, keep_alive) => {
                self.shared.pool.keep(key, link, keep_alive);
                self.finish(End::Finished, "");
                self.end("answered", response.status().as_u16(), "");
                Ok(Box::new(Outcome::Whole(response)))
            }
            Arrival::Failed(response, link, keep_alive) => {
                self.shared.pool.keep(key, link, keep_alive);
                self.finish(End::Failed, "");
                if self.next(End::Failed) == Next::Retry {
                    return Err(Box::new(self));
                }
                self.end("failed", response.status().as_u16(), "endpoint answered so");
                Ok(Box::new(Outcome::Whole(response)))
            }
            Arrival::Started(started) => {
                let head = started.head.clone();
                let relay = Relay::new(self, key, *started);
                Ok(Box::new(Outcome::Stream(head, Box::new(relay))))
            }
        }
    }

    /// Makes one attempt; nothing comes of it if it is slow and another endpoint should be asked.
    async fn attempt(&self, assignment: &Assignment) -> Option<Result<Arrival, Failure>> {
        let work = Self::answer(&self.shared, &self.message, &self.flight, assignment, None);
        let mut work = pin!(work);
        if let Some(patience) = assignment.hedge_after {
            if let Ok(result) = timeout(patience, work.as_mut()).await {
                return Some(result);
            }
            let now = clock::now();
            if self.shared.dispatcher().try_hedge(&self.flight, now) {
                return None;
            }
        }
        Some(work.await)
    }

    async fn answer(
        shared: &Arc<Shared<I>>,
        message: &Message,
        flight: &Flight,
        assignment: &Assignment,
        resume: Option<&str>,
    ) -> Result<Arrival, Failure> {
        let answer = exchange::send(shared, message, flight, assignment, resume).await?;
        let (head, mut body) = answer.response.into_parts();
        let (link, keep_alive) = (answer.link, answer.keep_alive);
        let end = match answer.reply {
            Reply::Answer if flight.route.kind == Kind::Stream => {
                // Until the first event there may still be another answer than this one.
                let mut events = Events::default();
                let goes_on = first_event(&mut body, &mut events, flight).await?;
                return Ok(Arrival::Started(Box::new(Started {
                    head,
                    events,
                    body: goes_on.then_some(body),
                    link,
                    keep_alive,
                })));
            }
            Reply::Answer | Reply::Failure => {
                let whole = whole(body, flight).await?;
                let response = Response::from_parts(head, whole);
                return Ok(if answer.reply == Reply::Answer {
                    Arrival::Whole(response, link, keep_alive)
                } else {
                    Arrival::Failed(response, link, keep_alive)
                });
            }
            Reply::Unclear => End::Failed,
            Reply::Rejected => End::Rejected,
            Reply::Misdirected | Reply::Foreign => End::Misdirected,
        };
        let cause = format!("status {}", head.status.as_u16());
        if end == End::Rejected {
            let rest = timeout(DRAIN, body.collect()).await;
            if matches!(rest, Ok(Ok(_))) {
                shared.pool.keep(assignment.attempt.key(), link, keep_alive);
            }
        }
        Err(Failure { end, cause })
    }

    /// Waits until there is an endpoint, or until it is clear that there is none.
    pub(crate) async fn place(&mut self) -> Result<Assignment, Refusal> {
        loop {
            let now = clock::now();
            let placement = self.shared.dispatcher().place(&mut self.flight, now);
            match placement {
                Placement::Send(assignment) => {
                    self.running = Some(assignment.attempt.clone());
                    self.attempts += 1;
                    self.endpoint.clone_from(&assignment.instance);
                    self.log_placed(&assignment);
                    return Ok(assignment);
                }
                Placement::Wait(delay) => {
                    self.log_waiting(&delay);
                    Timer::after(delay.time).await;
                }
                Placement::Refuse(refusal, bars) => {
                    self.log_unplaced(&bars);
                    return Err(refusal);
                }
            }
        }
    }

    /// Sends the rest of a broken stream to another endpoint.
    pub(crate) async fn resume(&mut self, last: Option<&str>) -> Result<(Key, Started), Refusal> {
        loop {
            let assignment = self.place().await?;
            let work =
                Self::answer(&self.shared, &self.message, &self.flight, &assignment, last).await;
            let failure = match work {
                Ok(Arrival::Started(started)) => return Ok((assignment.attempt.key(), *started)),
                Ok(_) => Failure::new(End::Failed, "no stream"),
                Err(failure) => failure,
            };
            self.finish(failure.end, &failure.cause);
            if let Next::GiveUp(refusal) = self.next(failure.end) {
                return Err(refusal);
            }
        }
    }

    /// Notes that the answer has begun.
    pub(crate) fn note_read(&mut self) {
        let now = clock::now();
        let plain = self.flight.route.kind != Kind::Stream;
        if let Some(attempt) = &mut self.running {
            let mut dispatcher = self.shared.dispatcher();
            dispatcher.record_answer_start(attempt, plain, &self.flight, now);
        }
    }

    /// Notes a pause between two events; a long one is learnt from at once, unless another endpoint
    /// had to go on.
    pub(crate) fn note_pause(&mut self, pause: Duration) {
        if pause <= self.pause {
            return;
        }
        self.pause = pause;
        if self.attempts == 1 && !self.paused {
            let mut dispatcher = self.shared.dispatcher();
            self.paused = dispatcher.record_pause(&self.flight.service, pause);
        }
    }

    /// Notes that the stream is whole.
    pub(crate) fn note_whole(&self) {
        if self.attempts == 1 && !self.paused {
            let mut dispatcher = self.shared.dispatcher();
            dispatcher.record_steady_stream(&self.flight.service);
        }
    }

    /// Gives the attempt in progress back.
    pub(crate) fn finish(&mut self, end: End, cause: &str) {
        let Some(mut attempt) = self.running.take() else {
            return;
        };
        let now = clock::now();
        let plain = self.flight.route.kind != Kind::Stream;
        let mut dispatcher = self.shared.dispatcher();
        if plain && end == End::Finished {
            dispatcher.record_answer_start(&mut attempt, plain, &self.flight, now);
        }
        dispatcher.finish(&attempt, end, &self.flight, now);
        drop(dispatcher);
        self.shared
            .metrics
            .attempted(&self.flight.service, end.into());
        if end != End::Finished {
            log::info!(
                "event=attempt_ended id={} endpoint={} key={:08x} end={end} ms={} cause=\"{cause}\"",
                self.flight.id,
                self.endpoint,
                attempt.key(),
                now.saturating_sub(attempt.sent()).as_millis(),
            );
        }
    }

    /// Returns what follows a failed attempt.
    pub(crate) fn next(&mut self, end: End) -> Next {
        let now = clock::now();
        self.shared
            .dispatcher()
            .next_step(&mut self.flight, end, now)
    }

    fn refuse(mut self, refusal: Refusal) -> Outcome<I> {
        let outcome = match refusal.verdict {
            Verdict::NotRun => "refused",
            Verdict::MayHaveRun | Verdict::Ran => "failed",
        };
        self.end_with(outcome, &refusal);
        Outcome::Refused(refusal)
    }
}

impl<I: Ingress> Drop for Journey<I> {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(End::Cancelled, "caller left");
            self.end("cancelled", 0, "caller left");
        }
        self.shared.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn within<T>(
    flight: &Flight,
    work: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    let done = timeout(flight.time_left(clock::now()), work).await;
    done.unwrap_or_else(|_| Err(Failure::new(End::TimedOut, "answer not whole in time")))
}

async fn whole(body: Incoming, flight: &Flight) -> Result<Bytes, Failure> {
    let read = async {
        match body.collect().await {
            Ok(whole) => Ok(whole.to_bytes()),
            Err(cause) => Err(Failure::new(End::Broken, &cause)),
        }
    };
    within(flight, read).await
}

/// Reads up to the first whole event and returns whether the stream goes on.
async fn first_event(
    body: &mut Incoming,
    events: &mut Events,
    flight: &Flight,
) -> Result<bool, Failure> {
    let read = async {
        loop {
            match stream::read(body).await? {
                None => return Ok(false),
                Some(bytes) => events.push(&bytes),
            }
            if events.has_whole() {
                return Ok(true);
            }
        }
    };
    within(flight, read).await
}
