//! One attempt at an endpoint: sending the request, and receiving the answer or the start of its stream.

use std::{pin::pin, sync::Arc, time::Duration};

use async_std::future::timeout;
use futures_lite::future;
use http_body_util::{BodyExt, Limited};
use hyper::{Response, StatusCode, body::Bytes, http::response};
use peridotdeck_core::{
    dispatch::{
        attempt::{Assignment, End},
        config::Kind,
        flight::Flight,
    },
    sequence::Sequence,
};
use peridotdeck_io::budget::Buffer;

use super::{Forwarding, StartedAnswer, StartedStream, logging};
use crate::{
    Ingress, Shared,
    answer::{Events, Failure, read_first_event, read_start},
    clock,
    exchange::{self, Channel, Message},
    ingress::Reply,
    memory,
};

/// Largest unused body of a rejection that is read, in bytes.
const MAX_REJECTION_BYTES: usize = 64 << 10;

/// Longest time to read the unused body of a rejection, so that its connection can be kept.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// An answer that an attempt received.
pub(super) enum Received {
    /// An answer up to its end, and the channel on which it arrived.
    Complete(Response<Bytes>, Channel),
    /// An error response of the endpoint up to its end, and the channel on which it arrived.
    Failed(Response<Bytes>, Channel),
    /// An answer that goes on behind what is kept, and whether it is an error response.
    Large(Box<StartedAnswer>, bool),
    /// A stream that has begun.
    Stream(Box<StartedStream>),
}

impl<I: Ingress> Forwarding<I> {
    /// Makes one attempt at the assigned endpoint.
    ///
    /// Returns nothing if the attempt is slow and another endpoint should be tried.
    pub(super) async fn make_attempt(
        &self,
        assignment: &Assignment,
    ) -> Option<Result<Received, Failure>> {
        let last = self.shared.ingress.last_event(&self.message.head);
        let sequence = last.map_or_else(Sequence::default, Sequence::after);
        let events = Events::after(sequence, false);
        let (shared, message) = (&self.shared, &self.message);
        let work = Self::receive_answer(shared, message, &self.flight, assignment, events, false);
        let cut = async {
            self.shared.requests_end().await;
            Err(Failure::new(End::Abandoned, "grace period ended"))
        };
        let mut work = pin!(future::or(work, cut));
        if let Some(hedge_after) = assignment.hedge_after {
            if let Ok(result) = timeout(hedge_after, work.as_mut()).await {
                return Some(result);
            }
            let now = clock::now();
            if self.shared.dispatcher().try_hedge(&self.flight, now) {
                return None;
            }
        }
        Some(work.await)
    }

    /// Sends the request to the assigned endpoint and receives its answer or the start of its stream.
    ///
    /// `is_begun` says whether the caller has events of the stream, so that no further one need come.
    pub(super) async fn receive_answer(
        shared: &Arc<Shared<I>>,
        message: &Message,
        flight: &Flight,
        assignment: &Assignment,
        mut events: Events,
        is_begun: bool,
    ) -> Result<Received, Failure> {
        let holder = memory::of_endpoint(assignment.attempt.key());
        events.reserve_from(shared.memory.reservation(holder));
        let last = events.sequence().last();
        let answer = exchange::send(shared, message, flight, assignment, last).await?;
        let (head, mut body) = answer.response.into_parts();
        let channel = answer.channel;
        let end = match answer.reply {
            Reply::Answer if is_stream(flight, &head) => {
                // Until the first event is forwarded, another endpoint may still answer instead.
                let may_be_empty = is_begun || channel.framing.shows_end();
                let read = read_first_event(&mut body, may_be_empty, &mut events, flight).await;
                if let (Err(_), Some(foreign)) = (&read, events.foreign()) {
                    logging::log_foreign(&flight.id, &assignment.instance, foreign);
                }
                let continues = read?;
                let now = clock::now();
                if !shared
                    .dispatcher()
                    .may_join(&assignment.attempt, flight, now)
                {
                    let cause = "events are of another software version than the stream";
                    return Err(Failure::new(End::OtherVersion, cause));
                }
                return Ok(Received::Stream(Box::new(StartedStream {
                    head,
                    events,
                    body: continues.then_some(body),
                    channel,
                })));
            }
            Reply::Answer | Reply::Failure => {
                let buffer = Buffer::new(shared.memory.reservation(holder));
                let start = read_start(body, buffer, flight).await?;
                let is_failure = answer.reply == Reply::Failure;
                if start.rest.is_some() {
                    let answer = StartedAnswer {
                        head,
                        start,
                        channel,
                    };
                    return Ok(Received::Large(Box::new(answer), is_failure));
                }
                channel.check_end(shared, flight).await?;
                let response = Response::from_parts(head, start.kept);
                return Ok(if is_failure {
                    Received::Failed(response, channel)
                } else {
                    Received::Complete(response, channel)
                });
            }
            Reply::Unclear => End::Failed,
            Reply::Rejected => End::Rejected,
            Reply::Misdirected | Reply::Foreign => End::Misdirected,
        };
        let unnamed = if channel.names_request {
            ""
        } else {
            " unnamed"
        };
        let cause = format!("status {}{unnamed}", head.status.as_u16());
        if end == End::Rejected && channel.names_request {
            let body = Limited::new(body, MAX_REJECTION_BYTES);
            let rest = timeout(DRAIN_TIMEOUT, body.collect()).await;
            if matches!(rest, Ok(Ok(_))) {
                channel.keep(&shared.pool, assignment.attempt.key());
            }
        }
        Err(Failure { end, cause })
    }
}

/// Returns whether an answer is a stream of events, which another endpoint may continue.
///
/// Any other status comes with a text of its own, even on a route for streams.
fn is_stream(flight: &Flight, head: &response::Parts) -> bool {
    flight.route.kind == Kind::Stream && head.status == StatusCode::OK
}
