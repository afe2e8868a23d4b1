//! A whole answer stays whole, whatever its engine sends beside the words.

use async_std::task::block_on;

use crate::joined_streams::{ATTEMPT, Framing, MARKER, Scripts, WORDS, event};

/// Framings that show the end of an answer.
const FRAMINGS: [Framing; 2] = [Framing::Chunks, Framing::Length];

/// Answers of an engine, each with its name and what the caller of a stream sees of it.
type Cases = Vec<(String, String, String)>;

/// Plays each body in both framings, as a stream and as a collected completion.
fn play(cases: &Cases) {
    let differences = block_on(async {
        let scripts = Scripts::start().await;
        let mut differences = Vec::new();
        for (name, body, expected) in cases {
            for (framing, streams) in FRAMINGS.iter().flat_map(|&f| [(f, true), (f, false)]) {
                let answer = framing.answer(&(body.clone() + MARKER), "");
                let prompt = format!("{name} {framing:?} {streams}");
                let seen = scripts.play((&prompt, "counter"), &[answer], streams).await;
                let expected = if streams { expected } else { WORDS };
                if seen.as_deref() != Some(expected) {
                    differences.push(format!("{prompt}: {seen:?}"));
                }
            }
        }
        differences
    });
    let played = 2 * FRAMINGS.len() * cases.len();
    let count = differences.len();
    assert!(count == 0, "{count} of {played}: {differences:#?}");
}

/// Returns events with these numbers, of which 0 stands for none, and with the words from 1 on.
fn numbered(ids: [u32; 6]) -> String {
    let events = ids.iter().zip(1..);
    events
        .map(|(&id, word)| event(ATTEMPT, id, word, "null"))
        .collect()
}

/// Guards against an event without a number that is taken for a repeat of the one before it.
#[test]
fn stream_of_which_some_events_have_numbers_is_whole() {
    let cases = [
        ("first", [1, 0, 0, 0, 0, 0]),
        ("all but the last", [1, 2, 3, 4, 5, 0]),
        ("each second", [1, 0, 3, 0, 5, 0]),
        ("last", [0, 0, 0, 0, 0, 6]),
    ];
    let case = |(name, ids): (&str, _)| (name.to_owned(), numbered(ids), WORDS.to_owned());
    play(&cases.map(case).to_vec());
}

/// Guards against equal events without numbers that are taken for repeats of one.
#[test]
fn equal_events_without_numbers_are_no_repeats() {
    let chunk = r#"{"choices":[]}"#;
    let twice = format!("data: {chunk}\n\n").repeat(2);
    let first = event(ATTEMPT, 1, 1, "null");
    let rest: String = (2..=6)
        .map(|word| event(ATTEMPT, 0, word, "null"))
        .collect();
    let seen = format!("data: {chunk}?").repeat(2);
    let expected = [&WORDS[..3], &seen, &WORDS[3..]].concat();
    play(&vec![(
        "equal".to_owned(),
        first + &twice + &rest,
        expected,
    )]);
}

/// Returns whole answers with something behind the third word, in front of the first and at the end.
fn beside(name: &str, lines: &str, passed: &str) -> Cases {
    let words = numbered([0; 6]);
    let [first, third, last] = [0, words.len() / 2, words.len()];
    let seen = if passed.is_empty() {
        String::new()
    } else {
        format!("data: {passed}?")
    };
    let case = |(at, word): (usize, usize)| {
        let body = [&words[..at], lines, &words[at..]].concat();
        let expected = [&WORDS[..word], &seen, &WORDS[word..]].concat();
        (format!("{name} at {word}"), body, expected)
    };
    [(first, 0), (third, 9), (last, 18)].map(case).to_vec()
}

/// Guards against a whole answer that is cut at a sound chunk with nothing for the router.
#[test]
fn chunks_without_words_are_part_of_an_answer() {
    let mut cases = Vec::new();
    for (name, chunk) in [
        ("usage", r#"{"choices":[],"usage":{"total_tokens":7}}"#),
        (
            "null choices",
            r#"{"choices":null,"usage":{"total_tokens":7}}"#,
        ),
        ("no choices", r#"{"object":"chat.completion.chunk"}"#),
        (
            "role",
            r#"{"choices":[{"index":0,"delta":{"role":"assistant"},"finish_reason":null}]}"#,
        ),
        (
            "null fields",
            r#"{"id":null,"error":null,"choices":[{"index":null,"delta":null,"text":null}]}"#,
        ),
        (
            "unknown",
            r#"{"x":{"y":[1]},"choices":[{"index":0,"delta":{"z":0},"logprobs":{}}]}"#,
        ),
        (
            "empty reason",
            r#"{"choices":[{"index":0,"delta":{},"finish_reason":""}]}"#,
        ),
        ("number as id", r#"{"id":7,"choices":[]}"#),
    ] {
        cases.extend(beside(name, &format!("data: {chunk}\n\n"), chunk));
    }
    play(&cases);
}

/// Guards against a whole answer that is cut at lines with no chunk.
#[test]
fn lines_without_chunks_are_no_part_of_an_answer() {
    let mut cases = Vec::new();
    for (name, lines) in [
        ("empty data", "data:\n\n"),
        ("data without a colon", "data\n\n"),
        ("comment", ": ping\n\n"),
        ("kind", "event: ping\n\n"),
        ("kind of empty data", "event: ping\ndata: \n\n"),
        ("time to reconnect", "retry: 10\n\n"),
        ("id", "id: 1\n\n"),
        ("unknown field", "weight versions: 3\n\n"),
    ] {
        cases.extend(beside(name, lines, ""));
    }
    play(&cases);
}
