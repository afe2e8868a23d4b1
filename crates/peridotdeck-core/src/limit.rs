//! Rate and concurrency limits of organisations, and retry budgets of classes.
//!
//! Each node enforces its share of an organisation's limits. With [`Division::Equal`] that is the
//! limits divided by the number of live nodes ([`Table`]). An organisation whose callers reach few
//! nodes then gets only these nodes' shares. With [`Division::Demand`], [`Shares`] answers this:
//!
//! - By the VM list, a fixed part of each organisation's limits belongs to each holder
//!   ([`Endowment`]). These parts add up to the whole in any cut.
//! - A node that needs more asks holders to lend what they don't need. The lender stops using a part
//!   before the borrower begins ([`Loan`]), and the borrower stops before the lender begins again
//!   ([`Debt`]). So the sum stays within the limit whichever messages are lost; the page below says what is not kept.
//! - Each organisation has an [`Account`] at a node while it has demand there.
//!
//! `docs/design/LIMITS.md` weighs this against other ways.

mod account;
mod amount;
mod debt;
mod demand;
mod division;
mod endowment;
mod loan;
mod saved;
mod shares;

pub use account::Account;
pub use amount::Amount;
pub use debt::Debt;
pub use demand::Demand;
pub use division::Division;
pub use endowment::{Endowment, SETTLING};
pub use loan::Loan;
pub use saved::Saved;
pub use shares::{Shares, Use};

use std::time::Duration;

use crate::id;

/// Parts of an organisation's limits, of [`WHOLE`].
///
/// They are fractions, so a changed limit holds at once for what has been lent.
pub type Parts = u32;

/// All parts of an organisation's limits.
pub const WHOLE: Parts = 1_000_000;

/// Time for which a borrower may use a loan, from its ask.
pub const LOAN_TIME: Duration = Duration::from_secs(5);

/// Time after the end of a loan before the lender uses the parts again; clocks may run unevenly.
const LOAN_MARGIN: Duration = Duration::from_millis(500);

/// A token bucket that limits a rate of requests.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Tokens in the bucket.
    level: f64,
    /// When tokens were last added.
    filled: id::Time,
}

impl Bucket {
    /// Creates a full bucket that holds `burst` tokens.
    #[must_use]
    pub fn full(burst: f64, now: id::Time) -> Self {
        Self {
            level: burst,
            filled: now,
        }
    }

    /// Takes one token, after adding those of the time that has passed.
    ///
    /// `rate` is in tokens per second; `burst` is the capacity in tokens, at least 1.
    ///
    /// # Errors
    /// Returns the time until the next token if there is none.
    pub fn take(&mut self, rate: f64, burst: f64, now: id::Time) -> Result<(), id::Time> {
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        self.level = (self.level + elapsed * rate).min(burst.max(1.0));
        self.filled = now;
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err(id::Time::from_secs_f64((1.0 - self.level) / rate.max(1e-3)))
    }
}

/// Buckets and requests in progress of the organisations that this node has seen.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Sorted by the organisation's name.
    usages: Vec<(String, Usage)>,
}

#[derive(Clone, Debug)]
struct Usage {
    bucket: Bucket,
    in_progress: u32,
}

/// One node's share of an organisation's limits.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may arrive at once.
    pub burst: f64,
    /// Requests that may be in progress.
    pub concurrency: u32,
}

impl Share {
    /// Divides an organisation's limits by the number of live nodes.
    #[must_use]
    pub fn of(organisation: &peridotdeck_policy::Organisation, nodes: usize) -> Self {
        let nodes = nodes.max(1) as f64;
        Self {
            rate: f64::from(organisation.requests_per_second) / nodes,
            burst: (f64::from(organisation.burst) / nodes).max(1.0),
            concurrency: (f64::from(organisation.concurrency) / nodes).ceil() as u32,
        }
    }
}

impl Table {
    /// Admits one request of an organisation, within this node's share of its limits.
    ///
    /// # Errors
    /// Returns the time after which to retry if a limit is reached.
    pub fn admit(&mut self, name: &str, share: Share, now: id::Time) -> Result<(), id::Time> {
        /// Time in seconds after which a caller at its concurrency limit is asked to retry.
        const RETRY_AFTER_S: u64 = 1;
        let usage = self.usage(name, share, now);
        if usage.in_progress >= share.concurrency {
            return Err(id::Time::from_secs(RETRY_AFTER_S));
        }
        usage.bucket.take(share.rate, share.burst, now)?;
        usage.in_progress += 1;
        Ok(())
    }

    /// Records the end of one admitted request.
    ///
    /// # Panics
    /// Panics if more requests end than were admitted, which is a bug in this program.
    pub fn release(&mut self, name: &str) {
        let index = self
            .find(name)
            .expect("a released request must have been admitted");
        let usage = &mut self.usages[index].1;
        assert!(
            usage.in_progress > 0,
            "organisation {name} has no request in progress that could end"
        );
        usage.in_progress -= 1;
    }

    /// Returns the number of an organisation's requests in progress.
    #[must_use]
    pub fn in_progress(&self, name: &str) -> u32 {
        self.find(name)
            .map_or(0, |index| self.usages[index].1.in_progress)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.usages
            .binary_search_by(|(organisation, _)| organisation.as_str().cmp(name))
    }

    fn usage(&mut self, name: &str, share: Share, now: id::Time) -> &mut Usage {
        let index = self.find(name).unwrap_or_else(|index| {
            let usage = Usage {
                bucket: Bucket::full(share.burst, now),
                in_progress: 0,
            };
            self.usages.insert(index, (name.to_owned(), usage));
            index
        });
        &mut self.usages[index].1
    }
}

/// Retry budgets by class.
///
/// A budget is a percentage of the first attempts, so that retries never multiply an overload.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    /// Available retries by class, sorted by its name.
    budgets: Vec<(String, f64)>,
}

impl RetryBudgets {
    /// Retries available to a class before its first attempts earn more.
    const INITIAL_RETRIES: f64 = 3.0;
    /// Largest budget that a class can save, in retries.
    const MAX_SAVED_RETRIES: f64 = 50.0;

    /// Adds `percent` hundredths of a retry to the budget for a first attempt.
    pub fn earn(&mut self, class: &str, percent: u8) {
        let budget = self.budget(class);
        *budget = (*budget + f64::from(percent) / 100.0).min(Self::MAX_SAVED_RETRIES);
    }

    /// Spends one retry and returns whether the budget allowed it.
    pub fn spend(&mut self, class: &str) -> bool {
        let budget = self.budget(class);
        let allowed = *budget >= 1.0;
        if allowed {
            *budget -= 1.0;
        }
        allowed
    }

    fn budget(&mut self, class: &str) -> &mut f64 {
        let found = self
            .budgets
            .binary_search_by(|(name, _)| name.as_str().cmp(class));
        let index = found.unwrap_or_else(|index| {
            self.budgets
                .insert(index, (class.to_owned(), Self::INITIAL_RETRIES));
            index
        });
        &mut self.budgets[index].1
    }
}
