//! Free ports on the loopback address.

use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// First port given out. Ports up to [`LAST`] lie below the range that the system takes for
/// outgoing connections, so that none of those can occupy a port between choice and use.
const FIRST: u32 = 10_000;
const LAST: u32 = 32_000;
/// Distance between the first ports of two test processes with neighbouring ids.
const STRIDE: u32 = 191;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// An address `127.0.0.1:port` that nobody listens on.
pub fn free_address() -> String {
    loop {
        let count = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id().wrapping_mul(STRIDE).wrapping_add(count);
        let port = (FIRST + offset % (LAST - FIRST)) as u16;
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            return format!("127.0.0.1:{port}");
        }
    }
}
