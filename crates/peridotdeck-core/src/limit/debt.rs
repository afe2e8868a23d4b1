//! What a borrower remembers of the parts that one node has lent to it.

use std::time::Duration;

use super::{Amount, LOAN_MARGIN, LOAN_TIME, Parts};
use crate::id::{self, Time};

/// Time after which an unanswered ask is repeated.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks in a row after [`ANSWER_TIMEOUT`] each; later ones follow after [`RENEWAL`].
const MAX_QUICK_ASKS: u32 = 3;

/// Time after which a lender that had nothing to spare is asked again.
const BACKOFF: Duration = Duration::from_secs(1);

/// Time after which a loan is renewed; it leaves time for three more tries.
const RENEWAL: Duration = Duration::from_secs(4);

/// An ask that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Ask {
    number: u64,
    wanted: Amount,
    used: Parts,
    sent: Time,
}

/// Parts borrowed from one node.
#[derive(Clone, Debug)]
pub struct Debt {
    /// Node that lends.
    pub lender: id::Node,
    lent: Amount,
    until: Time,
    /// Parts of the concurrency that the lender keeps for this node, at least.
    slots: Parts,
    /// Time from which the lender counts no grant any more, until it has been told what is used then.
    unconfirmed: Option<Time>,
    /// The newest ask, until it is answered.
    open: Option<Ask>,
    /// Asks since the last answer.
    unanswered: u32,
    next_ask: Time,
    /// Time at which more may be asked for than is lent.
    next_rise: Time,
}

impl Debt {
    /// Creates an account with a lender that has not been asked.
    #[must_use]
    pub fn new(lender: id::Node) -> Self {
        Self {
            lender,
            lent: Amount::default(),
            until: Time::ZERO,
            slots: 0,
            unconfirmed: None,
            open: None,
            unanswered: 0,
            next_ask: Time::ZERO,
            next_rise: Time::ZERO,
        }
    }

    /// Returns whether the lender may be asked now, for more than it lends or to renew the loan.
    #[must_use]
    pub fn may_ask(&self, for_more: bool, now: Time) -> bool {
        let next = if for_more {
            self.next_rise
        } else {
            self.next_ask
        };
        next.min(self.next_ask) <= now
    }

    /// Records an ask that tells the lender how many of its parts are in use.
    pub fn record_ask(&mut self, number: u64, wanted: Amount, used: Parts, now: Time) {
        let is_silent = self.unanswered >= MAX_QUICK_ASKS;
        self.open = Some(Ask {
            number,
            wanted,
            used,
            sent: now,
        });
        self.unanswered += 1;
        self.next_ask = now + if is_silent { RENEWAL } else { ANSWER_TIMEOUT };
        self.next_rise = self.next_ask;
    }

    /// Accepts the answer to the newest ask; returns whether it was that.
    ///
    /// The loan counts from the ask, so it ends here before it ends at the lender.
    pub fn accept(&mut self, number: u64, lent: Amount, now: Time) -> bool {
        let Some(ask) = self.open.filter(|ask| ask.number == number) else {
            return false;
        };
        self.open = None;
        self.unanswered = 0;
        self.lent = lent;
        self.until = ask.sent + LOAN_TIME;
        self.slots = ask.used.max(lent.slots);
        if !lent.is_none() {
            self.unconfirmed = Some(now + LOAN_TIME + 2 * LOAN_MARGIN);
        } else if ask.used == 0 && self.unconfirmed.is_some_and(|time| time <= ask.sent) {
            self.unconfirmed = None;
        }
        let is_spent = lent.min(ask.wanted) != ask.wanted;
        let is_refused = lent.is_none() && ask.used == 0;
        self.next_ask = now + if is_refused { BACKOFF } else { RENEWAL };
        self.next_rise = now + if is_spent { RENEWAL } else { ANSWER_TIMEOUT };
        true
    }

    /// Returns what may be used now.
    #[must_use]
    pub fn lent(&self, now: Time) -> Amount {
        if self.until > now {
            self.lent
        } else {
            Amount::default()
        }
    }

    /// Returns how many of `rest` parts of the concurrency in use belong to this lender.
    #[must_use]
    pub fn used(&self, rest: Parts) -> Parts {
        self.slots.min(rest)
    }

    /// Returns whether the answer to an ask may still come.
    #[must_use]
    pub fn is_open(&self, now: Time) -> bool {
        let is_recent = |ask: Ask| now.saturating_sub(ask.sent) < ANSWER_TIMEOUT;
        self.open.is_some_and(is_recent)
    }

    /// Returns whether the lender has to be told again what is used here.
    #[must_use]
    pub fn is_unconfirmed(&self, now: Time) -> bool {
        self.unconfirmed.is_some_and(|time| time <= now)
    }

    /// Returns whether the lender holds nothing for this node and has answered.
    #[must_use]
    pub fn is_over(&self, now: Time) -> bool {
        let is_settled = self.slots == 0 && self.unconfirmed.is_none() && self.open.is_none();
        is_settled && self.next_ask <= now && self.lent(now).is_none()
    }
}
