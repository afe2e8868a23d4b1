//! Requests that arrive at nodes, wait, and are answered.

use peridotdeck_core::dispatch::{
    attempt::{End, Placement},
    flight::Flight,
    rate::Terms,
};
use rand::Rng;

use super::{ANSWER, Open, STEP, World, key};
use crate::dispatch::decoded_request;

impl World {
    /// Lets the endpoints answer: the head names the rate, then the request ends.
    pub(super) fn answer(&mut self) {
        let now = self.now;
        for open in &mut self.open {
            let Some(node) = &mut self.nodes[open.node] else {
                continue;
            };
            if !open.head_read && now >= open.attempt.sent() + ANSWER.0 {
                open.head_read = true;
                let found = self.endpoints.iter();
                let mut found = found.filter(|one| key(one) == open.attempt.key());
                let endpoint = found.next();
                let terms = Terms {
                    rate: endpoint.and_then(|endpoint| endpoint.rate),
                    rejections: endpoint.and_then(|endpoint| endpoint.brittle),
                };
                let news = node.record_terms(&open.attempt, terms, now);
                self.rate_changes += usize::from(news.is_some());
                node.record_answer_start(&mut open.attempt, false, &open.flight, now);
            }
        }
        let whole = |open: &mut Open| now >= open.attempt.sent() + ANSWER.1;
        let ended: Vec<Open> = self.open.extract_if(.., whole).collect();
        for open in ended {
            if let Some(node) = &mut self.nodes[open.node] {
                node.finish(&open.attempt, End::Finished, &open.flight, now);
            }
            self.end(open.node, &open.flight, true);
        }
    }

    pub(super) fn retry_waiting(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.waiting.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, node, flight) in due {
            self.place(node, flight);
        }
    }

    pub(super) fn arrive(&mut self) {
        let (reached, rate) = self.callers.clone();
        let expected = rate * STEP.as_secs_f64();
        for index in reached {
            for _ in 0..expected as usize {
                self.arrive_at(index);
            }
            if self.rng.random_bool(expected.fract()) {
                self.arrive_at(index);
            }
        }
    }

    fn arrive_at(&mut self, index: usize) {
        let urgent = self.rng.random_bool(self.urgent_share);
        let request = decoded_request(if urgent { "urgent" } else { "bulk" });
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        let mut flight = node.admit(request, 7, self.now).expect("admitted");
        flight.rank = u8::from(!urgent);
        self.place(index, flight);
    }

    pub(super) fn place(&mut self, index: usize, mut flight: Flight) {
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        match node.place(&mut flight, self.now) {
            Placement::Send(assignment) => {
                self.counts.sent += 1;
                let attempt = assignment.attempt;
                if self.fail_if_cut(index, &flight, &attempt) {
                    return;
                }
                if self.reject_if_full(index, &flight, &attempt) {
                    return;
                }
                let path = Self::path_of(index, &attempt);
                self.passed[path] += usize::from(path != index);
                let mut endpoints = self.endpoints.iter_mut();
                let endpoint = endpoints.find(|one| key(one) == attempt.key());
                let endpoint = endpoint.expect("only listed endpoints are used");
                endpoint.got.push((self.now, index, flight.rank));
                self.open.push(Open {
                    node: index,
                    flight,
                    attempt,
                    head_read: false,
                    path,
                });
            }
            Placement::Wait(delay) => {
                self.counts.waited += 1;
                self.waiting.push((self.now + delay.time, index, flight));
            }
            Placement::Refuse(..) => {
                self.counts.refused += 1;
                self.counts.refused_urgent += usize::from(flight.rank == 0);
                self.end(index, &flight, false);
            }
        }
    }
}
