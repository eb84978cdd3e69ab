//! A bounded queue between those who log and the thread that writes.

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

/// Lines that wait at most; about 1 MB at 250 bytes a line.
const MAX_LINES: usize = 4_096;

/// Pause between two looks whether all lines are written.
const SETTLE_PAUSE: Duration = Duration::from_millis(5);

/// Takes lines without ever blocking; lines that find it full are dropped and counted.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    count: Arc<Count>,
    instance: String,
    run: String,
    start: Instant,
}

/// Lines taken, written and dropped so far.
#[derive(Debug, Default)]
pub struct Count {
    taken: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl Count {
    /// Lines that found the queue full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all lines taken are written, for `limit` at most; for the end of a program.
    pub fn settle(&self, limit: Duration) {
        let end = Instant::now() + limit;
        let open = || self.written.load(Ordering::Relaxed) < self.taken.load(Ordering::Relaxed);
        while open() && Instant::now() < end {
            thread::sleep(SETTLE_PAUSE);
        }
    }
}

impl Queue {
    /// A queue whose lines a new thread writes to `to`; each tells the name of the `instance`, the
    /// `run` of its process, and the time since the start on a clock that does not jump.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn new(to: Box<dyn Write + Send>, instance: String, run: String) -> io::Result<Self> {
        let (lines, waiting) = mpsc::sync_channel(MAX_LINES);
        let count = Arc::new(Count::default());
        let counted = Arc::clone(&count);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || drain(&waiting, to, &counted))?;
        Ok(Self {
            lines,
            count,
            instance,
            run,
            start: Instant::now(),
        })
    }

    /// The counts of lines, shared with the queue.
    pub fn count(&self) -> Arc<Count> {
        Arc::clone(&self.count)
    }
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut text = Vec::with_capacity(256);
        let mut more = Map::new();
        more.insert("instance".to_owned(), self.instance.as_str().into());
        more.insert("run".to_owned(), self.run.as_str().into());
        let up_ms = self.start.elapsed().as_millis() as u64;
        more.insert("up_ms".to_owned(), up_ms.into());
        line::write_with(&mut text, now, record, more)?;
        text.push(b'\n');
        let counter = match self.lines.try_send(text) {
            Ok(()) => &self.count.taken,
            Err(_) => &self.count.dropped,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the queue is gone; tells of dropped ones as soon as there is room again.
fn drain(waiting: &Receiver<Vec<u8>>, mut to: Box<dyn Write + Send>, count: &Count) {
    let mut told = 0;
    while let Ok(mut text) = waiting.recv() {
        let dropped = count.dropped();
        if dropped > told {
            let lost = dropped - told;
            let notice = format!("{{\"text\":\"log lines dropped\",\"count\":{lost}}}\n");
            text.extend_from_slice(notice.as_bytes());
            told = dropped;
        }
        // Nobody reads any more: the lines have nowhere to go, and the daemon goes on.
        let _ = to.write_all(&text).and_then(|()| to.flush());
        count.written.fetch_add(1, Ordering::Relaxed);
    }
}
