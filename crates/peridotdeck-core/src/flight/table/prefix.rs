//! Prompt prefixes that crash endpoints, which requests share that differ in all else.
//!
//! See [`crate::dispatch::crashes`] for what is counted. A crash is attributed to the prefix of each
//! request that had not begun to be answered.

use peridotdeck_wire::Strike;

use super::{Table, broadcast_strike};
use crate::{
    dispatch::crashes::{RETRY_LIMIT, Report, Subject},
    flight::{Context, Outbox},
    id, rendezvous,
    request::Call,
};

/// Digest of the prefix of a prompt that shares none.
const NO_PREFIX: u64 = 0;

impl Table {
    /// Returns whether a request's prefix is in no quarantine, or is tried again with this request.
    ///
    /// One node of those that reach each other makes the trials, so that their number is bounded.
    pub(super) fn may_send_prefix(&mut self, call: &Call, context: &Context<'_>) -> bool {
        let subject = Subject::Part(call.prefix);
        let Some(quarantine) = self.prefixes.quarantine(subject, context.now) else {
            return true;
        };
        self.prefixes.note_use(subject, context.now);
        let members = context.view.members().iter();
        let live = members.filter(|member| context.view.is_live(member.node, context.now));
        let nodes = live
            .map(|member| member.node)
            .chain([context.view.local_node()]);
        let is_trial = quarantine.trial_in.is_zero()
            && rendezvous::first(call.prefix, nodes) == Some(context.view.local_node());
        if is_trial {
            self.prefixes.start_trial(subject, "", context.now);
        }
        is_trial
    }

    /// Returns whether so many crashes are attributed to a prefix that no request with it is retried.
    pub(super) fn is_suspected(&self, prefix: u64) -> bool {
        self.prefixes.count(Subject::Part(prefix)) >= RETRY_LIMIT
    }

    /// Attributes a crash to the prefix of a request that had not begun to be answered.
    pub(super) fn blame_prefix(
        &mut self,
        index: usize,
        endpoint: id::Endpoint,
        context: &Context<'_>,
        out: &mut Outbox,
    ) {
        let flight = &self.flights[index];
        let prefix = flight.call.prefix;
        if prefix == NO_PREFIX || flight.delivered_tokens > 0 {
            return;
        }
        self.prefixes
            .record(Subject::Part(prefix), endpoint, context.now);
        announce(prefix, endpoint, false, context, out);
    }

    /// Clears a prefix on which an endpoint has completed an answer.
    pub(super) fn clear_prefix(
        &mut self,
        prefix: u64,
        endpoint: id::Endpoint,
        context: &Context<'_>,
        out: &mut Outbox,
    ) {
        if prefix == NO_PREFIX {
            return;
        }
        let was_suspected = self.prefixes.count(Subject::Part(prefix)) > 0;
        self.prefixes.clear_part(prefix, context.now);
        if was_suspected {
            announce(prefix, endpoint, true, context, out);
        }
    }

    /// Applies a peer's report of a crash or of an answer.
    pub(super) fn receive_prefix(&mut self, strike: &Strike, now: id::Time) {
        if strike.cleared {
            self.prefixes.clear_part(strike.fingerprint, now);
            return;
        }
        let report = Report {
            subject: Subject::Part(strike.fingerprint),
            endpoint: strike.endpoint,
            age: id::Time::ZERO,
            idle: id::Time::ZERO,
        };
        self.prefixes.receive(report, now);
    }
}

/// Tells all other live nodes of a crash that is attributed to a prefix, or of an answer on it.
fn announce(
    prefix: u64,
    endpoint: id::Endpoint,
    cleared: bool,
    context: &Context<'_>,
    out: &mut Outbox,
) {
    let strike = Strike {
        fingerprint: prefix,
        endpoint,
        cleared,
        is_prefix: true,
    };
    broadcast_strike(&strike, context, out);
}
