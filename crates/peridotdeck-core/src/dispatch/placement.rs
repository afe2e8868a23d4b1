//! Scores of endpoints for a request, and the reasons that exclude an endpoint.
//!
//! Every endpoint that may take the request gets a score in milliseconds, and the lowest wins. The
//! score adds up the expected time to the first answer, the endpoint's own work, the delay of other
//! requests there, and the cost of repeated prefill, of moving cached prompts and of crossing
//! regions, each expressed as time. A cached prefix is used at the endpoint that holds it if that
//! one is near and free. Otherwise a near and free endpoint can fetch it from there.

mod cached_tokens;
mod estimate;
mod exclusion;

use std::{cmp::Reverse, time::Duration};

use super::{
    Key,
    config::{Model, Service},
    endpoint::{CHANCE_FAILURE_SHARE, Load, State},
    flight::Flight,
    lending::Levels,
    speed::{Pace, Usual},
};
use crate::id::Time;

use cached_tokens::MIN_FETCH_TOKENS;

pub use cached_tokens::CachedTokens;
pub use estimate::Estimate;
pub use exclusion::Exclusion;

/// Prefill rate of an engine in prompt tokens per millisecond, before its slowdown is applied.
const PREFILL_TOKENS_PER_MS: f64 = 80.0;

/// Time to the first token of an idle engine in milliseconds, without prefill.
const FIRST_TOKEN_MS: f64 = 45.0;

/// Round-trip time to an endpoint in another region, in milliseconds.
const OTHER_REGION_RTT_MS: f64 = 60.0;

/// Round-trip time to an endpoint in the same region, in milliseconds.
const SAME_REGION_RTT_MS: f64 = 1.0;

/// Score of an endpoint in another region, in addition to the round-trip time.
///
/// Traffic between regions is paid by volume. The load there is also known late, so many nodes may
/// choose the same endpoint at once.
const OTHER_REGION_SCORE_MS: f64 = 120.0;

/// Score of an endpoint in another data centre of the same region.
const OTHER_DATA_CENTRE_SCORE_MS: f64 = 40.0;

/// Score of the repeated prefill of a thousand tokens, in addition to the time.
const REREAD_SCORE_MS_PER_K: f64 = 110.0;

/// Score of fetching a thousand cached tokens, in addition to the time.
const FETCH_SCORE_MS_PER_K: f64 = 25.0;

/// Time to set up a fetch between engines, in milliseconds.
const FETCH_SETUP_MS: f64 = 8.0;

/// Score of the expected time to the first answer, for each target of the route.
const WAIT_SCORE_MS: f64 = 200.0;

/// Share of the target up to which an expected answer counts as safely on time.
const SAFE_TARGET_SHARE: f64 = 0.6;

/// Additional score of the time beyond the safe share, for each target of the route.
const LATE_SCORE_MS: f64 = 2_000.0;

/// Share of a request's prefill time by which it delays each urgent stream at the endpoint.
const URGENT_DELAY_SHARE: f64 = 0.3;

/// Most urgent streams whose delay by a prefill counts.
const MAX_DELAYED_STREAMS: u32 = 8;

/// Most queued tokens that an engine reads in full before an urgent request.
const URGENT_QUEUE_TOKENS: u32 = 4_096;

/// Share of further queued tokens that still delays an urgent request.
const URGENT_QUEUE_SHARE: f64 = 0.3;

/// Share of a request's prefill time by which it delays each running request at the endpoint.
const BATCH_DELAY_SHARE: f64 = 0.04;

/// Score of each running request at the endpoint, as a larger batch slows down every token.
const CONCURRENCY_SCORE_MS: f64 = 4.0;

/// Score, for a gap-sensitive stream, of queued prefill that fills the allowed token gap.
const PREFILL_GAP_SCORE_MS: f64 = 1_000.0;

/// Score, for a prompt whose prefill fills the allowed token gap, of each urgent stream there.
const STREAM_GAP_SCORE_MS: f64 = 300.0;

/// Most urgent streams at one endpoint whose token gaps count.
const MAX_GAP_STREAMS: u32 = 16;

/// Share of the allowed token gap that prefill may fill; decoding takes the rest.
const PREFILL_GAP_SHARE: f64 = 0.6;

/// Share of the prefill's part of a token gap up to which prefill is not noticed.
const HARMLESS_GAP_SHARE: f64 = 0.5;

/// Largest score by which all nodes prefer the same endpoints, to co-locate gap-sensitive streams.
const CO_LOCATION_SCORE_MS: f64 = 300.0;

/// Score of an endpoint whose attempts all fail, in targets of the route.
const FAILURE_TARGETS: f64 = 5.0;

/// Score of an endpoint whose connection has just broken without an answer.
const SUSPECTED_SCORE_MS: f64 = 80.0;

/// Score of an endpoint that has left a request unanswered; one in another region is better.
const SILENT_SCORE_MS: f64 = 500.0;

/// Inputs of a placement other than the request.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// All endpoints, sorted by key.
    pub states: &'a [State],
    /// Cached tokens of the prompt at each endpoint, in the order of `states`.
    pub cached: &'a [CachedTokens],
    /// Largest counts of cached tokens at any endpoint.
    pub most_cached: CachedTokens,
    /// Indexes in `states` of the endpoints from which cached tokens can be fetched.
    pub sources: &'a [usize],
    /// Tokens of the prompt's beginning that were recently used at any endpoint.
    pub recent: u32,
    /// Shortest token gap allowed to the service's gap-sensitive streams, if there are any.
    ///
    /// A stream is gap-sensitive if long prompts at its endpoint delay its tokens too much.
    pub max_token_gap: Option<Duration>,
    /// Whether the request is a gap-sensitive stream.
    pub gap_sensitive: bool,
    /// Name of the node's data centre.
    pub data_centre: &'a str,
    /// Name of the node's region.
    pub region: &'a str,
    /// Mean time to the service's answers in milliseconds, for services without a model.
    pub plain_ms: f64,
    /// Mean time to the end of the service's answers in milliseconds.
    pub whole_answer_ms: f64,
    /// Median slowdown of the service's endpoints.
    pub median_slowdown: f64,
    /// Usual speed of the service's endpoints, if lasting speeds and stalls are told apart.
    pub usual: Option<Usual>,
    /// Use of the service's endpoints by data centre, if data centres lend each other room.
    pub levels: Option<&'a Levels<'a>>,
    /// Load that is assumed at each endpoint beside the known one.
    pub assumed: Load,
    /// Time of the placement.
    pub now: Time,
}

impl View<'_> {
    /// Returns the state of an endpoint.
    #[must_use]
    pub fn state(&self, key: Key) -> Option<&State> {
        let index = self
            .states
            .binary_search_by_key(&key, |state| state.key)
            .ok()?;
        Some(&self.states[index])
    }

    /// Estimates how an endpoint would serve a request, with a fetch if that is better.
    #[must_use]
    pub fn estimate(&self, state: &State, flight: &Flight, service: &Service) -> Estimate {
        let Some(model) = &service.model else {
            return self.add_common_score(self.estimate_plain(state), state, flight);
        };
        let without_fetch = self.estimate_model(state, flight, model, None);
        let without_fetch = self.add_common_score(without_fetch, state, flight);
        let Some(source) = self.find_source(state, flight, without_fetch.cached) else {
            return without_fetch;
        };
        let with_fetch = self.estimate_model(state, flight, model, Some(source));
        let with_fetch = self.add_common_score(with_fetch, state, flight);
        if with_fetch.score < without_fetch.score {
            with_fetch
        } else {
            without_fetch
        }
    }

    /// Adds the parts of the score that apply to endpoints with and without a model.
    fn add_common_score(&self, mut estimate: Estimate, state: &State, flight: &Flight) -> Estimate {
        let target_ms = flight.route.target.as_secs_f64() * 1e3;
        let first_ms = estimate.time_to_first.as_secs_f64() * 1e3;
        let share = first_ms / target_ms.max(1.0);
        estimate.score +=
            WAIT_SCORE_MS * share + LATE_SCORE_MS * (share - SAFE_TARGET_SHARE).max(0.0);
        let failing = (state.failure_rate(self.now) - CHANCE_FAILURE_SHARE).max(0.0);
        estimate.score += failing * FAILURE_TARGETS * target_ms;
        estimate.score += self.crossing_score(state, flight);
        if state.path.is_suspected() {
            estimate.score += SUSPECTED_SCORE_MS;
        }
        if state.is_silent(self.now) {
            estimate.score += SILENT_SCORE_MS;
        }
        estimate
    }

    /// Returns the score for leaving the node's data centre or region.
    fn crossing_score(&self, state: &State, flight: &Flight) -> f64 {
        let other = state.info.data_centre.as_str();
        let fixed = if state.region != self.region {
            OTHER_REGION_SCORE_MS
        } else if other != self.data_centre {
            OTHER_DATA_CENTRE_SCORE_MS
        } else {
            return 0.0;
        };
        let share = self.levels.map_or(1.0, |levels| {
            levels.crossing_share(self.data_centre, other, flight.prompt.tokens)
        });
        fixed * share
    }

    /// Returns the factor on an endpoint's expected times.
    ///
    /// It is the median slowdown of the service, times the endpoint's own relative slowdown if that
    /// is significant. So a slowdown of the whole service favours no endpoint.
    fn slowdown(&self, state: &State) -> f64 {
        /// Factor up to which a relative slowdown counts as measurement noise.
        const TOLERANCE: f64 = 1.5;
        let slowdown = state.slowdown() / self.median_slowdown.max(0.1);
        self.median_slowdown.clamp(0.5, 3.0) * if slowdown > TOLERANCE { slowdown } else { 1.0 }
    }

    /// Returns the factors on an endpoint's expected times, relative to usual endpoints.
    ///
    /// Without lasting speeds they are 1, and [`Self::slowdown`] has what is known.
    fn pace(&self, state: &State) -> Pace {
        let pace = self.usual.map(|usual| usual.pace(&state.speed, self.now));
        pace.unwrap_or(Pace::EVEN)
    }

    /// Returns the factor on the expected times of all endpoints, or of one without a lasting speed.
    fn common_slowdown(&self, state: &State) -> f64 {
        match self.usual {
            Some(_) => self.median_slowdown.clamp(0.5, 3.0),
            None => self.slowdown(state),
        }
    }

    /// Returns the load that a request would meet at an endpoint.
    fn load(&self, state: &State) -> Load {
        let mut load = state.load();
        load.add(self.assumed);
        load
    }

    fn round_trip_ms(&self, state: &State) -> f64 {
        if state.region == self.region {
            SAME_REGION_RTT_MS
        } else {
            OTHER_REGION_RTT_MS
        }
    }

    fn estimate_plain(&self, state: &State) -> Estimate {
        let load = self.load(state);
        let slots = f64::from(state.info.slots.max(1));
        let batches = (f64::from(load.running.saturating_add(1)) / slots).max(1.0);
        let pace = self.pace(state);
        let work_ms = self.plain_ms * batches;
        let overhead_ms = self.round_trip_ms(state) + pace.stall_ms;
        let first_ms = overhead_ms + work_ms * self.common_slowdown(state) * pace.reading;
        // Spreads requests over the endpoints by their speed before their queues grow.
        let score = self.plain_ms * f64::from(load.running) / slots * pace.reading;
        Estimate {
            score,
            time_to_first: Duration::from_secs_f64(first_ms / 1e3),
            work_ms: work_ms as f32,
            overhead_ms: overhead_ms as f32,
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
            Some((holder, tokens)) => {
                (tokens, self.fetch_ms(state, holder, tokens - cached, model))
            }
            None => (cached, 0.0),
        };
        let unread = flight.prompt.tokens.saturating_sub(known);
        let load = self.load(state);
        let ahead = if flight.urgent {
            let first = load.unread.min(URGENT_QUEUE_TOKENS);
            f64::from(first) + URGENT_QUEUE_SHARE * f64::from(load.unread - first)
        } else {
            f64::from(load.unread)
        };
        let prefill_ms = f64::from(unread) / PREFILL_TOKENS_PER_MS;
        let excess = f64::from(load.running.saturating_add(1).saturating_sub(model.slots));
        let queueing_ms = self.whole_answer_ms * excess / f64::from(model.slots.max(1));
        let pace = self.pace(state);
        let step_ms = FIRST_TOKEN_MS + queueing_ms;
        let reading_ms = ahead / PREFILL_TOKENS_PER_MS + prefill_ms;
        let work_ms = step_ms + reading_ms;
        let paced_ms = step_ms * pace.step + reading_ms * pace.reading;
        let overhead_ms = self.round_trip_ms(state) + fetch_ms + pace.stall_ms;
        let first_ms = overhead_ms + paced_ms * self.common_slowdown(state);
        let mut score = prefill_ms
            + URGENT_DELAY_SHARE * prefill_ms * f64::from(load.urgent.min(MAX_DELAYED_STREAMS));
        score += (BATCH_DELAY_SHARE * prefill_ms + CONCURRENCY_SCORE_MS * pace.step)
            * f64::from(load.running);
        score += self.cache_score(known, known - cached);
        score += self.prefill_interference(state, load, prefill_ms);
        Estimate {
            score,
            time_to_first: Duration::from_secs_f64(first_ms / 1e3),
            work_ms: work_ms as f32,
            overhead_ms: overhead_ms as f32,
            cached,
            unread,
            cached_anywhere: self.most_cached.sent,
            source: source.map(|(holder, _)| holder),
        }
    }

    /// Returns the score of token gaps that long prefill causes in gap-sensitive streams.
    ///
    /// These are the request itself if it is one, or else the urgent streams at the endpoint.
    fn prefill_interference(&self, state: &State, load: Load, prefill_ms: f64) -> f64 {
        let Some(gap) = self.max_token_gap else {
            return 0.0;
        };
        let budget_ms = gap.as_secs_f64() * 1e3 * PREFILL_GAP_SHARE;
        let slowdown = self.common_slowdown(state) * self.pace(state).reading;
        let harm = |prefill_ms: f64| {
            let share = prefill_ms * slowdown / budget_ms;
            ((share - HARMLESS_GAP_SHARE) / (1.0 - HARMLESS_GAP_SHARE)).clamp(0.0, 1.0)
        };
        let queued_ms = f64::from(load.unread) / PREFILL_TOKENS_PER_MS;
        if self.gap_sensitive {
            return PREFILL_GAP_SCORE_MS * harm(queued_ms)
                + CO_LOCATION_SCORE_MS * key_fraction(state.key);
        }
        let streams = f64::from(load.urgent.min(MAX_GAP_STREAMS));
        STREAM_GAP_SCORE_MS * streams * harm(queued_ms + prefill_ms)
    }

    /// Returns the score of repeated prefill of recently used tokens and of fetching cached ones.
    fn cache_score(&self, known: u32, fetched: u32) -> f64 {
        let reread = self.recent.saturating_sub(known);
        (f64::from(reread) * REREAD_SCORE_MS_PER_K + f64::from(fetched) * FETCH_SCORE_MS_PER_K)
            / 1e3
    }

    /// Returns the tokens of the prompt's beginning that were sent to an endpoint.
    fn cached_tokens(&self, key: Key) -> u32 {
        let index = self.states.binary_search_by_key(&key, |state| state.key);
        index
            .ok()
            .and_then(|index| self.cached.get(index))
            .map_or(0, |held| held.sent)
    }

    /// Returns the endpoint to fetch the prompt's beginning from, with its number of cached tokens.
    ///
    /// The most cached tokens decide, then a location in the same data centre, then the least load.
    fn find_source(&self, state: &State, flight: &Flight, cached: u32) -> Option<(Key, u32)> {
        let least = cached.saturating_add(MIN_FETCH_TOKENS);
        if self.most_cached.read < least {
            return None;
        }
        let others = self
            .sources
            .iter()
            .map(|&index| (&self.states[index], &self.cached[index]));
        others
            .filter(|(other, held)| held.read >= least && Self::may_fetch(state, other, flight))
            .max_by_key(|(other, held)| {
                let near = other.info.data_centre == state.info.data_centre;
                (held.read, near, Reverse(other.load().unread), other.key)
            })
            .map(|(other, held)| (other.key, held.read))
    }

    fn may_fetch(state: &State, other: &State, flight: &Flight) -> bool {
        let same_service = other.info.service == state.info.service;
        let same_software = other.software == state.software;
        same_service
            && same_software
            && !other.path.is_lost()
            && !other.path.is_suspected()
            && flight.regions.allows(&other.region)
    }

    fn fetch_ms(&self, state: &State, source: Key, tokens: u32, model: &Model) -> f64 {
        let Some(other) = self.state(source) else {
            return 0.0;
        };
        let bits = f64::from(tokens) * model.token_bytes * 8.0;
        let transfer = bits / (model.link_mbps.max(1.0) * 1e3);
        if other.info.data_centre == state.info.data_centre {
            FETCH_SETUP_MS + transfer
        } else {
            FETCH_SETUP_MS + 2.0 * transfer + OTHER_REGION_RTT_MS
        }
    }
}

/// Returns a pseudo-random number from 0 to 1 for an endpoint, the same at every node.
fn key_fraction(key: Key) -> f64 {
    /// Odd factor that permutes the keys.
    const MULTIPLIER: Key = 0x9e37_79b1;
    f64::from(key.wrapping_mul(MULTIPLIER)) / f64::from(Key::MAX)
}
