//! The task of one request, from its arrival to its end.
//!
//! It executes the core's commands, runs attempts and detects that the caller disconnects. It
//! outlives the caller's connection, because a request that must not run twice is completed.

use std::{pin::pin, sync::Arc, time::Duration};

use async_channel::Receiver;
use futures_lite::future::or;
use peridotdeck_core::{
    Event,
    event::End,
    id,
    request::{Call, Refusal},
};
use peridotdeck_http::server::Connection;
use peridotdeck_io::budget::{Budget, Reservation};
use peridotdeck_policy::{Class, Endpoint};
use peridotdeck_wire::Outcome;

use crate::{
    api_error::ApiError,
    attempt::{Answer, CompletionRequest, FullResponse, Parameters, PlainRequest},
    dial::Dial,
    handle::{Command, Handle},
    memory::Account,
    metrics::Metrics,
};

/// Upper bound of the response timeout, unless the idle timeout is longer.
///
/// It also applies to a class without a latency target for whole answers.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(600);

/// Response timeout as a multiple of the class's latency target for whole answers.
const RESPONSE_TIMEOUT_FACTOR: u32 = 10;

/// The request that is sent to endpoints.
#[derive(Clone, Debug)]
pub enum EndpointRequest {
    /// A completion request to a model service.
    Completion(CompletionRequest),
    /// A request to a plain service.
    Plain(PlainRequest),
}

/// State of the task that runs one request.
#[derive(Debug)]
pub struct RequestTask<D> {
    /// Id of the request.
    pub request: id::Request,
    /// Properties of the request that the core decides by.
    pub call: Call,
    /// Class of the request.
    pub class: Class,
    /// The request that is sent to endpoints.
    pub endpoint_request: EndpointRequest,
    /// Memory of the request, held until its end.
    pub held: Reservation,
    /// Bytes that bodies may take together.
    pub budget: Budget,
    /// The answer to the caller so far.
    pub answer: Answer,
    /// Commands of the core; the channel closes when the request has ended.
    pub commands: Receiver<Command>,
    /// The caller's connection; `None` once it is closed.
    pub connection: Option<Connection>,
    /// Longest wait for the next event of a stream; after it, the endpoint counts as dead.
    pub idle_timeout: Duration,
    /// Sends events to the core.
    pub handle: Handle,
    /// Opens connections to endpoints.
    pub dial: D,
    /// Metrics of the router.
    pub metrics: Arc<Metrics>,
}

/// An input that the task waits for.
enum Signal<T> {
    AttemptEnded(T),
    Command(Option<Command>),
    Disconnected,
}

impl<D: Dial> RequestTask<D> {
    /// Runs the request until it ends.
    pub async fn run(mut self) {
        loop {
            let signal = or(
                next_command(&self.commands),
                wait_for_disconnect(self.connection.as_ref()),
            )
            .await;
            match signal {
                Signal::Disconnected => self.report_disconnect().await,
                Signal::Command(None) | Signal::AttemptEnded(()) => return,
                Signal::Command(Some(Command::Stop { .. })) => {}
                Signal::Command(Some(Command::Refuse(refusal))) => {
                    self.refuse(refusal).await;
                    return;
                }
                Signal::Command(Some(Command::Replay { status, body })) => {
                    let content_type = "application/json".to_owned();
                    let _ = self
                        .answer
                        .send_full(FullResponse {
                            status,
                            content_type,
                            body: body.into_bytes(),
                        })
                        .await;
                    return;
                }
                Signal::Command(Some(Command::Run { attempt, endpoint })) => {
                    if self.run_attempt(attempt, endpoint).await {
                        return;
                    }
                }
            }
        }
    }

    /// Answers the caller with a refusal.
    async fn refuse(&mut self, refusal: Refusal) {
        self.metrics
            .count_refusal(&self.call.class, &self.call.organisation, refusal);
        self.answer.send_error(&ApiError::from(refusal)).await;
    }

    async fn report_disconnect(&mut self) {
        self.connection = None;
        self.handle
            .send(Event::Abandoned {
                request: self.request,
            })
            .await;
    }

    /// Runs one attempt and returns whether the request ends with it.
    async fn run_attempt(&mut self, attempt: id::Attempt, endpoint: Endpoint) -> bool {
        let params = self.parameters(attempt, endpoint);
        let delivered_before = self.answer.tokens();
        let started = std::time::Instant::now();
        let mut stopped = false;
        let mut refused = None;
        let end = {
            let mut execution = pin!(send_to_endpoint(
                &self.endpoint_request,
                &self.dial,
                &params,
                &mut self.answer
            ));
            loop {
                let attempt_ends = async { Signal::AttemptEnded(execution.as_mut().await) };
                let interruption = or(
                    next_command(&self.commands),
                    wait_for_disconnect(self.connection.as_ref()),
                );
                match or(attempt_ends, interruption).await {
                    Signal::AttemptEnded(end) => break Some(end),
                    Signal::Command(Some(Command::Stop { attempt: id })) if id == attempt => {
                        stopped = true;
                        break None;
                    }
                    Signal::Command(Some(Command::Refuse(refusal))) => {
                        refused = Some(refusal);
                        break None;
                    }
                    Signal::Command(Some(_)) => {}
                    Signal::Command(None) => break None,
                    Signal::Disconnected => {
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
        if let Some(refusal) = refused {
            self.refuse(refusal).await;
            return true;
        }
        let preempted = stopped && self.connection.is_some();
        let outcome = if preempted {
            Outcome::Preempted
        } else {
            Outcome::Cancelled
        };
        let end = end.unwrap_or_else(|| End {
            outcome,
            tokens: self.answer.tokens() - delivered_before,
            is_partial: false,
            time_to_first_token: None,
            duration: started.elapsed(),
            answer: None,
        });
        let is_partial = self.answer.is_partial();
        self.report_end(attempt, End { is_partial, ..end }).await
    }

    fn parameters(&self, attempt: id::Attempt, endpoint: Endpoint) -> Parameters {
        let limit = Duration::from_millis(self.class.whole_ms.into()) * RESPONSE_TIMEOUT_FACTOR;
        let response_timeout = if limit.is_zero() {
            MAX_RESPONSE_TIMEOUT
        } else {
            limit.min(MAX_RESPONSE_TIMEOUT)
        };
        Parameters {
            attempt,
            account: Account::endpoint(&self.budget, endpoint.id),
            endpoint,
            class: self.class.name.clone(),
            tier: self.class.tier,
            idle_timeout: self.idle_timeout,
            response_timeout: response_timeout.max(self.idle_timeout),
        }
    }

    /// Reports the end of an attempt and returns whether the request ends with it.
    async fn report_end(&mut self, attempt: id::Attempt, end: End) -> bool {
        let class = &self.class;
        let (request, outcome) = (self.request, end.outcome);
        self.metrics.count_attempt(&class.name, outcome, end.tokens);
        let latencies =
            self.answer
                .latencies(class.first_token_ms, class.token_gap_ms, class.whole_ms);
        log::info!(
            "event=attempt_ended request={request:016x} attempt={attempt:016x} outcome={outcome} tokens={} ms={}",
            end.tokens,
            end.duration.as_millis()
        );
        self.handle.send(Event::Ended { attempt, end }).await;
        if outcome == Outcome::Finished {
            self.metrics
                .count_answer(&self.call.class, &self.call.organisation, latencies);
            log::info!(
                "event=answered request={request:016x} class={} attained={} ms={}",
                self.call.class,
                latencies.meets_targets,
                latencies.duration.as_millis()
            );
        }
        matches!(outcome, Outcome::Finished | Outcome::Cancelled)
    }
}

async fn send_to_endpoint<D: Dial>(
    request: &EndpointRequest,
    dial: &D,
    params: &Parameters,
    answer: &mut Answer,
) -> End {
    match request {
        EndpointRequest::Completion(completion) => completion.run(dial, params, answer).await,
        EndpointRequest::Plain(plain) => plain.run(dial, params, answer).await,
    }
}

async fn next_command<T>(commands: &Receiver<Command>) -> Signal<T> {
    Signal::Command(commands.recv().await.ok())
}

async fn wait_for_disconnect<T>(connection: Option<&Connection>) -> Signal<T> {
    match connection {
        Some(connection) => connection.closed().await,
        None => std::future::pending().await,
    }
    Signal::Disconnected
}
