//! The gaps between the events of one stream at one endpoint.

use std::time::Duration;

use super::STALL_RATIO;

/// Most gaps that are kept; later ones replace the oldest.
const MAX_GAPS: usize = 16;

/// Fewest gaps that show what is usual for the stream.
const MIN_GAPS: usize = 4;

/// Long gaps in a row that show a stall; a single one comes also of a prompt that is read beside.
const STALL_GAPS: u32 = 2;

/// What a gap shows of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gap {
    /// Nothing new.
    Usual,
    /// The endpoint has stalled since the time before the gap's end that is given.
    Stalled(Duration),
    /// A stall that the stream has shown is over.
    Recovered,
}

/// The last gaps of a stream.
#[derive(Clone, Debug, Default)]
pub struct Gaps {
    /// Milliseconds.
    last: Vec<f32>,
    /// Position of the oldest gap.
    oldest: usize,
    /// Long gaps in a row, and the time that they took.
    long: (u32, Duration),
}

impl Gaps {
    /// Adds a gap and returns what it shows.
    pub fn add(&mut self, gap: Duration) -> Gap {
        let was_stalled = self.long.0 >= STALL_GAPS;
        let is_long = self
            .median_ms()
            .is_some_and(|median| gap.as_secs_f64() * 1e3 > median * STALL_RATIO);
        if is_long {
            self.long = (self.long.0 + 1, self.long.1 + gap);
        } else {
            self.long = (0, Duration::ZERO);
        }
        self.keep(gap);
        match self.long {
            (STALL_GAPS, time) => Gap::Stalled(time),
            (0, _) if was_stalled => Gap::Recovered,
            _ => Gap::Usual,
        }
    }

    /// Returns the median gap in milliseconds, if there were enough.
    #[must_use]
    pub fn median_ms(&self) -> Option<f64> {
        if self.last.len() < MIN_GAPS {
            return None;
        }
        let mut sorted = self.last.clone();
        sorted.sort_by(f32::total_cmp);
        Some(sorted[sorted.len() / 2].into())
    }

    fn keep(&mut self, gap: Duration) {
        let gap = gap.as_secs_f32() * 1e3;
        if self.last.len() < MAX_GAPS {
            self.last.push(gap);
        } else {
            self.last[self.oldest] = gap;
            self.oldest = (self.oldest + 1) % MAX_GAPS;
        }
    }
}
