//! Reservation of idempotency keys before a request is sent to an endpoint.

use std::time::Duration;

use peridotdeck_wire::{Answer, Phase, Settle};

use super::{KEEPALIVE_INTERVAL, Settlement, Table};
use crate::{
    Action, Verdict, claim,
    flight::{Context, Outbox, Stage},
    id,
    request::{Cause, Refusal},
};

/// Copies of a settlement that are sent to each witness, because datagrams get lost.
const SETTLEMENT_COPIES: u32 = 3;

/// Interval between two copies of a settlement.
const SETTLEMENT_INTERVAL: Duration = Duration::from_millis(300);

impl Table {
    /// Handles a witness's vote.
    pub fn handle_vote(
        &mut self,
        witness: id::Node,
        request: id::Request,
        answer: Answer,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let Ok(index) = self.find(request) else {
            return;
        };
        let flight = &mut self.flights[index];
        if !matches!(flight.stage, Stage::Claiming) {
            return;
        }
        if let Some(reservation) = &mut flight.reservation {
            reservation.record_vote(witness, answer);
        }
        self.advance_reservation(index, context, out);
    }

    /// Requests missing votes, or acts on the outcome of the reservation.
    pub(super) fn advance_reservation(
        &mut self,
        index: usize,
        context: &mut Context<'_>,
        out: &mut Outbox,
    ) {
        let flight = &mut self.flights[index];
        let (Some(reservation), Some(claim)) = (&mut flight.reservation, &flight.call.claim) else {
            return;
        };
        if reservation.roster() != context.view.vm_list_revision() {
            reservation.change_witnesses(
                claim::choose_witnesses(&claim.key, context.view.members()),
                context.view.vm_list_revision(),
            );
        }
        let reachable = reservation
            .witnesses()
            .iter()
            .filter(|&&node| context.view.is_live(node, context.now));
        let majority_unreachable = reachable.count() <= reservation.witnesses().len() / 2;
        match reservation.state(context.now, majority_unreachable) {
            claim::State::Pending => {
                if let Some((witnesses, claim)) = reservation.claim_to_send(context.now) {
                    for witness in witnesses {
                        out.send(witness, claim.clone());
                    }
                }
            }
            claim::State::Reserved => self.request_slot(index, context, out),
            claim::State::AlreadyEnded(entry) if !entry.answer.is_empty() => {
                let request = flight.request;
                out.actions.push(Action::Replay {
                    request,
                    status: entry.status,
                    body: entry.answer,
                });
                self.remove(index);
            }
            claim::State::AlreadyEnded(entry) => {
                let (verdict, cause) = match entry.phase {
                    Phase::Ran => (Verdict::Ran, Cause::AlreadyRan),
                    _ => (Verdict::MayHaveRun, Cause::MayHaveRun),
                };
                self.refuse(
                    index,
                    Refusal {
                        verdict,
                        cause,
                        retry_after: None,
                    },
                    out,
                );
            }
            claim::State::KeyReused => {
                self.refuse(index, Refusal::not_run(Cause::KeyReused, None), out);
            }
            claim::State::TimedOut { earlier_call: true } => {
                self.release_reservation(index, context.now);
                self.refuse(index, Refusal::may_have_run(Cause::MayHaveRun), out);
            }
            claim::State::TimedOut {
                earlier_call: false,
            } => {
                self.release_reservation(index, context.now);
                let refusal = Refusal::not_run(Cause::NoWitness, Some(KEEPALIVE_INTERVAL));
                self.refuse(index, refusal, out);
            }
        }
    }

    /// Announces to the witnesses that the request did not run, so that the key is free again.
    pub(super) fn release_reservation(&mut self, index: usize, now: id::Time) {
        self.settle_reservation(index, Phase::NotRun, None, now);
    }

    /// Schedules the announcement of the request's end to the witnesses, if it reserved a key.
    pub(super) fn settle_reservation(
        &mut self,
        index: usize,
        phase: Phase,
        answer: Option<(u16, String)>,
        now: id::Time,
    ) {
        if let Some(reservation) = &self.flights[index].reservation {
            self.settlements.push(Settlement {
                witnesses: reservation.witnesses().to_vec(),
                settle: Settle {
                    entry: reservation.final_entry(phase, answer, now),
                },
                copies_sent: 0,
                next_send: now,
            });
        }
    }

    /// Sends due settlements, and drops those of which all copies are sent.
    pub(super) fn send_settlements(&mut self, now: id::Time, out: &mut Outbox) {
        for settlement in &mut self.settlements {
            if settlement.next_send <= now {
                settlement.copies_sent += 1;
                settlement.next_send = now + SETTLEMENT_INTERVAL;
                for &witness in &settlement.witnesses {
                    out.send(witness, settlement.settle.clone());
                }
            }
        }
        self.settlements
            .retain(|settlement| settlement.copies_sent < SETTLEMENT_COPIES);
    }
}
