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
use std::time::Instant;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;
use serde_json::Map;

use crate::line;

/// Lines that wait at most; about 1 MB at 250 bytes a line.
const MAX_LINES: usize = 4_096;

/// Takes lines without ever blocking; lines that find it full are dropped and counted.
#[derive(Debug)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    instance: String,
    start: Instant,
}

impl Queue {
    /// A queue whose lines a new thread writes to `to`; each tells the name of the `instance`, and
    /// the time since the start on a clock that does not jump.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn new(to: Box<dyn Write + Send>, instance: String) -> io::Result<Self> {
        let (lines, waiting) = mpsc::sync_channel(MAX_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || drain(&waiting, to, &counted))?;
        Ok(Self {
            lines,
            dropped,
            instance,
            start: Instant::now(),
        })
    }

    /// The count of lines dropped so far, shared with the queue.
    pub fn dropped(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.dropped)
    }
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut text = Vec::with_capacity(256);
        let mut more = Map::new();
        more.insert("instance".to_owned(), self.instance.as_str().into());
        let up_ms = self.start.elapsed().as_millis() as u64;
        more.insert("up_ms".to_owned(), up_ms.into());
        line::write_with(&mut text, now, record, more)?;
        text.push(b'\n');
        if self.lines.try_send(text).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the queue is gone; tells of dropped ones as soon as there is room again.
fn drain(waiting: &Receiver<Vec<u8>>, mut to: Box<dyn Write + Send>, dropped: &AtomicU64) {
    let mut told = 0;
    while let Ok(mut text) = waiting.recv() {
        let count = dropped.load(Ordering::Relaxed);
        if count > told {
            let notice = format!(
                "{{\"text\":\"log lines dropped\",\"count\":{}}}\n",
                count - told
            );
            text.extend_from_slice(notice.as_bytes());
            told = count;
        }
        // Nobody reads any more: the lines have nowhere to go, and the daemon goes on.
        let _ = to.write_all(&text).and_then(|()| to.flush());
    }
}
