//! Customers' limits and the retry budgets of classes.
//!
//! Each node enforces its share of a customer's limit: the limit divided by the nodes that are
//! alive. `docs/design/LIMITS.md` weighs this against counting at one node.

use crate::id;

/// A token bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    level: f64,
    filled: id::Time,
}

impl Bucket {
    /// Starts a full bucket.
    #[must_use]
    pub fn full(burst: f64, now: id::Time) -> Self {
        Self {
            level: burst,
            filled: now,
        }
    }

    /// Takes one token, or returns the time until there is one.
    ///
    /// # Errors
    /// The wait until the next token.
    pub fn take(&mut self, rate: f64, burst: f64, now: id::Time) -> Result<(), id::Time> {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.level = (self.level + passed * rate).min(burst.max(1.0));
        self.filled = now;
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err(id::Time::from_secs_f64((1.0 - self.level) / rate.max(1e-3)))
    }
}

/// Buckets and counts of the customers that this node has seen.
#[derive(Clone, Debug, Default)]
pub struct Table {
    holders: Vec<(String, Holder)>,
}

#[derive(Clone, Debug)]
struct Holder {
    bucket: Bucket,
    open: u32,
}

/// One node's share of a customer's limit.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// Requests a second.
    pub rate: f64,
    /// Requests that may come at once.
    pub burst: f64,
    /// Requests in progress.
    pub concurrency: u32,
}

impl Share {
    /// Divides a customer's limits over the nodes that are alive.
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
    /// Admits one request of a customer.
    ///
    /// # Errors
    /// The time after which a new try makes sense.
    pub fn admit(&mut self, name: &str, share: Share, now: id::Time) -> Result<(), id::Time> {
        /// Wait in seconds that a caller at its concurrency limit is told.
        const BUSY_S: u64 = 1;
        let holder = self.holder(name, share, now);
        if holder.open >= share.concurrency {
            return Err(id::Time::from_secs(BUSY_S));
        }
        holder.bucket.take(share.rate, share.burst, now)?;
        holder.open += 1;
        Ok(())
    }

    /// Ends one admitted request.
    ///
    /// # Panics
    /// If more requests end than were admitted, which is a fault of this program.
    pub fn release(&mut self, name: &str) {
        let at = self
            .find(name)
            .expect("only admitted requests are released");
        let holder = &mut self.holders[at].1;
        assert!(
            holder.open > 0,
            "customer {name} has negative open requests"
        );
        holder.open -= 1;
    }

    /// Returns a customer's requests in progress.
    #[must_use]
    pub fn in_progress(&self, name: &str) -> u32 {
        self.find(name).map_or(0, |at| self.holders[at].1.open)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.holders
            .binary_search_by(|(each, _)| each.as_str().cmp(name))
    }

    fn holder(&mut self, name: &str, share: Share, now: id::Time) -> &mut Holder {
        let at = self.find(name).unwrap_or_else(|at| {
            let holder = Holder {
                bucket: Bucket::full(share.burst, now),
                open: 0,
            };
            self.holders.insert(at, (name.to_owned(), holder));
            at
        });
        &mut self.holders[at].1
    }
}

/// Retry budgets by class: a share of the first attempts, so that retries never multiply an
/// overload.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    budgets: Vec<(String, f64)>,
}

impl RetryBudgets {
    /// Retries that a class may make before its first attempts earn more.
    const START: f64 = 3.0;
    /// Largest saved budget in retries.
    const CAP: f64 = 50.0;

    /// Earns budget from a first attempt.
    pub fn earn(&mut self, class: &str, percent: u8) {
        let budget = self.budget(class);
        *budget = (*budget + f64::from(percent) / 100.0).min(Self::CAP);
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
            .binary_search_by(|(each, _)| each.as_str().cmp(class));
        let at = found.unwrap_or_else(|at| {
            self.budgets.insert(at, (class.to_owned(), Self::START));
            at
        });
        &mut self.budgets[at].1
    }
}
