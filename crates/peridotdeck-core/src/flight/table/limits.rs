//! Organisations' limits: admission, waits for loans, and what nodes lend each other.

use std::time::Duration;

use peridotdeck_policy::Organisation;
use peridotdeck_wire::{Borrow, Lend};

use super::Table;
use crate::{
    flight::{Context, Flight, Outbox, Stage},
    id, limit,
    request::{Cause, Refusal},
};

impl Table {
    /// Counts a request towards its organisation's limits, or lets it wait for a loan.
    ///
    /// # Errors
    /// Returns the time after which to retry if a limit is reached.
    pub(super) fn check_limits(
        &mut self,
        organisation: &Organisation,
        context: &Context<'_>,
    ) -> Result<Stage, Duration> {
        let (name, now) = (&organisation.name, context.now);
        let Some(shares) = &mut self.shares else {
            let share = limit::Share::of(organisation, context.view.live_count());
            self.limits.admit(name, share, now)?;
            return Ok(Stage::Suspended);
        };
        let Err(wait) = shares.admit(organisation, now) else {
            return Ok(Stage::Suspended);
        };
        if let Some(until) = shares.start_wait(name, now) {
            return Ok(Stage::AwaitingLoan { until });
        }
        shares.count_refusal(name);
        Err(wait)
    }

    /// Admits a request whose node has borrowed enough, or refuses it at the end of its wait.
    pub(super) fn retry_limits(
        &mut self,
        index: usize,
        until: id::Time,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let name = self.flights[index].call.organisation.clone();
        let (Some(shares), Some(limit)) = (&mut self.shares, context.snapshot.organisation(&name))
        else {
            let refusal = Refusal::not_run(Cause::Unknown, None);
            return self.refuse(index, refusal, out);
        };
        match shares.retry(limit, context.now) {
            Ok(()) => {
                shares.end_wait(&name);
                self.flights[index].stage = Stage::Suspended;
                self.start(index, context, out);
            }
            Err(wait) if until <= context.now => {
                shares.count_refusal(&name);
                let refusal = Refusal::not_run(Cause::Limited, Some(wait));
                self.refuse(index, refusal, out);
            }
            Err(_) => {}
        }
    }

    /// Ends the count of a request towards its organisation's limits.
    pub(super) fn release_limits(&mut self, flight: &Flight) {
        let name = &flight.call.organisation;
        match &mut self.shares {
            Some(shares) if matches!(flight.stage, Stage::AwaitingLoan { .. }) => {
                shares.end_wait(name);
            }
            Some(shares) => shares.release(name),
            None => self.limits.release(name),
        }
    }

    /// Brings the shares of all organisations up to date, and asks other nodes to lend.
    pub(super) fn tick_limits(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let Some(shares) = &mut self.shares else {
            return;
        };
        for (lender, borrow) in shares.tick(context.snapshot, context.view, context.now) {
            out.send(lender, borrow);
        }
    }

    /// Answers a node that asks to borrow parts of limits.
    pub fn handle_borrow(
        &mut self,
        from: id::Node,
        borrow: &Borrow,
        context: &Context<'_>,
        out: &mut Outbox,
    ) {
        if let Some(shares) = &mut self.shares {
            out.send(
                from,
                shares.lend(from, borrow, context.snapshot, context.now),
            );
        }
    }

    /// Takes what a node lends.
    pub fn handle_lend(&mut self, from: id::Node, lend: &Lend, context: &Context<'_>) {
        if let Some(shares) = &mut self.shares {
            shares.borrow(from, lend, context.snapshot, context.now);
        }
    }

    /// Takes back what the ended process of a node has borrowed for its requests.
    pub fn forget_node(&mut self, node: id::Node) {
        if let Some(shares) = &mut self.shares {
            shares.forget_node(node);
        }
    }

    /// Returns the shares of organisations' limits, where they follow demand.
    #[must_use]
    pub fn shares(&self) -> Option<&limit::Shares> {
        self.shares.as_ref()
    }

    /// Returns the number of an organisation's requests in progress at this node.
    #[must_use]
    pub fn open_requests(&self, organisation: &str) -> u32 {
        match &self.shares {
            Some(shares) => shares.in_progress(organisation),
            None => self.limits.in_progress(organisation),
        }
    }
}
