//! Tracks the phase of a caller's connection, so that slow request heads and idle connections time
//! out.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep_until;
use http::Version;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Current activity of a connection.
#[derive(Debug, Clone, Copy)]
enum Activity {
    /// Idle since this moment.
    Idle(Instant),
    /// Receiving the head of a request since this moment.
    Head(Instant),
    /// Serving a request.
    Busy,
}

/// The phase of one connection, shared by its socket, its requests and its timer.
#[derive(Debug, Clone)]
pub struct Phase {
    activity: Rc<Cell<Activity>>,
    /// Whether a response without a length is being sent. An orderly close would make a truncated
    /// one look complete.
    reset_on_close: Rc<Cell<bool>>,
}

/// A request that is being served; the connection is idle when this is dropped.
#[derive(Debug)]
pub struct BusyGuard {
    activity: Rc<Cell<Activity>>,
    reset_on_close: Rc<Cell<bool>>,
    /// Whether a response without a length ends with the connection.
    ends_with_connection: bool,
}

impl Phase {
    /// The phase of a new connection.
    pub fn new() -> Self {
        Self {
            activity: Rc::new(Cell::new(Activity::Idle(Instant::now()))),
            reset_on_close: Rc::new(Cell::new(false)),
        }
    }

    /// Marks the start of a request with this HTTP version.
    pub fn begin(&self, version: Version) -> BusyGuard {
        self.activity.set(Activity::Busy);
        BusyGuard {
            activity: Rc::clone(&self.activity),
            reset_on_close: Rc::clone(&self.reset_on_close),
            ends_with_connection: version < Version::HTTP_11,
        }
    }

    /// Waits until a head takes longer than `head`, or the connection is idle for longer than
    /// `idle`.
    pub async fn wait_until_expired(&self, head: Duration, idle: Duration) {
        loop {
            let now = Instant::now();
            let due = match self.activity.get() {
                Activity::Idle(since) => since + idle,
                Activity::Head(since) => since + head,
                Activity::Busy => now + head,
            };
            if due <= now {
                return;
            }
            // A head may begin at any time.
            sleep_until(due.min(now + head)).await;
        }
    }
}

impl Default for Phase {
    fn default() -> Self {
        Self::new()
    }
}

impl BusyGuard {
    /// Sets whether a response without a length is incomplete.
    pub fn set_unfinished(&self, unfinished: bool) {
        self.reset_on_close
            .set(unfinished && self.ends_with_connection);
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.activity.set(Activity::Idle(Instant::now()));
    }
}

/// A socket that detects the start of a request head. It resets the connection if an orderly close
/// would make a truncated response look complete.
#[derive(Debug)]
pub struct TrackedSocket {
    socket: TcpStream,
    phase: Phase,
}

impl TrackedSocket {
    /// Wraps `socket` and reports to `phase`.
    pub const fn new(socket: TcpStream, phase: Phase) -> Self {
        Self { socket, phase }
    }
}

impl Drop for TrackedSocket {
    fn drop(&mut self) {
        if !self.phase.reset_on_close.get() {
            return;
        }
        if let Err(error) = self.socket.set_zero_linger() {
            log::warn!(kind = "listen", cause = error.to_string(); "cannot reset a connection with a truncated response");
        }
    }
}

impl AsyncRead for TrackedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(context, buffer);
        match self.phase.activity.get() {
            Activity::Idle(_) if buffer.filled().len() > before => {
                self.phase.activity.set(Activity::Head(Instant::now()));
            }
            _ => {}
        }
        polled
    }
}

impl AsyncWrite for TrackedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
