//! Passes an endpoint's body on to the caller.
//!
//! A short body is kept until it is complete, so that another endpoint can answer if it breaks. Of a
//! longer one, or where there is no memory to keep it, only a few pieces are kept: it is read as fast as the caller takes it, and closes the
//! caller's connection early if it breaks.

use std::time::{Duration, Instant};

use async_std::future::timeout;
use http_types::Response;
use peridotdeck_http::client::{Incoming, PIECE_BYTES};
use peridotdeck_wire::Outcome;

use super::{Answer, FullResponse};
use crate::memory::Account;

/// Longest body in bytes that is kept until it is complete.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// How a body is passed on.
#[derive(Clone, Copy, Debug)]
pub struct Passing {
    /// Longest body in bytes; a longer one fails the attempt.
    pub max_bytes: usize,
    /// Longest time for the body.
    pub timeout: Duration,
    /// Whether the body is read to its end although the caller has disconnected.
    pub runs_on: bool,
}

impl Passing {
    /// Passes a body on and returns the complete response, if it was short enough to be kept.
    ///
    /// # Errors
    /// [`Outcome::Broken`] or [`Outcome::Silent`] if the body did not come to its end;
    /// [`Outcome::Cancelled`] if the caller did not take it.
    pub async fn run(
        self,
        mut response: Response,
        content_type: &str,
        account: &Account,
        answer: &mut Answer,
    ) -> Result<Option<FullResponse>, Outcome> {
        let status = response.status().into();
        let until = Instant::now() + self.timeout;
        let incoming = Incoming::new(&mut response, self.max_bytes);
        let mut incoming = incoming.map_err(|cause| broken(&cause))?;
        let mut body = Vec::new();
        let mut held = account.reservation();
        let mut piece = vec![0; PIECE_BYTES];
        while body.len() + PIECE_BYTES <= MAX_KEPT_BYTES
            && held.cover(2 * (body.len() + PIECE_BYTES)).is_ok()
        {
            let bytes = read(&mut incoming, &mut piece, until).await?;
            body.extend_from_slice(&piece[..bytes]);
            if bytes == 0 {
                answer.hold(held);
                return Ok(Some(FullResponse {
                    status,
                    content_type: content_type.to_owned(),
                    body,
                }));
            }
        }
        let begun = answer.begin_body(status, content_type, incoming.length());
        let mut is_taken = begun.await.is_ok() && self.send(answer, body, until).await?;
        loop {
            if !is_taken && !self.runs_on {
                return Err(Outcome::Cancelled);
            }
            let bytes = read(&mut incoming, &mut piece, until).await?;
            if bytes == 0 {
                // The caller lacks a piece otherwise, and its connection is closed early.
                if is_taken {
                    answer.finish_body();
                }
                return Ok(None);
            }
            is_taken = is_taken && self.send(answer, piece[..bytes].to_vec(), until).await?;
        }
    }

    /// Sends a piece and returns whether the caller is connected.
    async fn send(self, answer: &Answer, piece: Vec<u8>, until: Instant) -> Result<bool, Outcome> {
        let left = until.saturating_duration_since(Instant::now());
        match timeout(left, answer.send_piece(piece)).await {
            Ok(is_taken) => Ok(is_taken),
            // The time was the caller's, who takes nothing.
            Err(_) if self.runs_on => Ok(false),
            Err(_) => Err(Outcome::Cancelled),
        }
    }
}

/// Reads a piece in the time that is left.
async fn read(incoming: &mut Incoming, piece: &mut [u8], until: Instant) -> Result<usize, Outcome> {
    let left = until.saturating_duration_since(Instant::now());
    let read = timeout(left, incoming.read(piece)).await;
    read.map_err(|_| Outcome::Silent)?
        .map_err(|cause| broken(&cause))
}

fn broken(cause: &std::io::Error) -> Outcome {
    log::info!("event=body_broken cause=\"{cause}\"");
    Outcome::Broken
}
