//! Which instances callers are told to connect to.

use std::net::SocketAddr;

use ident::Zone;

/// Addresses in one answer at most; the callers' limit.
const MAX_ADDRESSES: usize = 64;
/// Instances of the caller's own data centre from which on no others are told. One alone would
/// leave callers without another address when it fails.
const ENOUGH: usize = 2;

/// Large instances of the caller's data centre from which on no large ones of others are told. All of
/// two may fail together, and the small ones that were left out would have served meanwhile.
const LARGE_ENOUGH: usize = 4;
/// Part of the largest instance's capacity from which on an instance is large. The fewer instances
/// take requests, the more each of them knows of the replicas' load from its own requests.
const LARGE: f64 = 0.5;

/// An instance that takes callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoint {
    /// Its data centre.
    pub data_centre: Zone,
    /// Where callers connect.
    pub address: SocketAddr,
    /// What its processor can do, in thousandths of a core.
    pub capacity: u32,
}

/// Which instances of a data centre callers are told of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The large ones, if there are enough.
    Large,
    /// All.
    All,
}

/// The addresses for a caller in `near`: those instances of its data centre that `breadth` says if
/// there are enough, else all.
pub fn select_addresses(
    entries: &[Endpoint],
    near: Option<Zone>,
    breadth: Scope,
) -> Vec<SocketAddr> {
    let own = entries
        .iter()
        .filter(|entry| near == Some(entry.data_centre));
    let own: Vec<Endpoint> = own.copied().collect();
    let large = match breadth {
        Scope::Large => large(&own, &own),
        Scope::All => Vec::new(),
    };
    let told = match (large.len(), own.len()) {
        (count, all) if count >= ENOUGH && count < all.min(LARGE_ENOUGH) => {
            self::large(entries, &own)
        }
        (count, _) if count >= ENOUGH => large,
        (_, count) if count >= ENOUGH => own,
        _ => entries.to_vec(),
    };
    let told = told.iter().take(MAX_ADDRESSES);
    told.map(|entry| entry.address).collect()
}

/// Those of `entries` that have at least [`LARGE`] of the capacity of the largest one in `own`.
fn large(entries: &[Endpoint], own: &[Endpoint]) -> Vec<Endpoint> {
    let largest = own.iter().map(|entry| entry.capacity).max();
    let least = f64::from(largest.unwrap_or_default()) * LARGE;
    let large = entries
        .iter()
        .filter(|entry| f64::from(entry.capacity) >= least);
    large.copied().collect()
}
