//! Bodies, answers and streams that are each within their bound must not fill the memory together.
//!
//! The router is a process, which is ended where it exceeds its memory. Requests to other services pass beside.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use async_std::task::block_on;
use peridotdeck_fake::{Plain, Platform, plain::Record};
use peridotdeck_http::client;
use peridotdeck_policy::{Class, Organisation, Policy, Service, split};

use crate::{
    cluster::{API_KEY, post_request},
    process::Process,
};

/// Most memory of a router with the settings' default.
const LIMIT_KB: u64 = 256 << 10;

/// Requests to the endpoint whose answers have no end.
const REQUESTS: usize = 90;

/// Time for which callers wait and endpoints send.
const PLAY: Duration = Duration::from_secs(4);

/// Bytes after which an endpoint sends no more than a byte now and then.
const TRICKLES_FROM: usize = 15 << 20;

const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";
const EVENTS: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// What an endpoint sends in place of an answer.
#[derive(Clone, Copy, Debug)]
struct Shape {
    status: u16,
    /// Header lines, and what comes once before the piece.
    begin: &'static str,
    piece: &'static str,
    /// Bytes of the pieces, after which a byte comes now and then.
    until: usize,
    /// Whether callers read their answers.
    is_read: bool,
    /// Whether reports of the endpoint's load have the shape too.
    in_reports: bool,
}

/// Starts an endpoint that sends a shape on every connection.
fn pouring_endpoint(shape: Shape) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || pour(stream, shape));
        }
    });
    address
}

/// Answers one request; errors mean that the router has closed the connection.
fn pour(mut stream: TcpStream, shape: Shape) -> Option<()> {
    const REPORT: &str = r#"{"boot":1,"running":0,"queued":0,"warm":true}"#;
    let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
    let first = lines.next()?.ok()?;
    while !lines.next()?.ok()?.is_empty() {}
    if first.starts_with("GET /load") && !shape.in_reports {
        let length = REPORT.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{REPORT}");
        return stream.write_all(head.as_bytes()).ok();
    }
    let head = format!("HTTP/1.1 {} Pouring\r\n{}", shape.status, shape.begin);
    stream.write_all(head.as_bytes()).ok()?;
    let piece = shape.piece.repeat(1 + 0x4000 / shape.piece.len());
    let chunk = if shape.begin.contains("chunked") {
        format!("{:x}\r\n{piece}\r\n", piece.len())
    } else {
        piece
    };
    let begun = Instant::now();
    let mut sent = 0;
    while sent < shape.until && begun.elapsed() < PLAY {
        stream.write_all(chunk.as_bytes()).ok()?;
        sent += chunk.len();
    }
    while begun.elapsed() < PLAY {
        thread::sleep(Duration::from_millis(200));
        stream.write_all(b"1\r\nx\r\n").ok()?;
    }
    Some(())
}

/// Sends a request's bytes, then `slow` bytes one by one, and returns the begin of the answer if it is read.
fn call(address: SocketAddr, request: &[u8], slow: usize, reads: bool) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(request).ok()?;
    for _ in 0..slow {
        thread::sleep(Duration::from_millis(200));
        if stream.write_all(b" ").is_err() {
            break;
        }
    }
    stream.set_read_timeout(Some(PLAY)).ok()?;
    let begun = Instant::now();
    let mut buffer = [0; 0x4000];
    let mut head = String::new();
    while begun.elapsed() < PLAY {
        if !reads {
            thread::sleep(Duration::from_millis(100));
            continue;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(bytes) if head.is_empty() => {
                head = String::from_utf8_lossy(&buffer[..bytes]).into_owned();
            }
            Ok(_) => {}
        }
    }
    Some(head)
}

fn request(path: &str, length: usize, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer pourer-key\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Plays requests of one organisation beside those of another.
///
/// `bodies` are the requests, and the number of bytes that follow them slowly. Returns what was seen of a fault.
fn play(
    name: &str,
    shape: Shape,
    memory: (&str, u64),
    bodies: impl Fn(usize) -> (Vec<u8>, usize),
) -> Option<String> {
    let (setting, limit_kb) = memory;
    let [model, plain] = [(); 2].map(|()| pouring_endpoint(shape).to_string());
    let (platform, sound) = block_on(async {
        let platform = Platform::start().await.expect("a port");
        let delay = Duration::from_millis(5);
        let sound = Plain::start(Record::default(), delay).await;
        (platform, sound.expect("a port"))
    });
    let sound_service = Service::plain("refill-desk", "counter");
    let organisation = |name: &str, key: &str| {
        let organisation = Organisation::named(name).key(key);
        organisation.rate(10_000, 10_000).concurrency(10_000)
    };
    let config = Policy::new()
        .place("a", "north")
        .class(Class::interactive("counter", 0).whole_ms(20_000))
        .organisation(organisation("matrah", API_KEY))
        .organisation(organisation("pourer", "pourer-key"))
        .service(Service::model("wickmind", "counter").sized_endpoint("a", &model, 96, 96))
        .service(Service::plain("pours", "counter").sized_endpoint("a", &plain, 96, 96))
        .service(sound_service.sized_endpoint("a", &sound.address().to_string(), 96, 96))
        .build()
        .expect("a sound configuration");
    platform.publish(&split(&config));
    let router = Process::start_alone(
        &platform,
        &format!("body_timeout_ms = 5000\n{setting}"),
        name,
        limit_kb,
        |address| send_sound(address) == 200,
    );
    let address = router.address;
    let callers: Vec<_> = (0..REQUESTS)
        .map(|index| {
            let (bytes, slow) = bodies(index);
            thread::spawn(move || call(address, &bytes, slow, shape.is_read))
        })
        .collect();
    let begun = Instant::now();
    let (mut asked, mut served) = (0, 0);
    while begun.elapsed() < PLAY {
        asked += 1;
        served += usize::from(send_sound(address) == 200);
        thread::sleep(Duration::from_millis(20));
    }
    let answers = callers
        .into_iter()
        .map(|caller| caller.join().expect("no panic"));
    let refusals: Vec<_> = answers
        .flatten()
        .filter(|answer| answer.starts_with("HTTP/1.1 503"))
        .collect();
    let is_true =
        |answer: &String| answer.contains("retry-after: ") && answer.contains("verdict: not_run");
    let true_refusals = refusals.iter().filter(|answer| is_true(answer)).count();
    let peak = router.peak_kb().map(|kb| kb >> 10);
    let seen = format!(
        "{name}: peak {peak:?} MB, {served} of {asked} served beside, {true_refusals} of {} refusals true",
        refusals.len()
    );
    println!("{seen}");
    let within = peak.is_some_and(|mb| mb < limit_kb >> 10);
    let is_sound = within && served == asked && true_refusals == refusals.len();
    (!is_sound).then_some(seen)
}

/// Returns the status of a request to the sound service, or 0 without an answer.
fn send_sound(address: SocketAddr) -> u16 {
    block_on(async {
        let request = post_request(address, "/refill-desk/x", "{}");
        let sent = client::request(address, request, Duration::from_secs(2)).await;
        let Ok(mut response) = sent else { return 0 };
        let body = response.body_string().await;
        body.map_or(0, |_| response.status().into())
    })
}

const DEFAULT: (&str, u64) = ("", LIMIT_KB);

/// Requests for streams or whole answers of a model, or to a plain service.
fn small(kind: &'static str) -> impl Fn(usize) -> (Vec<u8>, usize) {
    move |index| {
        let (path, fields) = match kind {
            "plain" => ("/pours/x", String::new()),
            fields => ("/v1/completions", fields.to_owned()),
        };
        let body = format!(r#"{{"model":"wickmind","prompt":"{index}"{fields}}}"#);
        (request(path, body.len(), &body), 0)
    }
}

const JUNK: Shape = Shape {
    status: 200,
    begin: CHUNKED,
    piece: "junk ",
    until: usize::MAX,
    is_read: true,
    in_reports: false,
};

/// Guards against whole answers without end that fill the memory together.
#[test]
fn whole_answers_keep_the_memory_bounded() {
    let mut faults = Vec::new();
    let huge = "content-length: 99999999999\r\n\r\n";
    let shapes = [
        ("chunks", JUNK),
        (
            "huge-length",
            Shape {
                begin: huge,
                ..JUNK
            },
        ),
        (
            "until-close",
            Shape {
                begin: "\r\n",
                ..JUNK
            },
        ),
        (
            "error",
            Shape {
                status: 500,
                ..JUNK
            },
        ),
        (
            "refusal",
            Shape {
                status: 404,
                ..JUNK
            },
        ),
        (
            "trickle",
            Shape {
                until: TRICKLES_FROM,
                ..JUNK
            },
        ),
        (
            "unread",
            Shape {
                is_read: false,
                ..JUNK
            },
        ),
    ];
    for (name, shape) in shapes {
        faults.extend(play(
            &format!("plain-{name}"),
            shape,
            DEFAULT,
            small("plain"),
        ));
    }
    faults.extend(play("model-chunks", JUNK, DEFAULT, small(r#","n":2"#)));
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against events without end, and texts collected from events, that fill the memory together.
#[test]
fn streams_keep_the_memory_bounded() {
    const EVENT: &str = "data: {\"choices\":[{\"text\":\"a text of some words\"}]}\n\n";
    let mut faults = Vec::new();
    let stream = r#","stream":true"#;
    let events = Shape {
        begin: EVENTS,
        ..JUNK
    };
    let shapes = [
        ("event", "data: x", stream),
        ("lines", "data: x\n", stream),
        ("comments", ": none\n", stream),
        ("without-ids", EVENT, stream),
        ("collected", EVENT, ""),
    ];
    for (name, piece, kind) in shapes {
        let shape = Shape { piece, ..events };
        faults.extend(play(&format!("stream-{name}"), shape, DEFAULT, small(kind)));
    }
    let unread = Shape {
        piece: EVENT,
        is_read: false,
        ..events
    };
    faults.extend(play("stream-unread", unread, DEFAULT, small(stream)));
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against requests that come slowly and fill the memory together.
#[test]
fn slow_bodies_keep_the_memory_bounded() {
    const BYTES: usize = 4 << 20;
    let mut faults = Vec::new();
    let slow = |path: &'static str, begin: &'static str| {
        let body = format!("{begin}{}", "x".repeat(BYTES - 100 - begin.len()));
        move |_| (request(path, BYTES, &body), 24)
    };
    faults.extend(play("bodies-plain", JUNK, DEFAULT, slow("/pours/x", "")));
    faults.extend(play(
        "bodies-model",
        JUNK,
        DEFAULT,
        slow("/v1/completions", "{"),
    ));
    let whole = |_| {
        let body = format!(
            r#"{{"model":"wickmind","prompt":"{}"}}"#,
            "x".repeat(BYTES - 100)
        );
        (request("/v1/completions", body.len(), &body), 0)
    };
    faults.extend(play("bodies-whole", JUNK, DEFAULT, whole));
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against reports of an endpoint's load without end that fill the memory.
#[test]
fn reports_keep_the_memory_bounded() {
    let shape = Shape {
        in_reports: true,
        ..JUNK
    };
    let fault = play("reports", shape, DEFAULT, small("plain"));
    assert_eq!(fault, None);
}

/// Guards against a budget that leaves too little of a small memory for the rest of the process.
#[test]
fn smallest_memory_is_kept() {
    const SMALLEST: (&str, u64) = ("memory_mb = 64\n", 64 << 10);
    let unread = Shape {
        is_read: false,
        ..JUNK
    };
    let event = Shape {
        begin: EVENTS,
        piece: "data: x",
        ..JUNK
    };
    let body = "x".repeat(3 << 20);
    let bodies = move |_| (request("/pours/x", body.len() + 100, &body), 24);
    let numbers = format!(
        r#"{{"model":"wickmind","prompt":[1{}]}}"#,
        ",1".repeat(1 << 19)
    );
    let lists = move |_| (request("/v1/completions", numbers.len(), &numbers), 0);
    let mut faults = Vec::new();
    faults.extend(play("small-unread", unread, SMALLEST, small("plain")));
    faults.extend(play(
        "small-event",
        event,
        SMALLEST,
        small(r#","stream":true"#),
    ));
    faults.extend(play("small-bodies", unread, SMALLEST, bodies));
    faults.extend(play("small-lists", unread, SMALLEST, lists));
    assert!(faults.is_empty(), "{faults:#?}");
}
