//! What endpoints in need take, and the parts of it that this node may use or grants to others.

use peridotdeck_wire::beat;

use super::{Dispatcher, batch, peers::millis};
use crate::{
    dispatch::{
        Key, Node,
        attempt::Attempt,
        data_centre,
        endpoint::State,
        fleet::{Broadcast, Status},
        flight::Flight,
        key as endpoint_key,
        placement::Exclusion,
        rate::{Demand, Limit, News, Table, Terms},
    },
    id::Time,
    rendezvous,
};

/// Least rate that is spent, in requests per second, since only an answer shows that a rate of
/// nearly 0 has ended.
const MIN_RATE: f64 = 0.2;

/// Fraction of a rate that is granted outside the endpoint's data centre, by all others together,
/// while they reach no node there. Nodes there may be cut off from them, and grant the whole rate.
const REMOTE_FRACTION: f64 = 0.2;

/// Most demands or grants in one message.
const MAX_ENTRIES: usize = 32;

/// A granted request that is to be told to its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Grant {
    pub(super) receiver: Node,
    pub(super) endpoint: Key,
    /// Number of the grant, if it is a place at a brittle endpoint.
    pub(super) number: Option<u32>,
}

impl Grant {
    /// Returns whether another grant differs in its number at most.
    fn is_like(&self, other: &Self) -> bool {
        let subject = |grant: &Self| (grant.receiver, grant.endpoint, grant.number.is_some());
        subject(self) == subject(other)
    }
}

/// Start time that stands for all processes of an endpoint, so that a restart keeps the owner.
const ANY_START: u64 = 0;

impl Dispatcher {
    /// Records what an answer said that its endpoint takes from all nodes together.
    ///
    /// Returns the change of the belief, if there is one.
    pub fn record_terms(&mut self, attempt: &Attempt, terms: Terms, now: Time) -> Option<News> {
        if self.find(attempt.key()).is_err() {
            return None;
        }
        let news = self.rates.note(attempt.key(), terms, attempt.sent(), now)?;
        self.fleet.mark_urgent();
        Some(news)
    }

    /// Returns what is known of the endpoints in need.
    #[must_use]
    pub fn rates(&self) -> &Table {
        &self.rates
    }

    /// Returns whether a request of a rank may be sent to an endpoint within what it takes.
    pub(super) fn rate_admits(&self, key: Key, rank: u8, now: Time) -> bool {
        self.is_within_rate(key, rank, now) && self.has_place(key, rank, now)
    }

    fn is_within_rate(&self, key: Key, rank: u8, now: Time) -> bool {
        let entry = self.rates.get(key);
        let named = entry.filter(|entry| entry.limit.terms.rate.is_some());
        named.is_none_or(|entry| entry.allowance.admits(rank, now))
    }

    /// Counts a request towards what its endpoint takes, if it is in need.
    pub(super) fn spend_rate(&mut self, key: Key, rank: u8, now: Time) {
        if let Some((entry, _)) = self.rates.named_mut(key) {
            entry.allowance.spend(rank, now);
        }
        if let Some(entry) = self.rates.brittle_mut(key) {
            entry.places.spend(rank, now);
        }
    }

    /// Checks that a request may be sent within what its endpoint takes, and demands a part if not.
    ///
    /// `demands_place` says whether it demands a place at a brittle endpoint.
    ///
    /// # Errors
    /// Returns the reason if the endpoint is in need and this node holds no part of what it takes.
    pub(super) fn admit_rate(
        &mut self,
        key: Key,
        flight: &Flight,
        demands_place: bool,
        now: Time,
    ) -> Result<(), Exclusion> {
        let rank = flight.rank;
        if self.rate_admits(key, rank, now) {
            return Ok(());
        }
        let lacks_place = self.is_within_rate(key, rank, now);
        if lacks_place && !demands_place {
            return Err(Exclusion::Full);
        }
        let data_centre = &self.options.data_centre;
        // While an endpoint is cold, only nodes of its own data centre may send to it.
        let may_use = |state: &State| !state.is_cold(now) || state.info.data_centre == *data_centre;
        if !self.state(key).is_some_and(may_use) {
            return Err(Exclusion::RateLimited);
        }
        let is_new = flight.waiting_since.is_none();
        if lacks_place {
            if let Some(entry) = self.rates.brittle_mut(key) {
                entry.places.want(rank, is_new, now);
            }
        } else if let Some((entry, _)) = self.rates.named_mut(key) {
            entry.allowance.want(rank, is_new, now);
        }
        // The owner's own requests need no message.
        if self.rates.get(key).is_some_and(|entry| entry.is_owner) {
            self.share_out(key, now);
            if self.rate_admits(key, rank, now) {
                return Ok(());
            }
        }
        Err(if lacks_place {
            Exclusion::Full
        } else {
            Exclusion::RateLimited
        })
    }

    /// Returns the node that shares out an endpoint's rate, and the fraction of it that this node
    /// would grant.
    ///
    /// It is a node of the endpoint's data centre. Where no live one is known, each other data
    /// centre has an owner of its own, for a small part.
    pub(super) fn rate_owner(&self, state: &State, now: Time) -> Option<(Node, f64)> {
        let ranking = u64::from(endpoint_key(&state.info.id, ANY_START));
        let owner = |data_centre| {
            let nodes = self.fleet.live_nodes(data_centre, now).into_iter();
            rendezvous::first(ranking, nodes.map(u32::from)).map(Node::from)
        };
        let there = data_centre(&state.info.data_centre);
        if let Some(node) = owner(there) {
            return Some((node, self.fleet.majority_fraction(now)));
        }
        let here = data_centre(&self.options.data_centre);
        if self.fleet.is_single() {
            return Some((self.options.node, self.fleet.majority_fraction(now)));
        }
        let others = self.options.regions.len().saturating_sub(1).max(1);
        let fraction = REMOTE_FRACTION / others as f64 * self.fleet.majority_fraction(now);
        Some((owner(here)?, fraction))
    }

    /// Grants what an endpoint takes by now, if this node shares it out.
    ///
    /// Grants to this node itself count at once, others are queued for a message.
    fn share_out(&mut self, key: Key, now: Time) {
        let owner = self
            .state(key)
            .and_then(|state| self.rate_owner(state, now));
        let own = owner.filter(|(owner, _)| *owner == self.options.node);
        if let Some(entry) = self.rates.get_mut(key) {
            entry.is_owner = own.is_some();
            if own.is_none() {
                entry.ledger.reset();
                entry.room.reset();
            }
        }
        if let Some((_, fraction)) = own {
            self.share_out_rate(key, fraction, now);
            self.share_out_room(key, fraction, now);
        }
    }

    /// Grants what an endpoint's rate allows by now.
    fn share_out_rate(&mut self, key: Key, fraction: f64, now: Time) {
        let me = self.options.node;
        let Some((entry, rate)) = self.rates.named_mut(key) else {
            return;
        };
        if let Some(demand) = entry.allowance.take_demand(now) {
            entry.ledger.demand(me, demand, now);
        }
        let nodes = entry.ledger.share_out(rate.max(MIN_RATE) * fraction, now);
        for node in nodes {
            if node == me {
                entry.allowance.deposit(1, now);
            } else {
                self.grants.push(Grant {
                    receiver: node,
                    endpoint: key,
                    number: None,
                });
            }
        }
    }

    /// Applies the reports, demands and grants in a peer's heartbeat.
    pub(super) fn receive_rates(&mut self, beat: &beat::Beat, now: Time) {
        for report in &beat.rates {
            if self.find(report.endpoint).is_err() {
                continue;
            }
            let age = Time::from_millis(report.age_ms.into());
            let limit = Limit {
                terms: Terms {
                    rate: report.named.then(|| f64::from(report.millis) / 1e3),
                    rejections: report.is_brittle.then_some(report.rejections),
                },
                observed: now.saturating_sub(age),
            };
            if let Some(news) = self.rates.receive(report.endpoint, limit) {
                self.rate_news.push(news);
            }
        }
        let node = Node::from(beat.node);
        for demand in &beat.demands {
            let (key, count) = (demand.endpoint, demand.count);
            let rank = demand.rank;
            let request = Demand { rank, count };
            if demand.places {
                if let Some(entry) = self.rates.brittle_mut(key) {
                    entry
                        .room
                        .report(node, demand.held, demand.seen, demand.rejected, now);
                    if count > 0 {
                        entry.room.demand(node, request, now);
                    }
                    self.share_out(key, now);
                }
            } else if let Some((entry, _)) = self.rates.named_mut(key) {
                entry.ledger.demand(node, request, now);
                self.share_out(key, now);
            }
        }
        for grant in &beat.grants {
            if grant.places {
                if let Some(entry) = self.rates.brittle_mut(grant.endpoint) {
                    entry.places.deposit(grant.count, now);
                    entry.seen = grant.number;
                }
            } else if let Some((entry, _)) = self.rates.named_mut(grant.endpoint) {
                entry.allowance.deposit(grant.count, now);
            }
        }
    }

    /// Grants what the rates allow, and returns the messages with demands and grants that are due.
    pub(super) fn rate_messages(&mut self, now: Time) -> Vec<Broadcast> {
        let keys: Vec<Key> = self.rates.named().map(|entry| entry.endpoint).collect();
        let mut demands: Vec<(Node, beat::Demand)> = Vec::new();
        for key in keys {
            self.share_out(key, now);
            demands.extend(self.due_demand(key, now));
            demands.extend(self.due_report(key, now));
        }
        let grants = std::mem::take(&mut self.grants);
        if demands.is_empty() && grants.is_empty() {
            return Vec::new();
        }
        let status = self.status(now);
        let mut messages = self.grant_messages(grants, &status);
        for batch in batch::by_receiver(demands, MAX_ENTRIES) {
            let mut beat = self.fleet.message(&status);
            beat.demands = batch.entries;
            messages.push(Broadcast::to(batch.receiver, beat));
        }
        messages
    }

    /// Returns the messages that tell other nodes of grants.
    fn grant_messages(&mut self, mut grants: Vec<Grant>, status: &Status) -> Vec<Broadcast> {
        grants.sort_unstable();
        let equal = grants.chunk_by(Grant::is_like);
        let counted = equal.map(|equal| {
            let last = equal[equal.len() - 1];
            let grant = beat::Grant {
                endpoint: last.endpoint,
                count: equal.len() as u32,
                places: last.number.is_some(),
                number: last.number.unwrap_or_default(),
            };
            (last.receiver, grant)
        });
        let mut messages = Vec::new();
        for batch in batch::by_receiver(counted.collect(), MAX_ENTRIES) {
            let mut beat = self.fleet.message(status);
            beat.grants = batch.entries;
            messages.push(Broadcast::to(batch.receiver, beat));
        }
        messages
    }

    /// Returns the message that tells a node of its grants, which it has just demanded.
    pub(super) fn grants_to(&mut self, node: Node, now: Time) -> Vec<beat::Beat> {
        let own = |grant: &mut Grant| grant.receiver == node;
        let grants: Vec<Grant> = self.grants.extract_if(.., own).collect();
        if grants.is_empty() {
            return Vec::new();
        }
        let status = self.status(now);
        let messages = self.grant_messages(grants, &status).into_iter();
        messages.map(|message| message.beat).collect()
    }

    /// Returns this node's demand for an endpoint, and the node that shares out its rate.
    fn due_demand(&mut self, key: Key, now: Time) -> Option<(Node, beat::Demand)> {
        let (owner, _) = self.rate_owner(self.state(key)?, now)?;
        if owner == self.options.node {
            return None;
        }
        let (entry, _) = self.rates.named_mut(key)?;
        let Demand { rank, count } = entry.allowance.take_demand(now)?;
        let demand = beat::Demand {
            endpoint: key,
            rank,
            count,
            places: false,
            held: 0,
            rejected: 0,
            seen: 0,
        };
        Some((owner, demand))
    }

    /// Returns the reports of rates for a heartbeat; `turn` shifts the choice if there are many.
    pub(super) fn rate_reports(&self, turn: usize, now: Time) -> Vec<beat::Rate> {
        /// Number of rates that are sent.
        const MAX_RATES: usize = 8;
        let reports = self.rates.reports(MAX_RATES, turn, now).into_iter();
        let reports = reports.map(|(endpoint, limit, age)| beat::Rate {
            endpoint,
            named: limit.terms.rate.is_some(),
            millis: (limit.terms.rate.unwrap_or_default() * 1e3).round() as u32,
            is_brittle: limit.terms.rejections.is_some(),
            rejections: limit.terms.rejections.unwrap_or_default(),
            age_ms: millis(age),
        });
        reports.collect()
    }
}
