//! The task that carries one request from its arrival to its end.
//!
//! It obeys the core's orders, runs attempts, and notices when the caller goes away. It outlives
//! the caller's connection, because a call that may not be repeated is seen through.

use std::{pin::pin, sync::Arc, time::Duration};

use async_channel::Receiver;
use futures_lite::future::or;
use peridotdeck_core::{Event, event::End, id, request::Call};
use peridotdeck_http::server::Connection;
use peridotdeck_policy::{Class, Endpoint};
use peridotdeck_wire::Outcome;

use crate::{
    api_error::Fault,
    attempt::{Answer, Model, Plain, Target, Whole},
    dial::Dial,
    handle::{Command, Handle},
    metrics::Metrics,
};

/// Longest time to the head of an answer that comes whole, if its class sets no target.
const PATIENCE: Duration = Duration::from_secs(600);

/// Part of the patience that the class's target for whole answers gives.
const PATIENCE_FACTOR: u32 = 10;

/// What is sent to endpoints.
#[derive(Clone, Debug)]
pub enum Job {
    /// A completion.
    Model(Model),
    /// A call of a plain service.
    Plain(Plain),
}

/// One request under way.
#[derive(Debug)]
pub struct Carrier<D> {
    /// The request.
    pub request: id::Request,
    /// What the core knows of it.
    pub call: Call,
    /// Its class.
    pub class: Class,
    /// What is sent to endpoints.
    pub job: Job,
    /// The answer so far.
    pub answer: Answer,
    /// Orders of the core.
    pub orders: Receiver<Command>,
    /// The caller's connection, until it is found closed.
    pub connection: Option<Connection>,
    /// Longest silence of an endpoint.
    pub silence: Duration,
    /// The way to the core.
    pub handle: Handle,
    /// The way to endpoints.
    pub dial: D,
    /// Series.
    pub metrics: Arc<Metrics>,
}

enum Step<T> {
    Done(T),
    Order(Option<Command>),
    Gone,
}

impl<D: Dial> Carrier<D> {
    /// Carries the request to its end.
    pub async fn run(mut self) {
        loop {
            let next = or(order(&self.orders), gone(self.connection.as_ref())).await;
            match next {
                Step::Gone => self.abandon().await,
                Step::Order(None) | Step::Done(()) => return,
                Step::Order(Some(Command::Stop { .. })) => {}
                Step::Order(Some(Command::Refuse(refusal))) => {
                    self.metrics
                        .count_refusal(&self.call.class, &self.call.organisation, refusal);
                    self.answer.refuse(&Fault::from(refusal)).await;
                    return;
                }
                Step::Order(Some(Command::Replay { status, body })) => {
                    let content_type = "application/json".to_owned();
                    let _ = self
                        .answer
                        .whole(Whole {
                            status,
                            content_type,
                            body: body.into_bytes(),
                        })
                        .await;
                    return;
                }
                Step::Order(Some(Command::Run { attempt, endpoint })) => {
                    if self.attempt(attempt, endpoint).await {
                        return;
                    }
                }
            }
        }
    }

    async fn abandon(&mut self) {
        self.connection = None;
        self.handle
            .send(Event::Abandoned {
                request: self.request,
            })
            .await;
    }

    /// Runs one attempt and returns whether the request has ended with it.
    async fn attempt(&mut self, attempt: id::Attempt, endpoint: Endpoint) -> bool {
        let target = self.target(attempt, endpoint);
        let before = self.answer.tokens();
        let started = std::time::Instant::now();
        let mut stopped = false;
        let end = {
            let mut work = pin!(run(&self.job, &self.dial, &target, &mut self.answer));
            loop {
                let attempt_ends = async { Step::Done(work.as_mut().await) };
                let interrupted = or(order(&self.orders), gone(self.connection.as_ref()));
                match or(attempt_ends, interrupted).await {
                    Step::Done(end) => break Some(end),
                    Step::Order(Some(Command::Stop { attempt: each })) if each == attempt => {
                        stopped = true;
                        break None;
                    }
                    Step::Order(Some(_)) => {}
                    Step::Order(None) => break None,
                    Step::Gone => {
                        self.connection = None;
                        self.handle
                            .send(Event::Abandoned {
                                request: self.request,
                            })
                            .await;
                    }
                }
            }
        };
        let preempted = stopped && self.connection.is_some();
        let outcome = if preempted {
            Outcome::Preempted
        } else {
            Outcome::Cancelled
        };
        let end = end.unwrap_or_else(|| End {
            outcome,
            tokens: self.answer.tokens() - before,
            time_to_first_token: None,
            duration: started.elapsed(),
            answer: None,
        });
        self.conclude(attempt, end).await
    }

    fn target(&self, attempt: id::Attempt, endpoint: Endpoint) -> Target {
        let target = Duration::from_millis(self.class.whole_ms.into()) * PATIENCE_FACTOR;
        let patience = if target.is_zero() {
            PATIENCE
        } else {
            target.min(PATIENCE)
        };
        Target {
            attempt,
            endpoint,
            class: self.class.name.clone(),
            tier: self.class.tier,
            silence: self.silence,
            patience: patience.max(self.silence),
        }
    }

    async fn conclude(&mut self, attempt: id::Attempt, end: End) -> bool {
        let class = &self.class;
        let (request, outcome) = (self.request, end.outcome);
        self.metrics.count_attempt(&class.name, outcome, end.tokens);
        let sample = self
            .answer
            .sample(class.first_token_ms, class.token_gap_ms, class.whole_ms);
        log::info!(
            "event=attempt_ended request={request:016x} attempt={attempt:016x} outcome={outcome} tokens={} ms={}",
            end.tokens,
            end.duration.as_millis()
        );
        self.handle.send(Event::Ended { attempt, end }).await;
        if outcome == Outcome::Finished {
            self.metrics
                .count_answer(&self.call.class, &self.call.organisation, sample);
            log::info!(
                "event=answered request={request:016x} class={} attained={} ms={}",
                self.call.class,
                sample.meets_targets,
                sample.duration.as_millis()
            );
        }
        matches!(outcome, Outcome::Finished | Outcome::Cancelled)
    }
}

async fn run<D: Dial>(job: &Job, dial: &D, target: &Target, answer: &mut Answer) -> End {
    match job {
        Job::Model(model) => model.run(dial, target, answer).await,
        Job::Plain(plain) => plain.run(dial, target, answer).await,
    }
}

async fn order<T>(orders: &Receiver<Command>) -> Step<T> {
    Step::Order(orders.recv().await.ok())
}

async fn gone<T>(connection: Option<&Connection>) -> Step<T> {
    match connection {
        Some(connection) => connection.closed().await,
        None => std::future::pending().await,
    }
    Step::Gone
}
