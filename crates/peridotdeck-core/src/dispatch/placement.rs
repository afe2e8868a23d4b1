//! Which endpoint gets a request, or why none does.
//!
//! Every endpoint that may take the request is given a score in milliseconds, and the lowest wins.
//! The score adds the expected time to the first answer, the endpoint's own work, what the request
//! does to others there, and what reading a prompt again, moving cached prompts and crossing regions
//! are worth in time. A cached prefix is used where it lies if that is near and free, or fetched
//! from there by the endpoint that is.

use std::{cmp::Reverse, time::Duration};

use strum::{Display, IntoStaticStr};

use super::{
    Key,
    config::{Model, Service},
    endpoint::{Load, State},
    flight::Flight,
};
use crate::id::Time;

/// Prompt tokens that an engine reads in a millisecond, before its pace is known.
const READ_PER_MS: f64 = 80.0;

/// Time from a request to the first token of an idle engine, without reading.
const FIRST_MS: f64 = 45.0;

/// Round trip to an endpoint in another region.
const FAR_MS: f64 = 60.0;

/// Round trip to an endpoint in the same region.
const NEAR_MS: f64 = 1.0;

/// What crossing into another region is worth beside the time: traffic there is paid by volume, and
/// the load there is known late, so many nodes may choose the same endpoint at once.
const REGION_SCORE: f64 = 120.0;

/// What crossing into another data centre of the region is worth.
const PLACE_SCORE: f64 = 40.0;

/// What reading a thousand tokens again is worth beside the time.
const REREAD_SCORE_PER_K: f64 = 110.0;

/// What moving a thousand cached tokens is worth beside the time.
const FETCH_SCORE_PER_K: f64 = 25.0;

/// Time to begin a fetch between engines.
const FETCH_MS: f64 = 8.0;

/// Missing tokens below which a fetch is not worth its beginning.
const FETCH_TOKENS: u32 = 100;

/// Score of a target's worth of waiting as long as the answer is safely on time.
const WAIT_SCORE: f64 = 200.0;

/// Part of the target up to which an expected answer counts as safely on time.
const SAFE_PART: f64 = 0.6;

/// Score of a target's worth of waiting beyond that.
const LATE_SCORE: f64 = 2_000.0;

/// Part of the reading time that a request costs each urgent stream beside it.
const DISTURBANCE: f64 = 0.3;

/// Urgent streams that count for that.
const MOST_DISTURBED: u32 = 8;

/// Unread tokens that an engine puts before an urgent request.
const AHEAD_OF_URGENT: u32 = 4_096;

/// Part of the other unread tokens that still delays an urgent request.
const BEHIND_URGENT: f64 = 0.3;

/// Part of the reading time that a request costs each other stream beside it.
const SLOWDOWN: f64 = 0.04;

/// Score of each request that runs already: it slows the others' tokens.
const COMPANY_SCORE: f64 = 4.0;

/// Score of an endpoint that reads without a break, for a stream that is late beside that.
const NOISE_SCORE: f64 = 1_000.0;

/// Score of each such stream at an endpoint, for a prompt that makes the endpoint read so long.
const INTRUSION_SCORE: f64 = 300.0;

/// Such streams at one endpoint that count.
const MOST_INTRUDED: u32 = 16;

/// Part of the allowed pause that reading may fill; the rest is for the tokens themselves.
const READING_PART: f64 = 0.6;

/// Part of that up to which nobody notices.
const UNNOTICED_PART: f64 = 0.5;

/// Largest score by which such streams prefer some endpoints to others, so that they meet there.
const MEETING_SCORE: f64 = 300.0;

/// Score of an endpoint all of whose attempts fail, in targets of the route.
const FAILURE_TARGETS: f64 = 5.0;

/// Part of failures that any endpoint may show by chance.
const CHANCE: f64 = 0.15;

/// Score of an endpoint whose connection has just ended without a word.
const SUSPICION_SCORE: f64 = 80.0;

/// Longest target of an urgent stream.
pub const URGENT: Duration = Duration::from_millis(500);

/// Why an endpoint cannot take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Exclusion {
    /// It belongs to another service.
    Service,
    /// A region that may not serve the request.
    Region,
    /// Its data centre is taken out.
    Closed,
    /// It is about to leave.
    Draining,
    /// The request has been there.
    Tried,
    /// It could not be reached lately.
    Resting,
    /// It is cold, and another node counts what it bears.
    ColdElsewhere,
    /// It is cold and bears no more now.
    Cold,
}

/// What one endpoint would do for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Score in milliseconds; lower is better.
    pub score: f64,
    /// Expected time to the answer or to the first event.
    pub time_to_first: Duration,
    /// Prompt tokens that it has read already.
    pub cached: u32,
    /// Prompt tokens that it will read.
    pub unread: u32,
    /// Prompt tokens that some endpoint has read already.
    pub cached_anywhere: u32,
    /// Where it should fetch the beginning of the prompt from.
    pub source: Option<Key>,
}

/// Tokens of a prompt's beginning that an endpoint holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CachedTokens {
    /// Tokens that have been sent to it, so that it has read them when its turn comes.
    pub sent: u32,
    /// Tokens that it has surely read, so that another endpoint can fetch them.
    pub read: u32,
}

impl CachedTokens {
    /// Returns the larger part of either.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            sent: self.sent.max(other.sent),
            read: self.read.max(other.read),
        }
    }
}

/// What a placement looks at beside the request.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// All endpoints, sorted by key.
    pub states: &'a [State],
    /// What each of the endpoints holds of the prompt's beginning.
    pub cached: &'a [CachedTokens],
    /// The most that any of them holds.
    pub most_cached: CachedTokens,
    /// Tokens of the prompt's beginning that some endpoint has used lately.
    pub recent: u32,
    /// Shortest pause that is allowed to streams which are late beside long prompts, if any are.
    pub max_token_gap: Option<Duration>,
    /// Whether the request is such a stream.
    pub gap_sensitive: bool,
    /// The node's own data centre.
    pub data_centre: &'a str,
    /// The node's own region.
    pub region: &'a str,
    /// Mean time of the service's answers in milliseconds, for services without a model.
    pub plain_ms: f64,
    /// Mean time of the service's whole answers in milliseconds.
    pub whole_answer_ms: f64,
    /// Median pace of the service's endpoints.
    pub median_slowdown: f64,
    /// The time.
    pub now: Time,
}

impl View<'_> {
    /// Returns the state of an endpoint.
    #[must_use]
    pub fn state(&self, key: Key) -> Option<&State> {
        let at = self
            .states
            .binary_search_by_key(&key, |each| each.key)
            .ok()?;
        Some(&self.states[at])
    }

    /// Estimates what an endpoint would do for a request.
    #[must_use]
    pub fn estimate(&self, state: &State, flight: &Flight, service: &Service) -> Estimate {
        let Some(model) = &service.model else {
            return self.weigh(self.estimate_plain(state), state, flight);
        };
        let reading = self.estimate_model(state, flight, model, None);
        let reading = self.weigh(reading, state, flight);
        let Some(source) = self.source(state, flight, reading.cached) else {
            return reading;
        };
        let fetching = self.estimate_model(state, flight, model, Some(source));
        let fetching = self.weigh(fetching, state, flight);
        if fetching.score < reading.score {
            fetching
        } else {
            reading
        }
    }

    /// Adds what holds for every kind of endpoint to a score.
    fn weigh(&self, mut estimate: Estimate, state: &State, flight: &Flight) -> Estimate {
        let target = flight.route.target.as_secs_f64() * 1e3;
        let first = estimate.time_to_first.as_secs_f64() * 1e3;
        let part = first / target.max(1.0);
        estimate.score += WAIT_SCORE * part + LATE_SCORE * (part - SAFE_PART).max(0.0);
        let failing = (state.failure_rate(self.now) - CHANCE).max(0.0);
        estimate.score += failing * FAILURE_TARGETS * target;
        if state.region != self.region {
            estimate.score += REGION_SCORE;
        } else if state.info.data_centre != self.data_centre {
            estimate.score += PLACE_SCORE;
        }
        if state.is_suspected() {
            estimate.score += SUSPICION_SCORE;
        }
        estimate
    }

    /// Returns how much slower an endpoint is than its peers; a slow day slows them all.
    fn slowdown(&self, state: &State) -> f64 {
        /// Differences within this factor are noise.
        const NOISE: f64 = 1.5;
        let pace = state.slowdown() / self.median_slowdown.max(0.1);
        self.median_slowdown.clamp(0.5, 3.0) * if pace > NOISE { pace } else { 1.0 }
    }

    fn path_ms(&self, state: &State) -> f64 {
        if state.region == self.region {
            NEAR_MS
        } else {
            FAR_MS
        }
    }

    fn estimate_plain(&self, state: &State) -> Estimate {
        let load = state.load();
        let slots = f64::from(state.info.slots.max(1));
        let rounds = (f64::from(load.running + 1) / slots).max(1.0);
        let first = self.path_ms(state) + self.plain_ms * rounds * self.slowdown(state);
        // Spreads requests over equal endpoints before their queues grow.
        let score = self.plain_ms * f64::from(load.running) / slots;
        Estimate {
            score,
            time_to_first: Duration::from_secs_f64(first / 1e3),
            cached: 0,
            unread: 0,
            cached_anywhere: 0,
            source: None,
        }
    }

    fn estimate_model(
        &self,
        state: &State,
        flight: &Flight,
        model: &Model,
        source: Option<(Key, u32)>,
    ) -> Estimate {
        let cached = self.cached_tokens(state.key);
        let (known, fetch_ms) = match source {
            Some((at, tokens)) => (tokens, self.fetch_ms(state, at, tokens - cached, model)),
            None => (cached, 0.0),
        };
        let unread = flight.prompt.tokens.saturating_sub(known);
        let load = state.load();
        let urgent = is_urgent(flight);
        let ahead = if urgent {
            let first = load.unread.min(AHEAD_OF_URGENT);
            f64::from(first) + BEHIND_URGENT * f64::from(load.unread - first)
        } else {
            f64::from(load.unread)
        };
        let reading = f64::from(unread) / READ_PER_MS;
        let beyond = f64::from((load.running + 1).saturating_sub(model.slots));
        let queueing = self.whole_answer_ms * beyond / f64::from(model.slots.max(1));
        let first = FIRST_MS + queueing + ahead / READ_PER_MS + reading;
        let first = self.path_ms(state) + fetch_ms + first * self.slowdown(state);
        let mut score =
            reading + DISTURBANCE * reading * f64::from(load.urgent.min(MOST_DISTURBED));
        score += (SLOWDOWN * reading + COMPANY_SCORE) * f64::from(load.running);
        score += self.moving_score(known, known - cached);
        score += self.interference(state, load, reading);
        Estimate {
            score,
            time_to_first: Duration::from_secs_f64(first / 1e3),
            cached,
            unread,
            cached_anywhere: self.most_cached.sent,
            source: source.map(|(at, _)| at),
        }
    }

    /// What long reading costs streams that are late beside it: those that run, or the request itself.
    fn interference(&self, state: &State, load: Load, reading: f64) -> f64 {
        let Some(gap) = self.max_token_gap else {
            return 0.0;
        };
        let room = gap.as_secs_f64() * 1e3 * READING_PART;
        let noticed = |reading: f64| {
            let part = reading * self.slowdown(state) / room;
            ((part - UNNOTICED_PART) / (1.0 - UNNOTICED_PART)).clamp(0.0, 1.0)
        };
        let before = f64::from(load.unread) / READ_PER_MS;
        if self.gap_sensitive {
            return NOISE_SCORE * noticed(before) + MEETING_SCORE * fraction(state.key);
        }
        let streams = f64::from(load.urgent.min(MOST_INTRUDED));
        INTRUSION_SCORE * streams * noticed(before + reading)
    }

    /// What is lost by reading again what some endpoint has read lately, and by moving it.
    fn moving_score(&self, known: u32, fetched: u32) -> f64 {
        let again = self.recent.saturating_sub(known);
        (f64::from(again) * REREAD_SCORE_PER_K + f64::from(fetched) * FETCH_SCORE_PER_K) / 1e3
    }

    /// Returns the tokens of the prompt's beginning that an endpoint holds.
    fn cached_tokens(&self, key: Key) -> u32 {
        let at = self.states.binary_search_by_key(&key, |each| each.key);
        at.ok()
            .and_then(|at| self.cached.get(at))
            .map_or(0, |held| held.sent)
    }

    /// Returns the nearest endpoint that holds the most of the prompt, and how much it holds.
    fn source(&self, state: &State, flight: &Flight, cached: u32) -> Option<(Key, u32)> {
        if self.most_cached.read < cached + FETCH_TOKENS {
            return None;
        }
        let others = self.states.iter().zip(self.cached);
        others
            .filter(|(other, held)| {
                held.read >= cached + FETCH_TOKENS && Self::may_fetch(state, other, flight)
            })
            .max_by_key(|(other, held)| {
                let near = other.info.data_centre == state.info.data_centre;
                (held.read, near, Reverse(other.load().unread), other.key)
            })
            .map(|(other, held)| (other.key, held.read))
    }

    fn may_fetch(state: &State, other: &State, flight: &Flight) -> bool {
        let same_service = other.info.service == state.info.service;
        same_service
            && !other.is_in_backoff()
            && !other.is_suspected()
            && flight.may_run_in(&other.region)
    }

    fn fetch_ms(&self, state: &State, source: Key, tokens: u32, model: &Model) -> f64 {
        let Some(other) = self.state(source) else {
            return 0.0;
        };
        let bits = f64::from(tokens) * model.token_bytes * 8.0;
        let transfer = bits / (model.link_mbps.max(1.0) * 1e3);
        if other.info.data_centre == state.info.data_centre {
            FETCH_MS + transfer
        } else {
            FETCH_MS + 2.0 * transfer + FAR_MS
        }
    }
}

/// Returns a number from 0 to 1 that is the same for an endpoint at every node.
fn fraction(key: Key) -> f64 {
    /// Odd factor that puts keys into an order of their own.
    const SHUFFLE: Key = 0x9e37_79b1;
    f64::from(key.wrapping_mul(SHUFFLE)) / f64::from(Key::MAX)
}

/// Returns whether a request is a stream with a short target.
#[must_use]
pub fn is_urgent(flight: &Flight) -> bool {
    flight.route.target <= URGENT && flight.prompt.tokens > 0
}
