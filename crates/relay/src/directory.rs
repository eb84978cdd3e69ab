//! Selects the instances that callers may connect to.

use std::net::SocketAddr;

use ident::Zone;

/// Maximum number of addresses in one answer; callers accept no more.
const MAX_ADDRESSES: usize = 64;
/// Minimum number of instances of the caller's own data centre for an answer without others. A
/// single instance would leave callers without an alternative when it fails.
const MIN_LOCAL: usize = 2;

/// Minimum number of large instances of the caller's data centre for an answer without large ones
/// of others. Two may fail together, while the small ones that are left out could have served.
const MIN_LARGE: usize = 4;
/// Fraction of the largest instance's capacity that makes an instance large. The fewer instances
/// take requests, the more each of them knows of the replicas' load from its own requests.
pub const LARGE_SHARE: f64 = 0.5;

/// An instance that accepts callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoint {
    /// Data centre of the instance.
    pub data_centre: Zone,
    /// Address for callers.
    pub address: SocketAddr,
    /// CPU capacity, in thousandths of a core.
    pub capacity: u32,
}

/// Which instances of a data centre are returned to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The large ones, if there are enough.
    Large,
    /// All.
    All,
}

/// Returns the addresses for a caller in `near`: the instances of its data centre within `scope` if
/// there are enough, otherwise all instances.
pub fn select_addresses(entries: &[Endpoint], near: Option<Zone>, scope: Scope) -> Vec<SocketAddr> {
    let own = entries
        .iter()
        .filter(|entry| near == Some(entry.data_centre));
    let own: Vec<Endpoint> = own.copied().collect();
    let large = match scope {
        Scope::Large => large(&own, &own),
        Scope::All => Vec::new(),
    };
    let selected = match (large.len(), own.len()) {
        (count, all) if count >= MIN_LOCAL && count < all.min(MIN_LARGE) => {
            self::large(entries, &own)
        }
        (count, _) if count >= MIN_LOCAL => large,
        (_, count) if count >= MIN_LOCAL => own,
        _ => entries.to_vec(),
    };
    let selected = selected.iter().take(MAX_ADDRESSES);
    selected.map(|entry| entry.address).collect()
}

/// Returns those of `entries` that have at least [`LARGE_SHARE`] of the largest capacity in `own`.
fn large(entries: &[Endpoint], own: &[Endpoint]) -> Vec<Endpoint> {
    let largest = own.iter().map(|entry| entry.capacity).max();
    let least = f64::from(largest.unwrap_or_default()) * LARGE_SHARE;
    let large = entries
        .iter()
        .filter(|entry| f64::from(entry.capacity) >= least);
    large.copied().collect()
}
