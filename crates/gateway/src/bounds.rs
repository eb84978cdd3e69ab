//! Limits of a server's connections. They may change while a connection is open.

use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use http::Request;

/// Time after the end of a limit in which bytes that arrived before are read. Those that arrived
/// while the process stood still are noticed together with its timers.
pub const READ_GRACE: Duration = Duration::from_millis(20);

/// Largest header section of a message of a peer in bytes; what peers send is in the body.
pub const MAX_PEER_HEADER_BYTES: u32 = 8 * 1024;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Time for a request head, from its first byte.
    pub header_timeout: Duration,
    /// Time that a connection may be idle, or its other side not read.
    pub idle_timeout: Duration,
}

/// Returns the limits in force.
pub type InForce = Rc<dyn Fn() -> Bounds>;

/// Size in bytes of the head of `request`, as sent with single spaces and no optional white space.
pub fn head_bytes<B>(request: &Request<B>) -> usize {
    /// Bytes of a request line apart from method and target.
    const LINE_EXTRA: usize = " ".len() + " HTTP/1.1\r\n".len();
    let target = request.uri().path_and_query();
    let target = target.map_or(0, |target| target.as_str().len());
    let line = request.method().as_str().len() + target + LINE_EXTRA;
    line + field_bytes(request.headers()) + "\r\n".len()
}

fn field_bytes(headers: &HeaderMap) -> usize {
    const FIELD_EXTRA: usize = ": ".len() + "\r\n".len();
    let fields = headers.iter();
    let sizes = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_EXTRA);
    sizes.sum()
}
