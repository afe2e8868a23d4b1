//! Logging to standard output that never blocks the caller.
//!
//! Lines go into a bounded buffer, and a thread writes them out. Lines are dropped if the reader of
//! standard output does not keep up, or if a second brings more lines than the limit. The number of
//! dropped lines is logged just before the next line that is accepted. `docs/OPERATIONS.md` lists
//! the events.

use std::{
    fmt::{self, Write as _},
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Most bytes that the buffer holds while standard output does not accept them.
const MAX_BUFFER_BYTES: usize = 256 << 10;

/// Most lines that are accepted in a second.
const MAX_LINES_PER_SECOND: u32 = 500;

/// Longest line in bytes; what other programs publish may be longer.
const MAX_LINE_BYTES: usize = 4 << 10;

/// Time for which lines are collected before they are written together.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Lines that the thread has not written yet.
#[derive(Debug)]
struct Buffer {
    pending: Vec<u8>,
    dropped: u64,
    /// Start of the second in which lines are being counted.
    second_start: Instant,
    lines_in_second: u32,
}

/// Writer that adds lines to the buffer and never blocks on the output.
///
/// Each write counts as one line.
#[derive(Clone, Debug)]
pub struct Writer {
    shared: Arc<(Mutex<Buffer>, Condvar)>,
}

impl Writer {
    /// Starts the thread that writes the buffered lines to `output`.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let buffer = Buffer {
            pending: Vec::new(),
            dropped: 0,
            second_start: Instant::now(),
            lines_in_second: 0,
        };
        let shared = Arc::new((Mutex::new(buffer), Condvar::new()));
        let writer = Self {
            shared: Arc::clone(&shared),
        };
        thread::Builder::new()
            .name("journal".to_owned())
            .stack_size(64 << 10)
            .spawn(move || write_buffered(&shared, output))?;
        Ok(writer)
    }
}

impl Write for Writer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let (mutex, ready) = &*self.shared;
        let mut buffer = mutex.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.second_start.elapsed() >= Duration::from_secs(1) {
            buffer.second_start = Instant::now();
            buffer.lines_in_second = 0;
        }
        buffer.lines_in_second += 1;
        if buffer.lines_in_second > MAX_LINES_PER_SECOND
            || buffer.pending.len() + line.len() > MAX_BUFFER_BYTES
        {
            buffer.dropped += 1;
            return Ok(line.len());
        }
        if buffer.dropped > 0 {
            let notice = format!("event=log_dropped lines={}\n", buffer.dropped);
            buffer.pending.extend_from_slice(notice.as_bytes());
            buffer.dropped = 0;
        }
        buffer.pending.extend_from_slice(line);
        ready.notify_one();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A record as a single line of bounded length.
///
/// Other programs choose the names that are logged. A line break in one would forge a record.
#[derive(Clone, Copy, Debug)]
pub struct Line<'a>(pub fmt::Arguments<'a>);

impl fmt::Display for Line<'_> {
    fn fmt(&self, text: &mut fmt::Formatter<'_>) -> fmt::Result {
        let left = MAX_LINE_BYTES;
        Escape { text, left }.write_fmt(self.0)
    }
}

/// Writer that escapes control characters and drops what exceeds the longest line.
struct Escape<'a, 'b> {
    text: &'a mut fmt::Formatter<'b>,
    /// Bytes that may still follow.
    left: usize,
}

impl fmt::Write for Escape<'_, '_> {
    fn write_str(&mut self, part: &str) -> fmt::Result {
        let mut end = part.len().min(self.left);
        while !part.is_char_boundary(end) {
            end -= 1;
        }
        self.left -= end;
        for piece in part[..end].split_inclusive(char::is_control) {
            let plain = piece.trim_end_matches(char::is_control);
            self.text.write_str(plain)?;
            write!(self.text, "{}", piece[plain.len()..].escape_debug())?;
        }
        if end < part.len() {
            self.left = 0;
        }
        Ok(())
    }
}

/// Writes buffered lines to the output for as long as the process runs.
fn write_buffered(shared: &(Mutex<Buffer>, Condvar), mut output: impl Write) {
    let (mutex, ready) = shared;
    loop {
        let mut buffer = mutex.lock().unwrap_or_else(PoisonError::into_inner);
        while buffer.pending.is_empty() {
            buffer = ready.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
        drop(buffer);
        thread::sleep(FLUSH_DELAY);
        let mut buffer = mutex.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = std::mem::take(&mut buffer.pending);
        drop(buffer);
        // A closed output cannot be reported: there is no other place to log to.
        let _ = output.write_all(&lines).and_then(|()| output.flush());
    }
}

/// Installs the logger of the process: standard output, level `info`, one line a record.
///
/// # Errors
/// Returns an error if the thread that writes the lines cannot be started.
///
/// # Panics
/// Panics if the process already has a logger.
pub fn start() -> io::Result<Writer> {
    let writer = Writer::start(io::stdout())?;
    env_logger::Builder::new()
        .filter_level(log::LevelFilter::Info)
        .target(env_logger::Target::Pipe(Box::new(writer.clone())))
        .write_style(env_logger::WriteStyle::Never)
        .format(|line, record| {
            let level = record.level().as_str();
            writeln!(
                line,
                "ts={} level={level} {}",
                line.timestamp_millis(),
                Line(*record.args())
            )
        })
        .init();
    Ok(writer)
}
