//! What a lender remembers of the parts that it has lent to one node.

use super::{Amount, LOAN_MARGIN, LOAN_TIME, Parts};
use crate::id::{self, Time};

/// Parts lent to one node.
///
/// The rate of a loan returns when the loan ends. Its concurrency returns when the borrower says
/// so, since requests run on when a loan has ended, or when the borrower's process has ended.
#[derive(Clone, Debug)]
pub struct Loan {
    /// Node that borrows.
    pub borrower: id::Node,
    last_ask: u64,
    /// What the borrower last asked for, and when.
    want: Amount,
    asked: Time,
    /// Grants and their ends; the borrower may have received any of them.
    grants: Vec<(Amount, Time)>,
    /// Parts of the concurrency that the borrower may use until it reports less.
    held: Parts,
}

impl Loan {
    /// Creates an account for a node that has borrowed nothing.
    #[must_use]
    pub fn new(borrower: id::Node) -> Self {
        Self {
            borrower,
            last_ask: 0,
            want: Amount::default(),
            asked: Time::ZERO,
            grants: Vec::new(),
            held: 0,
        }
    }

    /// Records what the borrower asks for and holds; returns whether the ask is new.
    pub fn record_ask(&mut self, ask: u64, want: Amount, held: Parts, now: Time) -> bool {
        if ask <= self.last_ask {
            return false;
        }
        self.last_ask = ask;
        self.want = want;
        self.asked = now;
        self.held = held.max(self.lent(now).slots);
        true
    }

    /// Lends an amount in place of that lent before.
    pub fn grant(&mut self, amount: Amount, now: Time) {
        self.grants.retain(|(_, until)| *until > now);
        if !amount.is_none() {
            self.grants.push((amount, now + LOAN_TIME + LOAN_MARGIN));
        }
        self.held = self.held.max(amount.slots);
    }

    /// Takes the concurrency back from a borrower whose process has ended.
    pub fn end_requests(&mut self) {
        self.held = 0;
        self.last_ask = 0;
    }

    /// Returns what the borrower may have by grants that have not ended.
    #[must_use]
    pub fn lent(&self, now: Time) -> Amount {
        let valid = self.grants.iter().filter(|(_, until)| *until > now);
        valid.fold(Amount::default(), |most, (amount, _)| most.max(*amount))
    }

    /// Returns what the borrower may use now.
    #[must_use]
    pub fn held(&self, now: Time) -> Amount {
        let requests = Amount {
            rate: 0,
            slots: self.held,
        };
        self.lent(now).max(requests)
    }

    /// Returns what the borrower wants, nothing if it has not asked lately.
    #[must_use]
    pub fn want(&self, now: Time) -> Amount {
        let is_recent = now.saturating_sub(self.asked) < LOAN_TIME;
        if is_recent {
            self.want
        } else {
            Amount::default()
        }
    }

    /// Returns whether nothing has to be remembered.
    #[must_use]
    pub fn is_over(&self, now: Time) -> bool {
        self.held(now).is_none() && now.saturating_sub(self.asked) >= LOAN_TIME
    }
}
