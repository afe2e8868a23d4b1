//! A stream goes on only with what follows, and is whole only if nothing says otherwise.
//!
//! Engines are scripted byte by byte: each attempt gets the next answer of a list.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use async_std::task::{self, block_on};
use peridotdeck_policy::{Endpoint, split};
use peridotdeck_router::callers::CLASS_HEADER;

use crate::cluster::{Cluster, chat_request, fast_engine, send};

/// Stands for the attempt's id in a script.
pub const ATTEMPT: &str = "ATTEMPT-OF-16-CH";

/// The events that make up the whole answer.
const WHOLE: [u32; 6] = [1, 2, 3, 4, 5, 6];

/// The text of the whole answer.
pub const WORDS: &str = "w1 w2 w3 w4 w5 w6 ";

/// Engines of a test, enough for each attempt to find a sound one.
const ENGINES: u32 = 40;

/// Id of the first of them.
const FIRST_ID: u32 = 1_000;

pub const MARKER: &str = "data: [DONE]\n\n";

/// Answer to a question for load.
const LOAD: &str = r#"{"boot":1,"running":0,"queued":0,"warm":true}"#;

/// How an answer shows where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Chunks,
    Length,
    /// More bytes were promised: the engine's process ends in the middle.
    ShortChunks,
    ShortLength,
    Close,
}

impl Framing {
    /// Returns the answer with a body, and with bytes that follow the body.
    pub fn answer(self, body: &str, behind: &str) -> String {
        let head = |header: &str| {
            format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                 x-request-id: {ATTEMPT}\r\n{header}\r\n"
            )
        };
        let length = body.len();
        let chunks = head("transfer-encoding: chunked\r\n");
        match self {
            Self::Chunks => format!("{chunks}{length:x}\r\n{body}\r\n0\r\n\r\n{behind}"),
            Self::ShortChunks => format!("{chunks}{length:x}\r\n{body}\r\n"),
            Self::Length => head(&format!("content-length: {length}\r\n")) + body + behind,
            Self::ShortLength => head(&format!("content-length: {}\r\n", length + 99)) + body,
            Self::Close => head("") + body + behind,
        }
    }
}

/// Returns one event; an id of 0 stands for none.
pub fn event(answer: &str, id: u32, word: u32, reason: &str) -> String {
    let id = if id == 0 {
        String::new()
    } else {
        format!("id: {id}\n")
    };
    format!(
        "{id}data: {{\"id\":\"{answer}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\
         \"w{word} \"}},\"finish_reason\":{reason}}}]}}\n\n"
    )
}

/// Returns the events of the words with these numbers.
fn events(words: &[u32]) -> String {
    let reason = |word| if word == 6 { "\"stop\"" } else { "null" };
    let events = words.iter();
    events
        .map(|&word| event(ATTEMPT, word, word, reason(word)))
        .collect()
}

/// Starts an engine that gives each attempt the next answer of a list, or closes.
fn engine(answers: Arc<Mutex<Vec<String>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let answers = Arc::clone(&answers);
            thread::spawn(move || answer(stream.expect("a caller"), &answers));
        }
    });
    address
}

fn answer(mut stream: TcpStream, answers: &Mutex<Vec<String>>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
    let (mut head, mut length, mut id) = (String::new(), 0, String::new());
    while reader.read_line(&mut head).is_ok_and(|bytes| bytes > 2) {
        let line = head.lines().last().unwrap_or_default().to_lowercase();
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().expect("a length");
        }
        if let Some(value) = line.strip_prefix("x-request-id: ") {
            value.clone_into(&mut id);
        }
    }
    let _ = reader.read_exact(&mut vec![0; length]);
    let text = if head.starts_with("POST") {
        let mut answers = answers.lock().expect("no panic");
        if answers.is_empty() {
            return;
        }
        answers.remove(0).replace(ATTEMPT, &id)
    } else {
        let body = if head.starts_with("GET /load") {
            LOAD
        } else {
            "[]"
        };
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
    };
    // The router may leave before it has read bytes behind an answer.
    let _ = stream.write_all(text.as_bytes());
}

/// A router with scripted engines.
pub struct Scripts {
    cluster: Cluster,
    answers: Arc<Mutex<Vec<String>>>,
}

impl Scripts {
    pub async fn start() -> Self {
        let mut cluster = Cluster::start(&[fast_engine()], 1).await;
        let answers = Arc::new(Mutex::new(Vec::new()));
        let mut services = cluster.config.services.iter_mut();
        let model = services.find(|service| service.name == "wickmind");
        let endpoints = &mut model.expect("a model").endpoints;
        let real = endpoints.remove(0);
        // An engine whose process ended is left out for a while.
        endpoints.extend((0..ENGINES).map(|number| Endpoint {
            id: FIRST_ID + number,
            address: engine(Arc::clone(&answers)).to_string(),
            ..real.clone()
        }));
        cluster.platform.publish(&split(&cluster.config));
        let scripts = Self { cluster, answers };
        let ready = [Framing::Chunks.answer(&(events(&WHOLE) + MARKER), "")];
        for _ in 0..100 {
            if scripts
                .play(("ready", "draft"), &ready, true)
                .await
                .as_deref()
                == Some(WORDS)
            {
                return scripts;
            }
            task::sleep(Duration::from_millis(50)).await;
        }
        panic!("the scripted engines are not in use");
    }

    /// Returns the words that a caller takes for a whole answer, or `None`.
    ///
    /// The retries of the class `draft` have no budget.
    pub async fn play(
        &self,
        (name, class): (&str, &str),
        answers: &[String],
        streams: bool,
    ) -> Option<String> {
        *self.answers.lock().expect("no panic") = answers.to_vec();
        let address = self.cluster.address();
        let mut request = chat_request(address, name, streams);
        request.insert_header(CLASS_HEADER, class);
        let mut response = send(address, request).await;
        let is_success = response.status().is_success();
        let body = response.body_string().await.ok().filter(|_| is_success)?;
        let texts: Vec<&str> = if streams {
            body.strip_suffix(MARKER)?.split("\n\n").collect()
        } else {
            vec![&body]
        };
        let text = |text: &&str| {
            let (_, rest) = text.split_once("\"content\":\"")?;
            Some(rest.split('"').next()?.to_owned())
        };
        let words = texts.iter().filter(|text| !text.is_empty());
        Some(
            words
                .map(|each| text(each).unwrap_or_else(|| format!("{each}?")))
                .collect(),
        )
    }

    /// Plays each case as a stream and as a collected completion, and returns what differs.
    async fn differences(&self, cases: &[(String, Vec<String>, bool)]) -> Vec<String> {
        let mut differences = Vec::new();
        for (name, answers, is_whole) in cases {
            for streams in [true, false] {
                let class = if *is_whole { "draft" } else { "counter" };
                let prompt = format!("{name} {streams}");
                let seen = self.play((&prompt, class), answers, streams).await;
                if seen.is_some() != *is_whole || seen.as_ref().is_some_and(|text| text != WORDS) {
                    differences.push(format!("{name}, streams={streams}: {seen:?}"));
                }
            }
        }
        differences
    }
}

fn play(cases: &[(String, Vec<String>, bool)]) {
    let differences = block_on(async { Scripts::start().await.differences(cases).await });
    assert!(differences.is_empty(), "{differences:#?}");
}

/// Guards against a stream that is joined to a run which begins anew, repeats or leaves out an event.
#[test]
fn continuation_that_does_not_follow_is_not_joined() {
    let whole = |words| Framing::Chunks.answer(&(events(words) + MARKER), "");
    let mut cases = Vec::new();
    for framing in [Framing::ShortChunks, Framing::ShortLength] {
        let first = framing.answer(&events(&WHOLE[..3]), "");
        for (name, words) in [
            ("anew", &WHOLE[..]),
            ("repeats", &WHOLE[2..]),
            ("gap", &WHOLE[4..]),
        ] {
            let rest = vec![first.clone(), whole(words), whole(&WHOLE[3..])];
            cases.push((format!("{name} {framing:?}"), rest, true));
        }
    }
    let [first, anew] = [
        Framing::ShortChunks.answer(&events(&WHOLE[..3]), ""),
        whole(&WHOLE),
    ];
    cases.push(("only anew".to_owned(), vec![first, anew], false));
    play(&cases);
}

/// Guards against an event that comes twice, or another answer's, in the middle of a run.
#[test]
fn events_that_do_not_follow_are_no_part_of_an_answer() {
    let rest = Framing::Chunks.answer(&(events(&WHOLE[3..]) + MARKER), "");
    let mut cases = Vec::new();
    for (name, odd) in [
        ("twice", events(&[3])),
        ("back", events(&[1])),
        ("other", event("another-answer", 4, 4, "null")),
    ] {
        let body = events(&WHOLE[..3]) + &odd + &events(&WHOLE[3..]) + MARKER;
        let answers = vec![Framing::Chunks.answer(&body, ""), rest.clone()];
        cases.push((name.to_owned(), answers, true));
    }
    play(&cases);
}

/// Guards against an answer that counts as whole although its engine failed or had ended it before.
#[test]
fn answer_that_contradicts_its_end_is_not_whole() {
    let rest = Framing::Chunks.answer(&(events(&WHOLE[3..]) + MARKER), "");
    let mut cases = Vec::new();
    for (name, odd) in [
        (
            "error",
            "data: {\"error\":{\"message\":\"out of memory\"}}\n\n",
        ),
        ("no json", "data: {\"id\n\n"),
    ] {
        let body = events(&WHOLE[..3]) + odd + MARKER;
        let answers = vec![Framing::Chunks.answer(&body, ""), rest.clone()];
        cases.push((name.to_owned(), answers, true));
    }
    // The last word has a reason to finish, and only the marker is missing.
    let unmarked = Framing::ShortChunks.answer(&events(&WHOLE), "");
    let [more, end] = [events(&[7]) + MARKER, MARKER.to_owned()];
    let [more, end] = [more, end].map(|body| Framing::Chunks.answer(&body, ""));
    cases.push((
        "more".to_owned(),
        vec![unmarked.clone(), more, end.clone()],
        true,
    ));
    cases.push(("no marker".to_owned(), vec![unmarked, end], true));
    play(&cases);
}

/// Guards against bytes behind the end marker that reach the caller, in whichever framing.
#[test]
fn bytes_behind_the_end_marker_are_dropped() {
    let mut cases = Vec::new();
    for framing in [Framing::Chunks, Framing::Length] {
        let other = framing.answer(&events(&[1]), "");
        for behind in [events(&[6]), events(&[7]), MARKER.to_owned(), other] {
            let body = events(&WHOLE) + MARKER;
            let inside = framing.answer(&(body.clone() + &behind), "");
            let name = format!("{framing:?} {}", behind.len());
            cases.push((format!("{name} inside"), vec![inside], true));
            let outside = framing.answer(&body, &behind);
            cases.push((format!("{name} outside"), vec![outside], true));
        }
    }
    play(&cases);
}

/// Guards against the end of an engine's process that counts as the end of its answer.
#[test]
fn end_of_the_process_is_no_end_of_an_answer() {
    let mut cases = Vec::new();
    for framing in [
        Framing::Chunks,
        Framing::Length,
        Framing::ShortChunks,
        Framing::ShortLength,
        Framing::Close,
    ] {
        let first = framing.answer(&events(&WHOLE[..3]), "");
        // The library hides a body without framing, so the first attempt brings nothing.
        let rest = if framing == Framing::Close {
            &WHOLE[..]
        } else {
            &WHOLE[3..]
        };
        let rest = Framing::Chunks.answer(&(events(rest) + MARKER), "");
        cases.push((format!("{framing:?}"), vec![first.clone(), rest], true));
        cases.push((format!("{framing:?} only"), vec![first], false));
    }
    play(&cases);
}

/// Other side: engines may number no event, or name them otherwise.
#[test]
fn unnumbered_streams_are_joined() {
    let mut cases = Vec::new();
    let unnumbered = |words: &[u32]| -> String {
        let events = words.iter();
        events
            .map(|&word| event(ATTEMPT, 0, word, "null"))
            .collect()
    };
    let named = |words: &[u32]| unnumbered(words).replace("data:", "id: chat-1\ndata:");
    for (name, first, rest) in [
        ("none", unnumbered(&WHOLE[..3]), unnumbered(&WHOLE[3..])),
        ("named", named(&WHOLE[..3]), named(&WHOLE[3..])),
    ] {
        let first = Framing::ShortChunks.answer(&first, "");
        let rest = Framing::Chunks.answer(&(rest + MARKER), "");
        cases.push((name.to_owned(), vec![first, rest], true));
    }
    play(&cases);
}
