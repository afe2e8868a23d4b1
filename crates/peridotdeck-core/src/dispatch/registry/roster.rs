//! Application of facts about endpoints.

use super::{Area, Change, Endpoint, Fact, Registry};
use crate::id::Time;

impl Registry {
    /// Returns the facts of a whole report without those that a restored copy has outdated.
    ///
    /// While the publisher counts as restored, its copy may show an endpoint as usable that this
    /// node knows to be draining, to be gone, or to have restarted since.
    pub(super) fn without_contradictions(&mut self, facts: Vec<Fact>, now: Time) -> Vec<Fact> {
        if !self.restoration.is_recent(Area::Roster, now) {
            return facts;
        }
        let mut kept = Vec::with_capacity(facts.len());
        for fact in facts {
            let Fact::Endpoint(copied) = &fact else {
                kept.push(fact);
                continue;
            };
            match self.find(&copied.id) {
                Ok(index) if self.endpoints[index].is_later_than(copied) => {
                    let known = self.endpoints[index].clone();
                    self.restoration.withhold(copied.clone());
                    kept.push(Fact::Endpoint(known));
                }
                Err(_) if self.restoration.is_removed(copied.key(), now) => {
                    self.restoration.withhold(copied.clone());
                }
                _ => kept.push(fact),
            }
        }
        kept
    }

    /// Applies facts about endpoints; with `grace_until`, a missing one is kept until then.
    pub(super) fn apply_roster(
        &mut self,
        facts: Vec<Fact>,
        whole: bool,
        grace_until: Option<Time>,
        change: &mut Change,
    ) {
        let mut gone: Vec<String> = Vec::new();
        if whole {
            let mut listed: Vec<&str> = facts.iter().filter_map(Fact::listed).collect();
            listed.sort_unstable();
            let stays = |endpoint: &Endpoint| listed.binary_search(&endpoint.id.as_str()).is_ok();
            let missing = self.endpoints.iter().filter(|endpoint| !stays(endpoint));
            gone.extend(missing.map(|endpoint| endpoint.id.clone()));
        }
        for fact in latest_by_endpoint(facts) {
            match fact {
                Fact::Endpoint(endpoint) => self.update(endpoint, change),
                Fact::Gone(id) => gone.push(id),
                Fact::Config(_) | Fact::Closed(_) | Fact::Opened(_) => {}
            }
        }
        for id in gone {
            self.remove(&id, grace_until, change);
        }
    }

    pub(super) fn update(&mut self, endpoint: Endpoint, change: &mut Change) {
        let known = self.missing.len();
        self.missing.retain(|(id, _)| *id != endpoint.id);
        let is_back = self.missing.len() < known;
        match self.find(&endpoint.id) {
            // Peers need to know that an entry is back, even if nothing else has changed.
            Ok(index) if self.endpoints[index] == endpoint && !is_back => {}
            Ok(index) => {
                let old = std::mem::replace(&mut self.endpoints[index], endpoint.clone());
                if old.born != endpoint.born {
                    change.removed.push(old);
                }
                change.updated.push(endpoint);
            }
            Err(index) => {
                self.endpoints.insert(index, endpoint.clone());
                change.updated.push(endpoint);
            }
        }
    }

    /// Removes an endpoint, or keeps it as missing until `grace_until`, if that is given.
    ///
    /// A missing entry normally means that the endpoint has left. Around an outage of the
    /// publisher, the entry may have expired because no heartbeat reached the publisher. A draining
    /// endpoint is always removed.
    fn remove(&mut self, id: &str, grace_until: Option<Time>, change: &mut Change) {
        let Ok(index) = self.find(id) else {
            change.passed_by.push(id.to_owned());
            return;
        };
        match grace_until {
            Some(until) if !self.endpoints[index].draining => {
                if !self.missing.iter().any(|(missing, _)| missing == id) {
                    self.missing.push((id.to_owned(), until));
                }
            }
            _ => {
                change.removed.push(self.endpoints.remove(index));
                self.missing.retain(|(missing, _)| missing != id);
            }
        }
    }
}

/// Keeps only the last fact about each endpoint.
///
/// A watch that resumes late reports first that an entry was added and then that it was removed.
fn latest_by_endpoint(facts: Vec<Fact>) -> Vec<Fact> {
    let mut last: Vec<Fact> = Vec::with_capacity(facts.len());
    let mut seen: Vec<String> = Vec::new();
    for fact in facts.into_iter().rev() {
        let Some(id) = fact.endpoint().map(str::to_owned) else {
            continue;
        };
        if let Err(index) = seen.binary_search(&id) {
            seen.insert(index, id);
            last.push(fact);
        }
    }
    last.reverse();
    last
}
