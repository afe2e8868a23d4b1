//! Verdicts on answers that ended with their connections.
//!
//! The kernel closes the connections of a process that ends in an orderly way, so an orderly close does
//! not show that an answer without framing is complete. It is taken for the answer's end only if the
//! same process answers a request that was sent after it.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use async_io::Timer;
use async_std::future::timeout;
use peridotdeck_core::{
    dispatch::{Key, attempt::End, flight::Flight},
    id::Time,
};
use strum::{Display, IntoStaticStr};

use super::Failure;
use crate::{
    Ingress, Shared, clock, dial,
    pool::{Connection, Path},
    report::{self, Process},
    shared::detour_text,
    tunnel::Purpose,
};

/// Longest time to judge an end; a sound endpoint may be silent for a second.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for an answer on a kept connection, after which a new one is opened.
const KEPT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Times to wait before each new connection.
const DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(300),
];

/// The endpoint of an answer, and when the answer began.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Key of the endpoint.
    pub key: Key,
    /// Address of the endpoint.
    pub address: SocketAddrV4,
    /// Id of the endpoint.
    pub instance: String,
    /// Time at which the head of the answer had arrived.
    pub answered: Time,
}

/// What is known of an endpoint's process after the end of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum Liveness {
    /// The same process has answered since.
    Alive,
    /// The process has ended.
    Ended,
    /// Nothing has answered in time.
    Unknown,
}

/// Connection that brought a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum Witness {
    /// A connection that was open when the answer began.
    Kept,
    /// A connection that was opened later.
    New,
    /// No connection.
    None,
}

/// A verdict, the connection that brought it, and its observed cause.
type Finding = (Liveness, Witness, String);

/// Checks that an answer without framing, which has ended in an orderly way, is complete.
///
/// `path` is how its connection led to the endpoint. The request's deadline bounds the time.
///
/// # Errors
/// If the endpoint's process has ended, or nothing shows that it lives.
pub(crate) async fn check_end<I: Ingress>(
    shared: &Arc<Shared<I>>,
    origin: &Origin,
    path: Path,
    flight: &Flight,
) -> Result<(), Failure> {
    let begun = clock::now();
    let time = VERDICT_TIMEOUT.min(flight.time_left(begun));
    let (life, witness, cause) = if path.shows_end {
        let judged = timeout(time, judge(shared, origin, path)).await;
        judged.unwrap_or_else(|_| {
            (
                Liveness::Unknown,
                Witness::None,
                "no answer in time".to_owned(),
            )
        })
    } else {
        let cause = "the peer does not say that the endpoint closed the connection";
        (Liveness::Unknown, Witness::None, cause.to_owned())
    };
    shared.metrics.count_judged_end(life.into(), witness.into());
    log::info!(
        "event=end_judged id={} endpoint={} key={:08x} detour={} verdict={life} by={witness} ms={} \
         cause=\"{cause}\"",
        flight.id,
        origin.instance,
        origin.key,
        detour_text(path.detour),
        clock::now().saturating_sub(begun).as_millis(),
    );
    match life {
        Liveness::Alive => Ok(()),
        Liveness::Ended => Err(Failure::new(
            End::Broken,
            "the endpoint's process has ended",
        )),
        Liveness::Unknown => {
            let cause = "connection ended, and nothing shows that the endpoint lives";
            Err(Failure::new(End::Unconfirmed, cause))
        }
    }
}

/// Asks the endpoint on a kept connection if there is one, and else on new ones.
async fn judge<I: Ingress>(shared: &Arc<Shared<I>>, origin: &Origin, path: Path) -> Finding {
    let kept = shared.pool.reuse_older(origin.key, path, origin.answered);
    if let Some(mut connection) = kept {
        let asked = ask(shared, &mut connection, origin, Witness::Kept);
        if let Ok(Ok(finding)) = timeout(KEPT_TIMEOUT, asked).await {
            return finding;
        }
    }
    let mut cause = String::new();
    for delay in DELAYS {
        Timer::after(delay).await;
        match ask_anew(shared, origin, path).await {
            Ok(finding) => return finding,
            Err(failure) => cause = failure,
        }
    }
    (Liveness::Unknown, Witness::None, cause)
}

/// Asks the endpoint on a new connection over the same path.
///
/// # Errors
/// The observed cause, if what came says nothing.
async fn ask_anew<I: Ingress>(
    shared: &Arc<Shared<I>>,
    origin: &Origin,
    path: Path,
) -> Result<Finding, String> {
    let dialed = dial::dial(
        shared,
        origin.key,
        origin.address,
        path.detour,
        Purpose::Verdict,
    )
    .await;
    let mut connection = match dialed {
        Ok(connection) if connection.path == path => connection,
        Ok(_) => return Err("the peer has started again".to_owned()),
        Err(cause) if is_refused(&cause) => {
            return Ok((Liveness::Ended, Witness::New, cause.to_string()));
        }
        Err(cause) => return Err(cause.to_string()),
    };
    ask(shared, &mut connection, origin, Witness::New).await
}

/// Asks the endpoint for its report, and returns what it says of the endpoint's process.
///
/// Another process may listen at the address by now; only the start that the entry names shows that
/// the same one answers. The connection is not kept, because the answer names no request; see
/// [`crate::exchange::Channel::keep`].
///
/// # Errors
/// The observed cause, if no complete answer came, or it says nothing.
async fn ask<I: Ingress>(
    shared: &Shared<I>,
    connection: &mut Connection,
    origin: &Origin,
    witness: Witness,
) -> Result<Finding, String> {
    let entry = (origin.instance.as_str(), origin.key);
    let report = report::ask(&shared.ingress, connection, origin.address, entry).await?;
    match report.process {
        Process::Same => Ok((Liveness::Alive, witness, String::new())),
        Process::Other(start) => Ok((Liveness::Ended, witness, format!("born={start}"))),
        Process::Unnamed => Err(format!("status {} names no start", report.status.as_u16())),
    }
}

/// Returns whether no process listens at the endpoint's address.
fn is_refused(error: &dial::Error) -> bool {
    matches!(error, dial::Error::Connect(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused)
}
