//! Requests that wait for room at this node, in the order in which they get it.

use std::time::Duration;

use crate::id::Time;

/// Number that identifies a waiting request at its node.
pub type Ticket = u64;

/// Place of a waiting request; the smallest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    /// Urgency; 0 is first.
    pub rank: u8,
    /// Whether others of the class go first: a repeat, or a request of a hot organisation.
    pub is_postponed: bool,
    /// Time of arrival.
    pub arrived: Time,
}

#[derive(Clone, Debug)]
struct Entry {
    service: String,
    order: Order,
    ticket: Ticket,
    /// Time until which the request has to look for room again, or else its caller has gone.
    until: Time,
}

/// Waiting requests, sorted by service, order and ticket.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: Vec<Entry>,
    last_ticket: Ticket,
}

impl Queue {
    /// Returns a number for a request that begins to wait.
    pub fn ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Puts a request at its place, or renews it there.
    pub fn wait(&mut self, service: &str, order: Order, ticket: Ticket, until: Time) {
        self.remove(ticket);
        let index = self
            .entries
            .partition_point(|entry| entry.key() < (service, order, ticket));
        let entry = Entry {
            service: service.to_owned(),
            order,
            ticket,
            until,
        };
        self.entries.insert(index, entry);
    }

    /// Removes a request that waits no longer.
    pub fn remove(&mut self, ticket: Ticket) {
        self.entries.retain(|entry| entry.ticket != ticket);
    }

    /// Returns the number of requests that get room of a service before one does.
    pub fn ahead(
        &mut self,
        service: &str,
        order: Order,
        ticket: Option<Ticket>,
        now: Time,
    ) -> usize {
        self.entries.retain(|entry| now <= entry.until);
        let key = (service, order, ticket.unwrap_or(Ticket::MAX));
        let first = self
            .entries
            .partition_point(|entry| entry.service.as_str() < service);
        let own = self.entries.partition_point(|entry| entry.key() < key);
        own - first
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the end of a waiting request's place, if it looks again after `delay`.
    #[must_use]
    pub fn lease(delay: Duration, now: Time) -> Time {
        /// Delay of a busy node in looking again, as a multiple of the regular one.
        const TOLERANCE: u32 = 4;
        now + delay * TOLERANCE
    }
}

impl Entry {
    fn key(&self) -> (&str, Order, Ticket) {
        (&self.service, self.order, self.ticket)
    }
}
