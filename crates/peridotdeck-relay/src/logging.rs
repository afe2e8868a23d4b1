//! Logs to standard output that never block and are bounded under load.
//!
//! Lines go into a buffer that a thread writes out. When the reader of standard output is stuck, or
//! when a second brings more lines than allowed, lines are dropped and counted, and the count is
//! logged as soon as there is room. `docs/OPERATIONS.md` lists the events.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Bytes that wait for the reader at most.
const BUFFER_BYTES: usize = 256 << 10;

/// Lines a second at most.
const LINES_PER_S: u32 = 500;

/// Time for which lines are gathered before they are written.
const GATHER: Duration = Duration::from_millis(20);

/// Lines that wait to be written.
#[derive(Debug)]
struct Buffer {
    lines: Vec<u8>,
    dropped: u64,
    second: Instant,
    count: u32,
}

/// The writer that loggers are given.
#[derive(Clone, Debug)]
pub struct Journal {
    shared: Arc<(Mutex<Buffer>, Condvar)>,
}

impl Journal {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let buffer = Buffer {
            lines: Vec::new(),
            dropped: 0,
            second: Instant::now(),
            count: 0,
        };
        let shared = Arc::new((Mutex::new(buffer), Condvar::new()));
        let journal = Self {
            shared: Arc::clone(&shared),
        };
        thread::Builder::new()
            .name("journal".to_owned())
            .stack_size(64 << 10)
            .spawn(move || write_out(&shared, output))?;
        Ok(journal)
    }
}

impl Write for Journal {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let (mutex, ready) = &*self.shared;
        let mut buffer = mutex.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.second.elapsed() >= Duration::from_secs(1) {
            buffer.second = Instant::now();
            buffer.count = 0;
        }
        buffer.count += 1;
        if buffer.count > LINES_PER_S || buffer.lines.len() + line.len() > BUFFER_BYTES {
            buffer.dropped += 1;
            return Ok(line.len());
        }
        if buffer.dropped > 0 {
            let report = format!("event=log_dropped lines={}\n", buffer.dropped);
            buffer.lines.extend_from_slice(report.as_bytes());
            buffer.dropped = 0;
        }
        buffer.lines.extend_from_slice(line);
        ready.notify_one();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_out(shared: &(Mutex<Buffer>, Condvar), mut output: impl Write) {
    let (mutex, ready) = shared;
    loop {
        let mut buffer = mutex.lock().unwrap_or_else(PoisonError::into_inner);
        while buffer.lines.is_empty() {
            buffer = ready.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
        drop(buffer);
        thread::sleep(GATHER);
        let mut buffer = mutex.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = std::mem::take(&mut buffer.lines);
        drop(buffer);
        // Nobody is left to tell that standard output is closed.
        let _ = output.write_all(&lines).and_then(|()| output.flush());
    }
}

/// Logs through a journal on standard output, at level `info`.
///
/// # Errors
/// If the journal cannot be started.
pub fn start() -> io::Result<Journal> {
    let journal = Journal::start(io::stdout())?;
    env_logger::Builder::new()
        .filter_level(log::LevelFilter::Info)
        .target(env_logger::Target::Pipe(Box::new(journal.clone())))
        .write_style(env_logger::WriteStyle::Never)
        .format(|line, record| {
            let level = record.level().as_str();
            writeln!(
                line,
                "ts={} level={level} {}",
                line.timestamp_millis(),
                record.args()
            )
        })
        .init();
    Ok(journal)
}
