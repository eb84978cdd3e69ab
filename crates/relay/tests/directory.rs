//! Which addresses callers are told.

use std::net::SocketAddr;

use ident::Zone;
use relay::directory::Entry;
use relay::directory::answer;

fn entry(data_centre: &str, port: u16) -> Entry {
    Entry {
        data_centre: Zone::new(data_centre),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

fn ports(entries: &[Entry], near: Option<&str>) -> Vec<u16> {
    let told = answer(entries, near.map(Zone::new));
    told.iter().map(SocketAddr::port).collect()
}

#[test]
fn the_own_data_centre_is_told_if_it_has_enough() {
    let entries = [entry("a", 1), entry("b", 2), entry("a", 3)];
    assert_eq!(ports(&entries, Some("a")), [1, 3]);
}

#[test]
fn all_are_told_where_one_failure_would_leave_none() {
    let entries = [entry("a", 1), entry("b", 2), entry("a", 3)];
    assert_eq!(ports(&entries, Some("b")), [1, 2, 3]);
    assert_eq!(ports(&entries, None), [1, 2, 3]);
}

#[test]
fn no_more_are_told_than_callers_take() {
    let entries: Vec<Entry> = (1..=100).map(|port| entry("a", port)).collect();
    assert_eq!(ports(&entries, Some("a")).len(), 64);
}
