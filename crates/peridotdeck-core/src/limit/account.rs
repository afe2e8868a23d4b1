//! One organisation's limits at one node: what it owns, lends, borrows and uses.

use std::time::Duration;

use peridotdeck_policy::{Organisation, digest_name};
use peridotdeck_wire as wire;

use super::{
    Amount, Debt, Demand, Endowment, LOAN_TIME, Loan, Parts, WHOLE,
    saved::{ROUNDING, Saved},
};
use crate::{
    id::{self, Time},
    membership::View,
    rendezvous,
};

/// What a node wants beyond its recent demand, so that demand may grow between two asks.
const HEADROOM: f64 = 1.25;

/// Lenders that are asked for the same shortage at once.
const MAX_OPEN_ASKS: usize = 4;

/// Least part of a request that is borrowed for one that waits; lenders may have saved little.
const LEAST_BORROWED: f64 = 0.25;

/// Time for which requests may wait for a loan, from the first that finds its share used up.
const LOAN_WAIT: Duration = Duration::from_millis(400);

/// Time without a shortage after which requests may wait again.
const CALM: Duration = Duration::from_secs(1);

/// Time after which a caller at the concurrency limit is asked to come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The account of one organisation at one node.
#[derive(Clone, Debug)]
pub struct Account {
    /// Name of the organisation.
    pub name: String,
    /// Digest of the name, which stands for it in messages.
    pub digest: u64,
    demand: Demand,
    in_progress: u32,
    waiting: u32,
    refused: u64,
    saved: Saved,
    owned: Parts,
    /// [`Endowment::changes`] for which `owned` and `lenders` hold.
    changes: u64,
    /// The other holders, in the order in which this node asks them.
    lenders: Vec<id::Node>,
    loans: Vec<Loan>,
    debts: Vec<Debt>,
    /// First and last time at which the share was used up, without [`CALM`] between.
    shortage: Option<(Time, Time)>,
    /// Share that was last logged, and when.
    pub(super) logged: (Parts, Time),
}

impl Account {
    /// Opens the account of an organisation that this node has not dealt with lately.
    #[must_use]
    pub fn open(name: &str, node: id::Node, endowment: &Endowment) -> Self {
        let mut account = Self {
            name: name.to_owned(),
            digest: digest_name(name),
            demand: Demand::default(),
            in_progress: 0,
            waiting: 0,
            refused: 0,
            saved: Saved::since(Time::ZERO, 0.0),
            owned: 0,
            changes: 0,
            lenders: Vec::new(),
            loans: Vec::new(),
            debts: Vec::new(),
            shortage: None,
            logged: (0, Time::ZERO),
        };
        account.adopt(node, endowment);
        account.saved = Saved::since(endowment.changed(), fraction(account.owned));
        account.logged.0 = account.owned;
        account
    }

    /// Adopts changes of the VM list.
    pub fn refresh(&mut self, node: id::Node, endowment: &Endowment) {
        if self.changes != endowment.changes() {
            self.adopt(node, endowment);
        }
    }

    fn adopt(&mut self, node: id::Node, endowment: &Endowment) {
        self.changes = endowment.changes();
        self.owned = endowment.parts(&self.name, node);
        let holders = endowment.holders(&self.name);
        let others = holders.into_iter().filter(|holder| *holder != node);
        // Each node asks in another order, so that no lender is asked by all of them first.
        self.lenders = rendezvous::order(self.digest ^ u64::from(node), others);
        self.debts.retain(|debt| endowment.lists(debt.lender));
        let removed = |loan: &&mut Loan| !endowment.lists(loan.borrower);
        self.loans
            .iter_mut()
            .filter(removed)
            .for_each(Loan::end_requests);
    }

    /// Admits one request within the node's share, or counts it as refused.
    ///
    /// # Errors
    /// Returns the time after which to retry.
    pub fn admit(&mut self, limit: &Organisation, now: Time) -> Result<(), Time> {
        self.demand.record(now);
        self.retry(limit, now)
    }

    /// Admits a request that has waited for a loan, without counting it as demand again.
    ///
    /// # Errors
    /// Returns the time after which to retry.
    pub fn retry(&mut self, limit: &Organisation, now: Time) -> Result<(), Time> {
        self.fill(limit, now);
        let taken = if self.in_progress < self.concurrency(limit, now) {
            self.saved.take(limit)
        } else {
            Err(RETRY_AFTER)
        };
        match taken {
            Ok(()) => self.in_progress += 1,
            Err(_) => self.record_shortage(now),
        }
        taken
    }

    /// Returns how many requests this node may have in progress.
    #[must_use]
    pub fn concurrency(&self, limit: &Organisation, now: Time) -> u32 {
        let slots = fraction(self.amount(now).slots) * f64::from(limit.concurrency);
        (slots + ROUNDING) as u32
    }

    /// Adds what has come in by the share that holds now.
    pub fn fill(&mut self, limit: &Organisation, now: Time) {
        self.saved.fill(fraction(self.parts(now)), limit, now);
    }

    fn record_shortage(&mut self, now: Time) {
        let lasting = self
            .shortage
            .filter(|(_, last)| now.saturating_sub(*last) < CALM);
        self.shortage = Some((lasting.map_or(now, |(first, _)| first), now));
    }

    /// Returns until when requests that find the share used up may wait for a loan.
    ///
    /// A lasting shortage has shown that the others have nothing to spare.
    #[must_use]
    pub fn may_wait_until(&self, now: Time) -> Option<Time> {
        let (first, _) = self.shortage?;
        let until = first + LOAN_WAIT;
        (until > now && !self.lenders.is_empty()).then_some(until)
    }

    /// Counts a request that begins to wait for a loan.
    pub fn start_wait(&mut self) {
        self.waiting += 1;
    }

    /// Counts a request that no longer waits for a loan.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Counts a request that was refused.
    pub fn count_refusal(&mut self) {
        self.refused += 1;
    }

    /// Records the end of an admitted request.
    ///
    /// # Panics
    /// Panics if more requests end than were admitted, which is a bug in this program.
    pub fn release(&mut self) {
        assert!(
            self.in_progress > 0,
            "organisation {} has no request in progress that could end",
            self.name
        );
        self.in_progress -= 1;
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Returns the number of refused requests since the account was opened.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the requests per second of late, admitted or not.
    #[must_use]
    pub fn demand(&self, now: Time) -> f64 {
        self.demand.per_second(now)
    }

    /// Returns the parts of the rate and the burst that this node may use.
    #[must_use]
    pub fn parts(&self, now: Time) -> Parts {
        self.amount(now).rate
    }

    /// Returns what this node may use.
    fn amount(&self, now: Time) -> Amount {
        let debts = self.debts.iter().map(|debt| debt.lent(now));
        debts.fold(self.kept(now), Amount::plus)
    }

    /// Returns what this node owns and has not lent.
    fn kept(&self, now: Time) -> Amount {
        let loans = self.loans.iter().map(|loan| loan.held(now));
        self.owned()
            .less(loans.fold(Amount::default(), Amount::plus))
    }

    fn owned(&self) -> Amount {
        Amount {
            rate: self.owned,
            slots: self.owned,
        }
    }

    /// Returns what this node needs for its recent demand.
    fn needed(&self, limit: &Organisation, now: Time) -> Amount {
        let of = |used: f64, limit: u32| used / f64::from(limit.max(1));
        let running = f64::from(self.in_progress);
        let waiting = f64::from(self.waiting);
        // The next request, if it is likely to come within a loan; others borrow when they come.
        let next = (self.demand(now) * LOAN_TIME.as_secs_f64()).min(1.0);
        let rate = of(self.demand(now) * HEADROOM, limit.requests_per_second);
        let missing = (waiting - self.saved.level()).max(0.0);
        let lacking = if missing > 0.0 {
            missing.max(LEAST_BORROWED)
        } else {
            0.0
        };
        let lacking = of(lacking, limit.burst);
        let kept = if lacking > 0.0 {
            fraction(self.parts(now))
        } else {
            0.0
        };
        let burst = of(next, limit.burst).max(kept + lacking);
        let slots = of(running * HEADROOM + next + waiting, limit.concurrency);
        Amount {
            rate: to_parts(rate.max(burst)),
            slots: to_parts(slots),
        }
    }

    /// Returns what to ask of which node now.
    pub fn plan_asks(
        &mut self,
        limit: &Organisation,
        view: &View,
        now: Time,
    ) -> Vec<(id::Node, wire::Want)> {
        self.debts.retain(|debt| !debt.is_over(now));
        self.loans.retain(|loan| !loan.is_over(now));
        let (needed, amount) = (self.needed(limit, now), self.amount(now));
        let missing = needed.less(amount);
        let mut asks = self.plan_renewals(limit, missing, amount.less(needed), now);
        if !missing.is_none() {
            let open = self.debts.iter().filter(|debt| debt.is_open(now)).count();
            let known = |lender: &id::Node| self.debts.iter().any(|debt| debt.lender == *lender);
            let fresh = self.lenders.iter().copied();
            let mut usable: Vec<id::Node> = fresh.filter(|lender| !known(lender)).collect();
            // A node of another data centre that seems to be silent may still answer.
            usable.sort_by_key(|lender| !view.is_live(*lender, now));
            usable.truncate(self.ask_count(missing).saturating_sub(open));
            let want = self.want(missing, 0);
            asks.extend(usable.into_iter().map(|lender| (lender, want.clone())));
        }
        asks
    }

    /// Returns how many lenders are asked at once for what is missing.
    fn ask_count(&self, missing: Amount) -> usize {
        let holders = self.lenders.len() + usize::from(self.owned > 0);
        let most = missing.rate.max(missing.slots);
        let lenders = (most as usize * holders).div_ceil(WHOLE as usize);
        lenders.clamp(1, MAX_OPEN_ASKS)
    }

    /// Plans asks to nodes that lend already; parts beyond the need are given back.
    fn plan_renewals(
        &self,
        limit: &Organisation,
        missing: Amount,
        mut surplus: Amount,
        now: Time,
    ) -> Vec<(id::Node, wire::Want)> {
        let running = f64::from(self.in_progress) / f64::from(limit.concurrency.max(1));
        let mut rest = to_parts(running).saturating_sub(self.kept(now).slots);
        let mut asks = Vec::new();
        for debt in &self.debts {
            let held = debt.used(rest);
            rest -= held;
            let lent = debt.lent(now);
            if !debt.may_ask(!missing.is_none(), now) {
                continue;
            }
            let returned = surplus.min(lent);
            surplus = surplus.less(returned);
            let wanted = lent.plus(missing).less(returned);
            // A loan that is no longer needed lapses without a message.
            if wanted.is_none() && !debt.is_unconfirmed(now) {
                continue;
            }
            asks.push((debt.lender, self.want(wanted, held)));
        }
        asks
    }

    fn want(&self, wanted: Amount, held: Parts) -> wire::Want {
        wire::Want {
            organisation: self.digest,
            parts: wanted.rate.min(WHOLE),
            slots: wanted.slots.min(WHOLE),
            held,
        }
    }

    /// Records that an ask has been sent.
    pub fn record_ask(&mut self, lender: id::Node, ask: u64, want: &wire::Want, now: Time) {
        let index = self.debts.iter().position(|debt| debt.lender == lender);
        let index = index.unwrap_or_else(|| {
            self.debts.push(Debt::new(lender));
            self.debts.len() - 1
        });
        self.debts[index].record_ask(ask, wanted(want), want.held, now);
    }

    /// Takes what a lender answers.
    pub fn borrow(
        &mut self,
        lender: id::Node,
        ask: u64,
        loan: &wire::Loan,
        limit: &Organisation,
        now: Time,
    ) {
        self.fill(limit, now);
        let mut debts = self.debts.iter_mut();
        let Some(debt) = debts.find(|debt| debt.lender == lender) else {
            return;
        };
        let lent = Amount {
            rate: loan.parts.min(WHOLE),
            slots: loan.slots.min(WHOLE),
        };
        if debt.accept(ask, lent, now) {
            self.saved.add(loan.requests as f64 / MILLION);
            self.fill(limit, now);
        }
    }

    /// Lends what this node can spare; returns none if the ask is older than another one.
    ///
    /// What is spare is divided by what the nodes want.
    pub fn lend(
        &mut self,
        borrower: (id::Node, u64),
        want: &wire::Want,
        limit: &Organisation,
        node: id::Node,
        now: Time,
    ) -> Option<wire::Loan> {
        self.fill(limit, now);
        let (before, spare) = (self.parts(now), self.spare(borrower.0, limit, node, now));
        let index = self.find_loan(borrower.0);
        let wanted = wanted(want);
        if !self.loans[index].record_ask(borrower.1, wanted, want.held.min(WHOLE), now) {
            return None;
        }
        let wants = self.loans.iter().map(|loan| loan.want(now));
        let all_wanted = wants.fold(Amount::default(), Amount::plus);
        let fair = Amount {
            rate: portion(spare.rate, wanted.rate, all_wanted.rate),
            slots: portion(spare.slots, wanted.slots, all_wanted.slots),
        };
        let others = self.loans.iter().filter(|loan| loan.borrower != borrower.0);
        let held = others.fold(Amount::default(), |sum, loan| sum.plus(loan.held(now)));
        let lent = wanted.min(fair).min(spare.less(held));
        let added = lent.less(self.loans[index].lent(now)).rate;
        let requests = self
            .saved
            .split_off(fraction(added) / fraction(before.max(1)));
        self.loans[index].grant(lent, now);
        self.fill(limit, now);
        Some(wire::Loan {
            organisation: self.digest,
            parts: lent.rate,
            slots: lent.slots,
            requests: (requests * MILLION) as u64,
        })
    }

    /// Returns what this node owns and does not need.
    ///
    /// Where a node's part of the burst is below one request, none would get one if all kept theirs:
    /// there, the lower in the organisation's order of nodes gives way.
    fn spare(&self, borrower: id::Node, limit: &Organisation, node: id::Node, now: Time) -> Amount {
        let is_useless = fraction(self.parts(now)) * f64::from(limit.burst) < 1.0 - ROUNDING;
        let rank = |node| rendezvous::weight(self.digest, node);
        if is_useless && rank(borrower) > rank(node) {
            return self.owned();
        }
        self.owned().less(self.needed(limit, now))
    }

    fn find_loan(&mut self, borrower: id::Node) -> usize {
        let index = self.loans.iter().position(|loan| loan.borrower == borrower);
        index.unwrap_or_else(|| {
            self.loans.push(Loan::new(borrower));
            self.loans.len() - 1
        })
    }

    /// Takes back the concurrency of a node whose process has ended.
    pub fn forget_node(&mut self, node: id::Node) {
        let loans = self.loans.iter_mut();
        loans
            .filter(|loan| loan.borrower == node)
            .for_each(Loan::end_requests);
    }

    /// Returns whether nothing would be lost with the account.
    #[must_use]
    pub fn is_idle(&self, limit: Option<&Organisation>, now: Time) -> bool {
        let is_used = self.in_progress > 0 || self.waiting > 0 || self.demand.is_any(now);
        let is_shared = !self.loans.is_empty() || !self.debts.is_empty();
        !is_used && !is_shared && limit.is_none_or(|limit| self.saved.is_full(limit))
    }
}

/// Millionths in one request.
const MILLION: f64 = 1e6;

/// Returns what a peer asks for, within what can be lent.
fn wanted(want: &wire::Want) -> Amount {
    Amount {
        rate: want.parts.min(WHOLE),
        slots: want.slots.min(WHOLE),
    }
}

/// Returns the portion of what is spare for one of several wants.
fn portion(spare: Parts, wanted: Parts, all_wanted: Parts) -> Parts {
    let product = u64::from(spare) * u64::from(wanted);
    (product / u64::from(all_wanted.max(1))) as Parts
}

/// Returns parts as a fraction of the whole.
fn fraction(parts: Parts) -> f64 {
    f64::from(parts) / f64::from(WHOLE)
}

/// Returns the parts that cover a fraction of the whole.
fn to_parts(fraction: f64) -> Parts {
    (fraction.min(1.0) * f64::from(WHOLE)).ceil() as Parts
}
