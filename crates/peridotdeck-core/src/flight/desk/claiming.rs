//! Reservation of idempotency keys before a call is sent.

use std::time::Duration;

use peridotdeck_wire::{Answer, Phase, Settle};

use super::{Desk, KEEPALIVE, Settlement};
use crate::{
    Action, Verdict, claim,
    flight::{Outbox, Scene, Stage},
    id,
    request::{Cause, Refusal},
};

/// Copies of a settlement that are sent, because datagrams get lost.
const SETTLE_COPIES: u32 = 3;

/// Time between two copies of a settlement.
const SETTLE_AGAIN: Duration = Duration::from_millis(300);

impl Desk {
    /// Takes a witness's vote.
    pub fn vote(
        &mut self,
        witness: id::Node,
        request: id::Request,
        answer: Answer,
        scene: &mut Scene<'_>,
        out: &mut Outbox,
    ) {
        let Ok(at) = self.find(request) else { return };
        let flight = &mut self.flights[at];
        if !matches!(flight.stage, Stage::Claiming) {
            return;
        }
        if let Some(round) = &mut flight.round {
            round.vote(witness, answer);
        }
        self.advance_claim(at, scene, out);
    }

    pub(super) fn advance_claim(&mut self, at: usize, scene: &mut Scene<'_>, out: &mut Outbox) {
        let flight = &mut self.flights[at];
        let (Some(round), Some(claim)) = (&mut flight.round, &flight.call.claim) else {
            return;
        };
        if round.roster() != scene.view.vm_list_revision() {
            round.move_to(
                claim::witnesses(&claim.key, scene.view.members()),
                scene.view.vm_list_revision(),
            );
        }
        let reachable = round
            .witnesses()
            .iter()
            .filter(|&&node| scene.view.is_live(node, scene.now));
        let hopeless = reachable.count() <= round.witnesses().len() / 2;
        match round.state(scene.now, hopeless) {
            claim::State::Open => {
                if let Some((witnesses, claim)) = round.send(scene.now) {
                    for witness in witnesses {
                        out.tell(witness, claim.clone());
                    }
                }
            }
            claim::State::Won => self.ask(at, scene, out),
            claim::State::Ended(entry) if !entry.answer.is_empty() => {
                let request = flight.request;
                out.actions.push(Action::Replay {
                    request,
                    status: entry.status,
                    body: entry.answer,
                });
                self.end(at);
            }
            claim::State::Ended(entry) => {
                let (verdict, cause) = match entry.phase {
                    Phase::Ran => (Verdict::Ran, Cause::AlreadyRan),
                    _ => (Verdict::MayHaveRun, Cause::MayHaveRun),
                };
                self.refuse(
                    at,
                    Refusal {
                        verdict,
                        cause,
                        retry_after: None,
                    },
                    out,
                );
            }
            claim::State::Reused => self.refuse(at, Refusal::not_run(Cause::KeyReused, None), out),
            claim::State::Lost { taken: true } => {
                self.give_up_claim(at, scene.now);
                self.refuse(at, Refusal::may_have_run(Cause::MayHaveRun), out);
            }
            claim::State::Lost { taken: false } => {
                self.give_up_claim(at, scene.now);
                let refusal = Refusal::not_run(Cause::NoWitness, Some(KEEPALIVE));
                self.refuse(at, refusal, out);
            }
        }
    }

    pub(super) fn give_up_claim(&mut self, at: usize, now: id::Time) {
        self.settle(at, Phase::NotRun, None, now);
    }

    pub(super) fn settle(
        &mut self,
        at: usize,
        phase: Phase,
        answer: Option<(u16, String)>,
        now: id::Time,
    ) {
        if let Some(round) = &self.flights[at].round {
            self.settlements.push(Settlement {
                witnesses: round.witnesses().to_vec(),
                settle: Settle {
                    entry: round.settle(phase, answer, now),
                },
                copies: 0,
                due: now,
            });
        }
    }

    pub(super) fn send_settlements(&mut self, now: id::Time, out: &mut Outbox) {
        for settlement in &mut self.settlements {
            if settlement.due <= now {
                settlement.copies += 1;
                settlement.due = now + SETTLE_AGAIN;
                for &witness in &settlement.witnesses {
                    out.tell(witness, settlement.settle.clone());
                }
            }
        }
        self.settlements
            .retain(|settlement| settlement.copies < SETTLE_COPIES);
    }
}
