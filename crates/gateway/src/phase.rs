//! Tracks the phase of a caller's connection, so that slow request heads and idle connections time
//! out.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use boottime::Instant;
use boottime::timer::sleep;
use boottime::timer::sleep_until;
use http::Version;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::bounds::InForce;
use crate::bounds::READ_GRACE;
use crate::connections;
use crate::guard::OpenRequest;
use crate::pacing::PacedStream;
use crate::progress::Meter;

/// Current activity of a connection.
#[derive(Debug, Clone, Copy)]
enum Activity {
    /// Idle.
    Idle(Wait),
    /// Receiving the head of a request.
    Head(Wait),
    /// Serving a request.
    Busy,
}

/// Waiting for the other side.
#[derive(Debug, Clone, Copy)]
struct Wait {
    since: Instant,
    /// The largest limit in force since then: a lowered one applies from the next wait on.
    limit: Duration,
}

impl Wait {
    fn new(limit: Duration) -> Self {
        Self {
            since: Instant::now(),
            limit,
        }
    }

    fn with_limit(self, in_force: Duration) -> Self {
        Self {
            limit: self.limit.max(in_force),
            ..self
        }
    }

    fn end(self) -> Instant {
        self.since + self.limit
    }
}

/// Why a connection expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expired {
    /// It was idle for too long.
    Idle,
    /// A request head took too long.
    Head,
}

impl Expired {
    /// Returns the name used in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
        }
    }
}

/// State of a connection that its socket, its requests and its timer share.
struct State {
    activity: Cell<Activity>,
    /// Whether a response without a length is being sent. An orderly close would make a truncated
    /// one look complete.
    reset_on_close: Cell<bool>,
    /// Time for which the other side may leave the current response unread.
    unread_limit: Cell<Duration>,
    /// Requests whose responses are complete and partly unsent.
    unsent: RefCell<Vec<OpenRequest>>,
    bounds: InForce,
}

impl State {
    fn set_idle(&self) {
        let limit = (self.bounds)().idle_timeout;
        self.activity.set(Activity::Idle(Wait::new(limit)));
    }

    fn set_head(&self) {
        let limit = (self.bounds)().header_timeout;
        self.activity.set(Activity::Head(Wait::new(limit)));
    }

    /// Raises the limit of the current wait to the one in force. Returns when the connection expires,
    /// and why; `None` while it serves a request.
    fn expiry(&self) -> Option<(Instant, Expired)> {
        let bounds = (self.bounds)();
        let (activity, end) = match self.activity.get() {
            Activity::Idle(wait) => {
                let wait = wait.with_limit(bounds.idle_timeout);
                (Activity::Idle(wait), Some((wait.end(), Expired::Idle)))
            }
            Activity::Head(wait) => {
                let wait = wait.with_limit(bounds.header_timeout);
                (Activity::Head(wait), Some((wait.end(), Expired::Head)))
            }
            Activity::Busy => (Activity::Busy, None),
        };
        self.activity.set(activity);
        end
    }
}

/// The phase of one connection, shared by its socket, its requests and its timer.
#[derive(Clone)]
pub struct Phase(Rc<State>);

/// A request that is being served; the connection is idle when this is dropped.
pub struct BusyGuard {
    state: Rc<State>,
    /// Whether a response without a length ends with the connection.
    ends_with_connection: bool,
}

impl Phase {
    /// The phase of a new connection with the limits that `bounds` returns.
    pub fn new(bounds: &InForce) -> Self {
        let in_force = bounds();
        Self(Rc::new(State {
            activity: Cell::new(Activity::Idle(Wait::new(in_force.idle_timeout))),
            reset_on_close: Cell::new(false),
            unread_limit: Cell::new(in_force.idle_timeout),
            unsent: RefCell::default(),
            bounds: Rc::clone(bounds),
        }))
    }

    /// Marks the start of a request with this HTTP version.
    pub fn begin(&self, version: Version) -> BusyGuard {
        self.0.activity.set(Activity::Busy);
        self.0.unread_limit.set((self.0.bounds)().idle_timeout);
        BusyGuard {
            state: Rc::clone(&self.0),
            ends_with_connection: version < Version::HTTP_11,
        }
    }

    /// Waits until a head takes too long, or the connection is idle for too long, by the limits in
    /// force. What arrived before counts, also if the process stood still.
    pub async fn wait_until_expired(&self) -> Expired {
        loop {
            let now = Instant::now();
            // A head may begin, and limits change, at any time.
            let next_check = now + (self.0.bounds)().header_timeout;
            match self.0.expiry() {
                Some((end, _)) if end <= now => {
                    sleep(READ_GRACE).await;
                    match self.0.expiry() {
                        Some((end, expired)) if end <= now => return expired,
                        _ => {}
                    }
                }
                Some((end, _)) => sleep_until(end.min(next_check)).await,
                None => sleep_until(next_check).await,
            }
        }
    }

    /// Time for which the other side may leave bytes of the current response unread.
    fn unread_limit(&self) -> Duration {
        let in_force = (self.0.bounds)().idle_timeout;
        let limit = self.0.unread_limit.get().max(in_force);
        self.0.unread_limit.set(limit);
        limit
    }

    /// Records that bytes arrived.
    fn note_read(&self) {
        if let Activity::Idle(_) = self.0.activity.get() {
            self.0.set_head();
        }
    }

    /// Records that all bytes of complete responses were sent.
    fn note_flushed(&self) {
        self.0.unsent.borrow_mut().clear();
    }

    /// Records that bytes were sent: a connection is idle from its last byte on.
    fn note_written(&self) {
        if let Activity::Idle(_) = self.0.activity.get() {
            self.0.set_idle();
        }
    }
}

impl fmt::Debug for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Phase").field(&self.0.activity).finish()
    }
}

impl fmt::Debug for BusyGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BusyGuard")
            .field("ends_with_connection", &self.ends_with_connection)
            .finish_non_exhaustive()
    }
}

impl BusyGuard {
    /// Sets whether a response without a length is incomplete.
    pub fn set_unfinished(&self, unfinished: bool) {
        let resets = unfinished && self.ends_with_connection;
        self.state.reset_on_close.set(resets);
    }

    /// Keeps `request`, whose response is complete, open until its last byte is sent.
    pub fn keep_until_sent(&self, request: OpenRequest) {
        self.state.unsent.borrow_mut().push(request);
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.state.set_idle();
    }
}

/// A socket that detects the start of a request head. It resets the connection if an orderly close
/// would make a truncated response look complete.
#[derive(Debug)]
pub struct TrackedSocket {
    socket: PacedStream,
    phase: Phase,
    meter: Meter,
    /// Time after which the system drops the connection if bytes stay unread.
    unread_limit: Duration,
}

impl TrackedSocket {
    /// Wraps `socket` and reports to `phase`. Fails once `meter` is exceeded.
    pub fn new(socket: TcpStream, phase: Phase, meter: Meter) -> Self {
        let mut tracked = Self {
            socket: PacedStream::new(socket),
            phase,
            meter,
            unread_limit: Duration::ZERO,
        };
        tracked.apply_unread_limit();
        tracked
    }

    fn apply_unread_limit(&mut self) {
        let limit = self.phase.unread_limit();
        if limit == self.unread_limit {
            return;
        }
        self.unread_limit = limit;
        if let Err(error) = connections::configure_socket(self.socket.get_ref(), limit) {
            log::debug!(kind = "listen", cause = error.to_string(); "cannot set socket options");
        }
    }

    /// Records the result of a write.
    fn after_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(_))) {
            self.phase.note_written();
        }
    }
}

impl Drop for TrackedSocket {
    fn drop(&mut self) {
        if !self.phase.0.reset_on_close.get() {
            return;
        }
        if let Err(error) = self.socket.get_ref().set_zero_linger() {
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
        self.meter.check()?;
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(context, buffer);
        let length = buffer.filled().len() - before;
        if length > 0 {
            self.meter.note_read(length);
            self.phase.note_read();
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
        self.apply_unread_limit();
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.after_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_unread_limit();
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, parts);
        self.after_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Called only when nothing is buffered.
        let flushed = Pin::new(&mut self.socket).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.phase.note_flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
