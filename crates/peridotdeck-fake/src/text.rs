//! The text that engines generate: a function of the prompt alone.
//!
//! So a caller can compute the whole answer that it must receive, and an answer that is crossed,
//! mixed or cut shows at once.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of an answer whose prompt names no length.
const DEFAULT_TOKENS: u32 = 32;

/// Bytes of text that count as one prompt token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Words that crash each engine that begins to answer a prompt with them.
pub const DEADLY: &str = "divide the stage by zero";

const SYLLABLES: [&str; 16] = [
    "la", "mi", "ro", "té", "sön", "ba", "ku", "de", "vi", "نو", "pa", "gri", "لا", "fe", "ω", "zu",
];

/// Returns the output tokens that a prompt asks for: the number after the word "about".
#[must_use]
pub fn tokens(prompt: &str, max_tokens: u32) -> u32 {
    let mut words = prompt.split_whitespace();
    let asked = words
        .by_ref()
        .find(|word| *word == "about")
        .and_then(|_| words.next())
        .and_then(|word| word.parse().ok())
        .unwrap_or(DEFAULT_TOKENS);
    if max_tokens == 0 {
        asked
    } else {
        asked.min(max_tokens)
    }
}

/// Returns one token of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    let digest = xxh3_64_with_seed(prompt.as_bytes(), index.into());
    let syllable = |shift: u32| SYLLABLES[(digest >> shift) as usize % SYLLABLES.len()];
    format!("{}{} ", syllable(0), syllable(8))
}

/// Returns the whole answer to a prompt.
#[must_use]
pub fn answer(prompt: &str, max_tokens: u32) -> String {
    (0..tokens(prompt, max_tokens))
        .map(|index| token(prompt, index))
        .collect()
}
