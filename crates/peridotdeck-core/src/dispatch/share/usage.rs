//! Tokens that organisations have used lately.
//!
//! An organisation is hot while it uses far more than it usually does and more than an equal part. Only
//! where room is short does it matter: a hot one waits behind the others of its class.

use std::time::Duration;

use super::Decayed;
use crate::id::Time;

/// Time over which the recent use is averaged.
const RECENT: Duration = Duration::from_secs(3);

/// Time over which the usual use is averaged.
const USUAL: Duration = Duration::from_secs(60);

/// Multiple of its usual part of all tokens, or of an equal part, beyond which an organisation is hot.
const HOT_FACTOR: f64 = 2.0;

/// Tokens below which an organisation's use is forgotten.
const LEAST_TOKENS: f64 = 1.0;

/// Use of one organisation.
#[derive(Clone, Debug)]
struct Entry {
    organisation: String,
    recent: Decayed,
    usual: Decayed,
}

/// Use of all organisations as this node has seen it, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    entries: Vec<Entry>,
}

impl Usage {
    /// Adds the tokens of a request: its prompt and what it may produce.
    pub fn add(&mut self, organisation: &str, tokens: u32, now: Time) {
        let index = self.find(organisation).unwrap_or_else(|index| {
            let entry = Entry {
                organisation: organisation.to_owned(),
                recent: Decayed::default(),
                usual: Decayed::default(),
            };
            self.entries.insert(index, entry);
            index
        });
        let entry = &mut self.entries[index];
        entry.recent.add(f64::from(tokens), RECENT, now);
        entry.usual.add(f64::from(tokens), USUAL, now);
    }

    /// Returns an organisation's part of the tokens used lately, from 0 to 1.
    #[must_use]
    pub fn recent_part(&self, organisation: &str, now: Time) -> f64 {
        self.part(organisation, |entry| entry.recent.value(RECENT, now))
    }

    /// Returns whether an organisation uses far more than it usually does and than an equal part.
    ///
    /// What it has used lately does not count as usual.
    #[must_use]
    pub fn is_hot(&self, organisation: &str, now: Time) -> bool {
        let usual = self.part(organisation, |entry| entry.earlier(now));
        let equal = 1.0 / self.entries.len().max(1) as f64;
        self.recent_part(organisation, now) > HOT_FACTOR * usual.max(equal)
    }

    /// Returns the organisations with the largest parts of the tokens used lately, largest first.
    #[must_use]
    pub fn heaviest(&self, count: usize, now: Time) -> Vec<(&str, f64)> {
        let parts = self.entries.iter().map(|entry| {
            let name = entry.organisation.as_str();
            (name, self.recent_part(name, now))
        });
        let mut parts: Vec<(&str, f64)> = parts.collect();
        parts.sort_by(|(_, one), (_, other)| other.total_cmp(one));
        parts.truncate(count);
        parts
    }

    /// Forgets organisations that have used nothing for long.
    pub fn expire(&mut self, now: Time) {
        self.entries
            .retain(|entry| entry.usual.value(USUAL, now) >= LEAST_TOKENS);
    }

    fn part(&self, organisation: &str, value: impl Fn(&Entry) -> f64) -> f64 {
        let Ok(index) = self.find(organisation) else {
            return 0.0;
        };
        let sum: f64 = self.entries.iter().map(&value).sum();
        value(&self.entries[index]) / sum.max(LEAST_TOKENS)
    }

    fn find(&self, organisation: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.organisation.as_str().cmp(organisation))
    }
}

impl Entry {
    /// Returns the tokens that were used before those that count as recent.
    fn earlier(&self, now: Time) -> f64 {
        (self.usual.value(USUAL, now) - self.recent.value(RECENT, now)).max(0.0)
    }
}
