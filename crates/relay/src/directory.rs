//! Which instances callers are told to connect to.

use std::net::SocketAddr;

use ident::Zone;

/// Addresses in one answer at most; the callers' limit.
const MAX_ADDRESSES: usize = 64;
/// Instances of the caller's own data centre from which on no others are told. One alone would
/// leave callers without another address when it fails.
const ENOUGH: usize = 2;

/// An instance that takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Its data centre.
    pub data_centre: Zone,
    /// Where callers connect.
    pub address: SocketAddr,
}

/// The addresses for a caller in `near`: those of its data centre if there are enough, else all.
pub fn answer(entries: &[Entry], near: Option<Zone>) -> Vec<SocketAddr> {
    let own = entries
        .iter()
        .filter(|entry| near == Some(entry.data_centre));
    let own: Vec<SocketAddr> = own.map(|entry| entry.address).collect();
    let mut told = match own.len() {
        count if count >= ENOUGH => own,
        _ => entries.iter().map(|entry| entry.address).collect(),
    };
    told.truncate(MAX_ADDRESSES);
    told
}
