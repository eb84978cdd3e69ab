//! A bounded queue between logging threads and the thread that writes the lines.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;

use boottime::Instant;
use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;
use serde_json::Map;

use crate::line;

/// Maximum number of queued lines; about 1 MB at 250 bytes per line.
const MAX_LINES: usize = 4_096;

/// Interval between checks whether all lines are written.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Accepts lines without blocking; if it is full, lines are dropped and counted.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    counters: Arc<LineCounters>,
    instance: String,
    run: String,
    start: Instant,
}

/// Numbers of lines queued, written and dropped so far.
#[derive(Debug, Default)]
pub struct LineCounters {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl LineCounters {
    /// Number of lines dropped because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all queued lines are written, for at most `limit`; called before a program ends.
    pub fn wait_until_written(&self, limit: Duration) {
        let end = Instant::now() + limit;
        let is_waiting =
            || self.written.load(Ordering::Relaxed) < self.queued.load(Ordering::Relaxed);
        while is_waiting() && Instant::now() < end {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Queue {
    /// A queue whose lines a new thread writes to `to`. Each line contains the name of the
    /// `instance`, the `run` of its process, and the time since the start on a monotonic clock.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn new(to: Box<dyn Write + Send>, instance: String, run: String) -> io::Result<Self> {
        let (lines, receiver) = mpsc::sync_channel(MAX_LINES);
        let counters = Arc::new(LineCounters::default());
        let thread_counters = Arc::clone(&counters);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&receiver, to, &thread_counters))?;
        Ok(Self {
            lines,
            counters,
            instance,
            run,
            start: Instant::now(),
        })
    }

    /// The counters, shared with the queue.
    pub fn counters(&self) -> Arc<LineCounters> {
        Arc::clone(&self.counters)
    }
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut text = Vec::with_capacity(256);
        let mut extra = Map::new();
        extra.insert("instance".to_owned(), self.instance.as_str().into());
        extra.insert("run".to_owned(), self.run.as_str().into());
        let up_ms = self.start.elapsed().as_millis() as u64;
        extra.insert("up_ms".to_owned(), up_ms.into());
        line::write_with(&mut text, now, record, extra)?;
        text.push(b'\n');
        let counter = match self.lines.try_send(text) {
            Ok(()) => &self.counters.queued,
            Err(_) => &self.counters.dropped,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the queue is dropped; reports dropped lines with the next line written.
fn write_lines(
    receiver: &Receiver<Vec<u8>>,
    mut to: Box<dyn Write + Send>,
    counters: &LineCounters,
) {
    let mut reported = 0;
    while let Ok(mut text) = receiver.recv() {
        let dropped = counters.dropped();
        if dropped > reported {
            let newly_dropped = dropped - reported;
            let notice = format!("{{\"text\":\"log lines dropped\",\"count\":{newly_dropped}}}\n");
            text.extend_from_slice(notice.as_bytes());
            reported = dropped;
        }
        // The output was closed by its reader: lines are discarded and the daemon continues.
        let _ = to.write_all(&text).and_then(|()| to.flush());
        counters.written.fetch_add(1, Ordering::Relaxed);
    }
}
