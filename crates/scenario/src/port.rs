//! Selects free ports of the loopback address.

use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// First port to select. Ports up to [`LAST`] are below the ephemeral range, so no outgoing
/// connection can occupy a port between its selection and its use.
const FIRST: u32 = 10_000;
const LAST: u32 = 32_000;
/// Distance between the first ports of processes with consecutive ids.
const STRIDE: u32 = 191;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Returns an address `127.0.0.1:port` on which nothing listens.
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
