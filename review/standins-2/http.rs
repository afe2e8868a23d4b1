//! A small HTTP/1.1 server and reader for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A head, and the bytes that came behind it.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub rest: Vec<u8>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(each, _)| each.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, at: usize) -> &str {
        self.first.split(' ').nth(at).unwrap_or_default()
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }
}

fn end_of_head(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|four| four == b"\r\n\r\n")
}

/// Reads a head; `early` holds bytes that were read before.
pub fn read_head(stream: &mut TcpStream, early: Vec<u8>) -> io::Result<Option<Head>> {
    let mut bytes = early;
    loop {
        if let Some(end) = end_of_head(&bytes) {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let fields = lines.filter_map(|line| line.split_once(':'));
            let fields = fields
                .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                .collect();
            let rest = bytes[end + 4..].to_vec();
            return Ok(Some(Head { first, fields, rest }));
        }
        let mut part = [0; 8192];
        let length = stream.read(&mut part)?;
        if length == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&part[..length]);
    }
}

/// Reads a body of a known length behind a head, and returns it with what follows.
pub fn read_length(stream: &mut TcpStream, rest: Vec<u8>, length: usize) -> io::Result<(Vec<u8>, Vec<u8>)> {
    let mut bytes = rest;
    while bytes.len() < length {
        let mut part = [0; 8192];
        let got = stream.read(&mut part)?;
        if got == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&part[..got]);
    }
    let behind = bytes.split_off(length);
    Ok((bytes, behind))
}

/// A request at a server.
pub struct Received {
    pub head: Head,
    pub body: Vec<u8>,
}

/// Serves connections at an address, one thread each, until it is closed.
pub struct Server {
    pub address: SocketAddrV4,
    closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

pub trait Respond: Fn(&Received, &mut TcpStream) -> bool + Send + Sync + 'static {}
impl<F: Fn(&Received, &mut TcpStream) -> bool + Send + Sync + 'static> Respond for F {}

/// Listens at an address; the port may be in use for a moment.
fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let mut last = None;
    for _ in 0..50 {
        match TcpListener::bind(address) {
            Ok(listener) => return Ok(listener),
            Err(cause) => last = Some(cause),
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(last.expect("there was a failure"))
}

impl Server {
    /// Answers requests with `respond`, which returns whether the connection stays open.
    pub fn start(address: SocketAddrV4, respond: impl Respond) -> io::Result<Self> {
        let listener = listen(address)?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            unreachable!("the address is IPv4");
        };
        let closed = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let respond = Arc::new(respond);
        let (is_closed, connections) = (Arc::clone(&closed), Arc::clone(&open));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if is_closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(mut stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().expect("held briefly").push(copy);
                }
                let respond = Arc::clone(&respond);
                thread::spawn(move || serve(&mut stream, &*respond));
            }
        });
        Ok(Self { address, closed, open })
    }

    /// Ends the listener and resets all connections, as the end of a process does.
    pub fn crash(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().expect("held briefly").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: &mut TcpStream, respond: &impl Respond) {
    let mut early = Vec::new();
    while let Ok(Some(mut head)) = read_head(stream, std::mem::take(&mut early)) {
        let rest = std::mem::take(&mut head.rest);
        let length = head.get("content-length").and_then(|text| text.parse().ok());
        let Ok((body, behind)) = read_length(stream, rest, length.unwrap_or(0)) else {
            return;
        };
        early = behind;
        if !respond(&Received { head, body }, stream) {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

/// Returns an address at loopback with a port that was free.
pub fn free_address(ip: Ipv4Addr) -> SocketAddrV4 {
    let listener = TcpListener::bind((ip, 0)).expect("a port is free");
    match listener.local_addr().expect("it is bound") {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("the address is IPv4"),
    }
}
