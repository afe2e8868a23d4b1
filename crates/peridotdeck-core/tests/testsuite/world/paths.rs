//! Paths from nodes to endpoints that are lost, and what follows for probes, searches and requests.

use std::time::Duration;

use peridotdeck_core::dispatch::{
    Dispatcher, Key,
    attempt::{Attempt, End, Next},
    detour::Search,
    due::Due,
    flight::Flight,
};

use super::{Open, World, address};
use crate::dispatch::ms;

/// Time after which a connection that hangs is given up.
const CONNECT_TIMEOUT: Duration = ms(400);

/// Time after which the kernel gives up an open connection that is silent.
const KERNEL_TIMEOUT: Duration = ms(4_000);

/// Time to open a connection through a peer, and until a search asks the next one.
const SEARCH: (Duration, Duration) = (ms(60), ms(150));

/// How a node's paths are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// New connections are refused, and open ones are reset.
    Reset,
    /// New connections hang, and open ones are silent.
    Silent,
}

/// What happens to a node later.
pub(super) enum Event {
    Probed(Key, bool),
    Searched(Key, Option<usize>),
    Failed(Box<(Flight, Attempt, End)>),
}

/// A request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub node: usize,
    pub arrived: Duration,
    pub ended: Duration,
    pub served: bool,
}

impl World {
    /// Cuts a node's paths to all endpoints.
    pub fn cut(&mut self, node: usize, cut: Cut) {
        self.cuts.push((node, cut));
        let of_path = |open: &mut Open| open.path == node;
        let broken: Vec<Open> = self.open.extract_if(.., of_path).collect();
        let after = if cut == Cut::Reset {
            Duration::ZERO
        } else {
            KERNEL_TIMEOUT
        };
        for open in broken {
            let event = Event::Failed(Box::new((open.flight, open.attempt, End::Broken)));
            self.events.push((self.now + after, open.node, event));
        }
    }

    /// Restores the paths of all nodes.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(super) fn cut_of(&self, node: usize) -> Option<Cut> {
        let mut cuts = self.cuts.iter();
        cuts.find(|(other, _)| *other == node).map(|(_, cut)| *cut)
    }

    /// Returns the time after which a node finds out that no connection opens, if none does.
    fn failure_time(&self, node: usize) -> Option<Duration> {
        match self.cut_of(node)? {
            Cut::Reset => Some(Duration::ZERO),
            Cut::Silent => Some(CONNECT_TIMEOUT),
        }
    }

    /// Returns the node whose path an attempt uses.
    pub(super) fn path_of(node: usize, attempt: &Attempt) -> usize {
        attempt.detour().map_or(node, |peer| {
            (u32::from(peer) - u32::from(address(0))) as usize
        })
    }

    /// Fails an attempt if the path that it uses is cut; returns whether it did.
    pub(super) fn fail_if_cut(&mut self, node: usize, flight: &Flight, attempt: &Attempt) -> bool {
        let path = Self::path_of(node, attempt);
        let Some(time) = self.failure_time(path) else {
            return false;
        };
        let event = Event::Failed(Box::new((
            flight.clone(),
            attempt.clone(),
            End::Unreachable,
        )));
        self.events.push((self.now + time, node, event));
        true
    }

    /// Schedules the results of the probes and searches that are due.
    pub(super) fn schedule_paths(&mut self, node: usize, due: &Due) {
        for probe in &due.probes {
            self.probes += 1;
            let time = self.failure_time(node);
            let event = Event::Probed(probe.key, time.is_none());
            self.events
                .push((self.now + time.unwrap_or(ms(1)), node, event));
        }
        for search in &due.searches {
            let (found, time) = self.search(search);
            let event = Event::Searched(search.key, found);
            self.events.push((self.now + time, node, event));
        }
    }

    /// Returns the peer that answers a search, and after which time.
    fn search(&mut self, search: &Search) -> (Option<usize>, Duration) {
        let now = self.now;
        for (index, peer) in search.peers.iter().enumerate() {
            let peer = (u32::from(*peer) - u32::from(address(0))) as usize;
            let time = SEARCH.0 + SEARCH.1 * index as u32;
            if self.nodes[peer].is_some() && self.cut_of(peer).is_none() {
                return (Some(peer), time);
            }
            if let Some(dispatcher) = &mut self.nodes[peer] {
                dispatcher.record_unreachable(search.key, now);
            }
        }
        (None, SEARCH.1 * search.peers.len() as u32)
    }

    /// Lets the scheduled events take their course.
    pub(super) fn handle_events(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.events.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, index, event) in due {
            let Some(node) = &mut self.nodes[index] else {
                continue;
            };
            match event {
                Event::Probed(key, accepted) => {
                    node.record_probe(key, accepted, now);
                }
                Event::Searched(key, found) => {
                    node.record_search(key, found.map(address), now);
                }
                Event::Failed(failed) => {
                    let (mut flight, attempt, end) = *failed;
                    node.finish(&attempt, end, &flight, now);
                    if node.next_step(&mut flight, end, now) == Next::Retry {
                        self.place(index, flight);
                    } else {
                        self.end(index, &flight, false);
                    }
                }
            }
        }
    }

    /// Records the end of a request.
    pub(super) fn end(&mut self, node: usize, flight: &Flight, served: bool) {
        self.outcomes.push(Outcome {
            node,
            arrived: flight.arrived,
            ended: self.now,
            served,
        });
    }

    /// Returns the share of the requests that were served, of those that arrived in a span of time
    /// at nodes that `of` names.
    pub fn served(&self, from: Duration, to: Duration, of: impl Fn(usize) -> bool) -> f64 {
        let outcomes = self.outcomes.iter();
        let chosen = outcomes.filter(|one| (from..to).contains(&one.arrived) && of(one.node));
        let (mut served, mut all) = (0_usize, 0_u32);
        for outcome in chosen {
            all += 1;
            served += usize::from(outcome.served);
        }
        served as f64 / f64::from(all)
    }

    /// Returns the living nodes.
    pub fn alive(&self) -> impl Iterator<Item = &Dispatcher> {
        self.nodes.iter().flatten()
    }
}
