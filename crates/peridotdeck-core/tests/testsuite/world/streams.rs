//! Streams that begin, break and are taken up, and the caches that tell of them.

use peridotdeck_core::dispatch::{
    Key, Prefix,
    attempt::{End, Next, Placement},
};
use rand::Rng;

use super::{Open, STEP, World};
use crate::dispatch::decoded_request;

impl World {
    /// Begins a stream at a node, or takes up the one that the request `began` began.
    ///
    /// Returns the version of the endpoint that sends events, or none if the request is refused.
    /// Heartbeats are exchanged while the request waits.
    pub fn stream(&mut self, node: usize, id: &str, began: Option<&str>) -> Option<String> {
        self.stream_of(node, id, began, None)
    }

    /// Does the same with a prompt that has a part of its own, which its endpoint caches.
    pub fn stream_of(
        &mut self,
        node: usize,
        id: &str,
        began: Option<&str>,
        own: Option<Prefix>,
    ) -> Option<String> {
        let mut request = decoded_request("urgent");
        request.prompt.own = own;
        id.clone_into(&mut request.id);
        request.resumes = began.map(str::to_owned);
        let fingerprint = self.rng.random();
        let dispatcher = self.nodes[node].as_mut()?;
        let mut flight = dispatcher.admit(request, fingerprint, self.now).ok()?;
        loop {
            let dispatcher = self.nodes[node].as_mut()?;
            match dispatcher.place(&mut flight, self.now) {
                Placement::Send(assignment) => {
                    let version = assignment.version.clone();
                    assert_eq!(assignment.confirm, began.is_some(), "asked for its start");
                    let mut attempt = assignment.attempt;
                    self.cached.extend(own.map(|own| (attempt.key(), own)));
                    dispatcher.record_answer_start(&mut attempt, false, &flight, self.now);
                    dispatcher.begin_stream(&attempt, &mut flight, self.now);
                    self.open.push(Open {
                        node,
                        flight,
                        attempt,
                        head_read: true,
                        path: node,
                    });
                    return Some(version);
                }
                Placement::Wait(_) => self.run(STEP),
                Placement::Refuse(..) => return None,
            }
        }
    }

    /// Adds parts of prompts of their own to the caches of all endpoints.
    pub fn fill_caches(&mut self, parts: u64) {
        let keys = self.endpoints.iter().map(super::key);
        let filled = keys.flat_map(|key| {
            let first = u64::from(key) << 32;
            (first..first + parts).map(move |part| (key, part))
        });
        self.cached.extend(filled.collect::<Vec<_>>());
    }

    /// Lists the prompt parts that endpoints have cached, at a node that has started.
    pub fn list_caches(&mut self, node: usize) {
        let Some(dispatcher) = &self.nodes[node] else {
            return;
        };
        let keys: Vec<Key> = dispatcher.states().iter().map(|state| state.key).collect();
        self.answer_queries(node, &keys);
    }

    /// Lists the prompt parts that some endpoints have cached at a node.
    pub(super) fn answer_queries(&mut self, node: usize, keys: &[Key]) {
        let now = self.now;
        let Some(dispatcher) = &mut self.nodes[node] else {
            return;
        };
        let is_unlisted = |wanted: &Key| {
            let mut endpoints = self.endpoints.iter();
            let found = endpoints.find(|one| one.info.key() == *wanted);
            found.is_some_and(|one| self.unlisted.contains(&one.info.version.as_str()))
        };
        for key in keys.iter().filter(|wanted| !is_unlisted(wanted)) {
            let cached = self.cached.iter().filter(|(holder, _)| holder == key);
            let parts: Vec<Prefix> = cached.map(|(_, part)| *part).collect();
            dispatcher.record_cached(*key, &parts, now);
        }
    }

    /// Breaks the stream of a request, which its node resumes by itself.
    ///
    /// Returns the version of the endpoint that goes on, or none if the request is refused.
    pub fn break_stream(&mut self, id: &str) -> Option<String> {
        let found = self.open.iter().position(|open| open.flight.id == id);
        let mut open = self.open.remove(found.expect("an open stream"));
        let dispatcher = self.nodes[open.node].as_mut()?;
        dispatcher.finish(&open.attempt, End::Broken, &open.flight, self.now);
        if dispatcher.next_step(&mut open.flight, End::Broken, self.now) != Next::Retry {
            return None;
        }
        let Placement::Send(assignment) = dispatcher.place(&mut open.flight, self.now) else {
            return None;
        };
        let version = assignment.version.clone();
        open.attempt = assignment.attempt;
        dispatcher.record_answer_start(&mut open.attempt, false, &open.flight, self.now);
        dispatcher.begin_stream(&open.attempt, &mut open.flight, self.now);
        self.open.push(open);
        Some(version)
    }
}
