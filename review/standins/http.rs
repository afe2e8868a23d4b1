//! Just enough of HTTP/1.1 for the stand-ins.

use std::{
    io::{BufRead, BufReader, ErrorKind, Read},
    net::TcpStream,
};

/// A request as a stand-in has read it.
#[derive(Clone, Debug)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn id(&self) -> &str {
        self.header("request-id").unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields
            .find(|(each, _)| *each == name)
            .map(|(_, value)| value)
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers
        .iter()
        .filter(|(each, _)| each.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

fn read_lines(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            return Some(lines);
        }
        lines.push(line);
    }
}

fn split_headers(lines: &[String]) -> Vec<(String, String)> {
    let fields = lines.iter().filter_map(|line| line.split_once(':'));
    fields
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect()
}

/// Reads a request with a length or without a body; none at the connection's end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let lines = read_lines(reader)?;
    let mut words = lines.first()?.split(' ');
    let target = words.nth(1)?.to_owned();
    let headers = split_headers(&lines[1..]);
    let length = find(&headers, "content-length").map_or(0, |text| text.parse().unwrap_or(0));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { target, headers })
}

/// How an answer ended, as its receiver sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// After its stated length or last chunk.
    Framed,
    /// With an orderly close, where neither a length nor chunks were stated.
    Closed,
    /// With a reset, or before its stated end.
    Broken,
    /// Not within the receiver's time.
    Late,
}

impl End {
    /// Returns whether the answer looks complete.
    pub fn looks_complete(self) -> bool {
        matches!(self, Self::Framed | Self::Closed)
    }
}

/// An answer as a client has read it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if there was no head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: End,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Reads an answer to its end; the stream's read timeout bounds each read.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> Answer {
    let mut answer = Answer {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        end: End::Broken,
    };
    let Some(lines) = read_lines(reader) else {
        return answer;
    };
    let status = lines.first().and_then(|line| line.split(' ').nth(1));
    answer.status = status.and_then(|text| text.parse().ok()).unwrap_or(0);
    answer.headers = split_headers(lines.get(1..).unwrap_or_default());
    let chunked = answer.header("transfer-encoding") == Some("chunked");
    let length: Option<usize> = answer
        .header("content-length")
        .and_then(|text| text.parse().ok());
    answer.end = if chunked {
        read_chunks(reader, &mut answer.body)
    } else if let Some(length) = length {
        read_some(reader, Some(length), &mut answer.body)
    } else {
        read_some(reader, None, &mut answer.body)
    };
    answer
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> End {
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(1..) => {}
            Err(cause) if is_late(&cause) => return End::Late,
            _ => return End::Broken,
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return End::Broken;
        };
        let end = read_some(reader, Some(length), body);
        if end != End::Framed {
            return end;
        }
        let mut rest = String::new();
        if !matches!(reader.read_line(&mut rest), Ok(1..)) {
            return End::Broken;
        }
        if length == 0 {
            return End::Framed;
        }
    }
}

fn read_some(reader: &mut BufReader<TcpStream>, length: Option<usize>, body: &mut Vec<u8>) -> End {
    let mut left = length;
    let mut buffer = [0; 4_096];
    loop {
        if left == Some(0) {
            return End::Framed;
        }
        let most = left.map_or(buffer.len(), |left| left.min(buffer.len()));
        match reader.read(&mut buffer[..most]) {
            Ok(0) if left.is_none() => return End::Closed,
            Ok(0) => return End::Broken,
            Ok(count) => {
                body.extend_from_slice(&buffer[..count]);
                left = left.map(|left| left - count);
            }
            Err(cause) if is_late(&cause) => return End::Late,
            Err(_) => return End::Broken,
        }
    }
}

fn is_late(cause: &std::io::Error) -> bool {
    matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
