//! Organisations' limits by shares that follow demand.

use std::time::Duration;

use peridotdeck_policy::{Organisation, Snapshot, digest_name};
use peridotdeck_wire::{Borrow, Lend, Want};

use super::{Account, Bucket, Endowment, LOAN_TIME, Parts, WHOLE};
use crate::{
    id::{self, Time},
    membership::View,
};

/// Most asks per second that a node sends, over all organisations.
const MAX_ASKS_PER_SECOND: f64 = 40.0;

/// Most organisations in one ask.
const MAX_WANTS: usize = 4;

/// Most requests that wait for a loan at one node.
const MAX_WAITING: usize = 256;

/// Change of a share that is logged, in parts.
const LOGGED_STEP: Parts = WHOLE / 10;

/// Most changes of shares that are logged each [`LOAN_TIME`].
const MAX_LOGGED: u32 = 20;

/// The accounts of the organisations that this node has dealt with lately.
#[derive(Clone, Debug)]
pub struct Shares {
    node: id::Node,
    endowment: Endowment,
    /// Sorted by the organisation's digest.
    accounts: Vec<Account>,
    asks: id::Generator,
    budget: Bucket,
    waiting: usize,
    logged: (u32, Time),
}

/// What a node says to operators of one organisation's limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Use {
    /// Name of the organisation.
    pub organisation: String,
    /// Fraction of the limits that this node may use.
    pub share: f64,
    /// Requests per second of late, admitted or not.
    pub demand: f64,
    /// Requests in progress.
    pub in_progress: u32,
    /// Requests refused since the account was opened.
    pub refused: u64,
}

impl Shares {
    /// Creates the empty table of a node, which takes the numbers of its asks from `asks`.
    #[must_use]
    pub fn new(node: id::Node, asks: id::Generator) -> Self {
        Self {
            node,
            endowment: Endowment::default(),
            accounts: Vec::new(),
            asks,
            budget: Bucket::full(MAX_ASKS_PER_SECOND, Time::ZERO),
            waiting: 0,
            logged: (0, Time::ZERO),
        }
    }

    /// Admits one request of an organisation within this node's share.
    ///
    /// # Errors
    /// Returns the time after which to retry.
    pub fn admit(&mut self, limit: &Organisation, now: Time) -> Result<(), Time> {
        self.account(&limit.name).admit(limit, now)
    }

    /// Admits a request that has waited for a loan.
    ///
    /// # Errors
    /// Returns the time after which to retry.
    pub fn retry(&mut self, limit: &Organisation, now: Time) -> Result<(), Time> {
        self.account(&limit.name).retry(limit, now)
    }

    /// Lets a request wait for a loan; returns until when, or none if it is to be refused.
    pub fn start_wait(&mut self, organisation: &str, now: Time) -> Option<Time> {
        let has_room = self.waiting < MAX_WAITING;
        let account = self.account(organisation);
        let until = account.may_wait_until(now).filter(|_| has_room)?;
        account.start_wait();
        self.waiting += 1;
        Some(until)
    }

    /// Records that a request no longer waits for a loan.
    pub fn end_wait(&mut self, organisation: &str) {
        self.waiting = self.waiting.saturating_sub(1);
        self.account(organisation).end_wait();
    }

    /// Counts a refused request.
    pub fn count_refusal(&mut self, organisation: &str) {
        self.account(organisation).count_refusal();
    }

    /// Records the end of one admitted request.
    pub fn release(&mut self, organisation: &str) {
        self.account(organisation).release();
    }

    /// Returns the number of an organisation's requests in progress.
    #[must_use]
    pub fn in_progress(&self, organisation: &str) -> u32 {
        let index = self.find(digest_name(organisation));
        index.map_or(0, |index| self.accounts[index].in_progress())
    }

    /// Returns the fraction of an organisation's limits that this node may use.
    #[must_use]
    pub fn share(&self, organisation: &str, now: Time) -> f64 {
        let index = self.find(digest_name(organisation));
        let owned = || self.endowment.parts(organisation, self.node);
        let parts = index.map_or_else(|_| owned(), |index| self.accounts[index].parts(now));
        f64::from(parts) / f64::from(WHOLE)
    }

    /// Brings all shares up to date and returns the asks to send.
    pub fn tick(&mut self, snapshot: &Snapshot, view: &View, now: Time) -> Vec<(id::Node, Borrow)> {
        self.endowment.update(view, now);
        let mut wants: Vec<(id::Node, Want)> = Vec::new();
        for account in &mut self.accounts {
            account.refresh(self.node, &self.endowment);
            if let Some(limit) = snapshot.organisation(&account.name) {
                account.fill(limit, now);
                wants.extend(account.plan_asks(limit, view, now));
            }
        }
        self.accounts
            .retain(|account| !account.is_idle(snapshot.organisation(&account.name), now));
        self.log_changes(now);
        wants.sort_by_key(|(lender, want)| (*lender, std::cmp::Reverse(want.parts)));
        self.bundle(&wants, now)
    }

    /// Joins what is wanted of the same node, as far as the budget of asks allows.
    fn bundle(&mut self, wants: &[(id::Node, Want)], now: Time) -> Vec<(id::Node, Borrow)> {
        let mut asks = Vec::new();
        let mut lenders: Vec<&[(id::Node, Want)]> =
            wants.chunk_by(|one, next| one.0 == next.0).collect();
        // Another lender is first each time, so that a spent budget starves none. What only reports
        // can wait.
        let turn = (now.as_millis() as usize) % lenders.len().max(1);
        lenders.rotate_left(turn);
        lenders.sort_by_key(|bundle| bundle[0].1.parts == 0);
        for bundle in lenders {
            if self
                .budget
                .take(MAX_ASKS_PER_SECOND, MAX_ASKS_PER_SECOND, now)
                .is_err()
            {
                break;
            }
            let ask = self.asks.issue();
            let chosen = bundle.iter().take(MAX_WANTS);
            let wants: Vec<Want> = chosen.map(|(_, want)| want.clone()).collect();
            let lender = bundle[0].0;
            self.record_asks(lender, ask, &wants, now);
            asks.push((lender, Borrow { ask, wants }));
        }
        asks
    }

    fn record_asks(&mut self, lender: id::Node, ask: u64, wants: &[Want], now: Time) {
        for want in wants {
            if let Ok(index) = self.find(want.organisation) {
                self.accounts[index].record_ask(lender, ask, want, now);
            }
        }
    }

    /// Answers a node that asks to borrow.
    pub fn lend(
        &mut self,
        borrower: id::Node,
        borrow: &Borrow,
        snapshot: &Snapshot,
        now: Time,
    ) -> Lend {
        let node = self.node;
        let mut loans = Vec::new();
        for want in borrow.wants.iter().take(MAX_WANTS) {
            let Some(limit) = find_limit(snapshot, want.organisation) else {
                continue;
            };
            let account = self.account(&limit.name);
            loans.extend(account.lend((borrower, borrow.ask), want, limit, node, now));
        }
        Lend {
            ask: borrow.ask,
            loans,
        }
    }

    /// Takes the answer of a node that was asked to lend.
    pub fn borrow(&mut self, lender: id::Node, lend: &Lend, snapshot: &Snapshot, now: Time) {
        for loan in &lend.loans {
            let Ok(index) = self.find(loan.organisation) else {
                continue;
            };
            let account = &mut self.accounts[index];
            if let Some(limit) = snapshot.organisation(&account.name) {
                account.borrow(lender, lend.ask, loan, limit, now);
            }
        }
    }

    /// Takes back the concurrency of a node whose process has ended.
    pub fn forget_node(&mut self, node: id::Node) {
        for account in &mut self.accounts {
            account.forget_node(node);
        }
    }

    /// Returns the organisations with most demand at this node, heaviest first.
    #[must_use]
    pub fn heaviest(&self, count: usize, now: Time) -> Vec<Use> {
        let mut accounts: Vec<&Account> = self.accounts.iter().collect();
        accounts.sort_by(|one, other| other.demand(now).total_cmp(&one.demand(now)));
        accounts
            .into_iter()
            .take(count)
            .map(|account| Use {
                organisation: account.name.clone(),
                share: f64::from(account.parts(now)) / f64::from(WHOLE),
                demand: account.demand(now),
                in_progress: account.in_progress(),
                refused: account.refused(),
            })
            .collect()
    }

    /// Logs shares that have changed by a step, each at most once a [`LOAN_TIME`].
    fn log_changes(&mut self, now: Time) {
        if now.saturating_sub(self.logged.1) >= LOAN_TIME {
            self.logged = (0, now);
        }
        for account in &mut self.accounts {
            let (known, at) = account.logged;
            let parts = account.parts(now);
            let is_due = now.saturating_sub(at) >= LOAN_TIME || at == Duration::ZERO;
            if parts.abs_diff(known) < LOGGED_STEP || !is_due || self.logged.0 >= MAX_LOGGED {
                continue;
            }
            account.logged = (parts, now);
            self.logged.0 += 1;
            log::info!(
                "event=limit_share organisation={} percent={} was={} demand_per_s={:.1} in_progress={}",
                account.name,
                parts / (WHOLE / 100),
                known / (WHOLE / 100),
                account.demand(now),
                account.in_progress()
            );
        }
    }

    fn find(&self, digest: u64) -> Result<usize, usize> {
        self.accounts
            .binary_search_by_key(&digest, |account| account.digest)
    }

    fn account(&mut self, name: &str) -> &mut Account {
        let index = self.find(digest_name(name)).unwrap_or_else(|index| {
            let account = Account::open(name, self.node, &self.endowment);
            self.accounts.insert(index, account);
            index
        });
        &mut self.accounts[index]
    }
}

fn find_limit(snapshot: &Snapshot, digest: u64) -> Option<&Organisation> {
    let mut organisations = snapshot.organisations().iter();
    organisations.find(|organisation| digest_name(&organisation.name) == digest)
}
