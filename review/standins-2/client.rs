//! Clients: one request on a new connection, and what was read of its answer.

use std::{
    io::{self, Read, Write},
    net::{SocketAddrV4, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use crate::http::{read_head, read_length};

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other request has.
pub fn fresh_id() -> String {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub host: String,
    pub path: String,
    pub key: String,
    pub deadline_ms: u64,
    /// Further fields, each with its line break.
    pub fields: String,
    pub body: Vec<u8>,
}

/// What a client has seen of an answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub seal: Option<String>,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body has ended as its framing says.
    pub whole: bool,
    pub error: String,
}

impl Answer {
    /// Returns the values of the `data` lines, with their event ids.
    pub fn events(&self) -> Vec<(u64, String)> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let parts = text.split("\n\n").filter(|part| part.contains("data:"));
        parts
            .map(|part| {
                let value = |name: &str| {
                    let line = part.lines().find_map(|line| line.strip_prefix(name));
                    line.unwrap_or_default().trim().to_owned()
                };
                (value("id:").parse().unwrap_or(0), value("data:"))
            })
            .collect()
    }
}

impl Request {
    pub fn bytes(&self) -> Vec<u8> {
        let Self { id, method, host, path, key, deadline_ms, fields, body } = self;
        let length = match body.len() {
            0 if *method == "GET" => String::new(),
            length => format!("Content-Length: {length}\r\n"),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {key}\r\n{fields}{length}\r\n"
        );
        [head.as_bytes(), body].concat()
    }

    /// Sends the request on a new connection and reads its answer until the time limit.
    pub fn send(&self, to: SocketAddrV4) -> Answer {
        let mut answer = Answer::default();
        if let Err(cause) = self.exchange(to, &mut answer) {
            answer.error = cause.to_string();
        }
        answer
    }

    fn exchange(&self, to: SocketAddrV4, answer: &mut Answer) -> io::Result<()> {
        let until = Instant::now() + Duration::from_millis(self.deadline_ms);
        let mut stream = TcpStream::connect_timeout(&to.into(), Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.write_all(&self.bytes())?;
        read_answer(&mut stream, Vec::new(), until, answer).map(drop)
    }
}

fn limit(stream: &TcpStream, until: Instant) -> io::Result<()> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    stream.set_read_timeout(Some(left))
}

/// Reads an answer; returns the bytes behind it.
pub fn read_answer(
    stream: &mut TcpStream,
    early: Vec<u8>,
    until: Instant,
    answer: &mut Answer,
) -> io::Result<Vec<u8>> {
    limit(stream, until)?;
    let head = read_head(stream, early)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    answer.status = head.word(1).parse().unwrap_or(0);
    answer.seal = head.get("response-seal").map(str::to_owned);
    answer.head = format!("{} {:?}", head.first, head.fields);
    if head.is_chunked() {
        return read_chunks(stream, head.rest, until, answer);
    }
    if let Some(length) = head.get("content-length").and_then(|text| text.parse().ok()) {
        let (body, behind) = read_length(stream, head.rest, length)?;
        answer.body = body;
        answer.whole = true;
        return Ok(behind);
    }
    answer.body = head.rest;
    loop {
        limit(stream, until)?;
        let mut part = [0; 8192];
        let length = stream.read(&mut part)?;
        if length == 0 {
            answer.whole = true;
            return Ok(Vec::new());
        }
        answer.body.extend_from_slice(&part[..length]);
    }
}

fn read_chunks(
    stream: &mut TcpStream,
    mut bytes: Vec<u8>,
    until: Instant,
    answer: &mut Answer,
) -> io::Result<Vec<u8>> {
    loop {
        let line = bytes.windows(2).position(|two| two == b"\r\n");
        if let Some(end) = line {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let size = usize::from_str_radix(text.split(';').next().unwrap_or_default().trim(), 16);
            let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
            let chunk_end = end + 2 + size + 2;
            if bytes.len() >= chunk_end {
                answer.body.extend_from_slice(&bytes[end + 2..end + 2 + size]);
                bytes.drain(..chunk_end);
                if size == 0 {
                    answer.whole = true;
                    return Ok(bytes);
                }
                continue;
            }
        }
        limit(stream, until)?;
        let mut part = [0; 8192];
        let length = stream.read(&mut part)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&part[..length]);
    }
}

/// Returns the status of a page, if it answers within a second.
pub fn get(address: SocketAddrV4, path: &str) -> Option<u16> {
    let until = Instant::now() + Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address.into(), Duration::from_secs(1)).ok()?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Answer::default();
    read_answer(&mut stream, Vec::new(), until, &mut answer).ok()?;
    Some(answer.status)
}
