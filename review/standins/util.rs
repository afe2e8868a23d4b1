//! Time, base64, the record of a run, and signals.

use std::{
    fs::File,
    io::Write,
    net::{Ipv4Addr, TcpListener},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Result of a case, as the exit code of its script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this program started.
pub fn signal(process: u32, number: i32) {
    // SAFETY: the call takes two numbers and touches no memory of this process.
    unsafe {
        kill(process as i32, number);
    }
}

/// Lines of what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the case's folder can be written");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("held briefly");
        let line = format!("{at:8.3} {}\n", text.as_ref());
        file.write_all(line.as_bytes()).expect("a line is small");
        print!("{line}");
    }
}

/// Returns `count` loopback addresses on which all of `ports` are free.
pub fn free_addresses(count: usize, ports: &[u16]) -> Vec<Ipv4Addr> {
    let mut number = std::process::id().wrapping_mul(2_654_435_761);
    let mut found = Vec::new();
    while found.len() < count {
        number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let [a, b, c, _] = number.to_be_bytes();
        let address = Ipv4Addr::new(127, a.max(1), b, c.clamp(1, 254));
        let free = |port: &u16| TcpListener::bind((address, *port)).is_ok();
        if ports.iter().all(free) && !found.contains(&address) {
            found.push(address);
        }
    }
    found
}

/// Polls until something holds; returns whether it did in time.
pub fn wait_for(limit: Duration, holds: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut value = 0_u32;
        for at in 0..3 {
            value = value << 8 | u32::from(group.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            let digit = DIGITS[(value >> (18 - 6 * at)) as usize & 63];
            text.push(if at <= group.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}
