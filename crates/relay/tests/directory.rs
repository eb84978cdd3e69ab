//! Selection of the addresses for callers.

use std::net::SocketAddr;

use ident::Zone;
use relay::directory::Endpoint;
use relay::directory::Scope;
use relay::directory::select_addresses;

fn entry(data_centre: &str, port: u16) -> Endpoint {
    sized(data_centre, port, 250)
}

fn sized(data_centre: &str, port: u16, capacity: u32) -> Endpoint {
    Endpoint {
        data_centre: Zone::new(data_centre),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        capacity,
    }
}

fn ports(entries: &[Endpoint], near: Option<&str>) -> Vec<u16> {
    let addresses = select_addresses(entries, near.map(Zone::new), Scope::Large);
    addresses.iter().map(SocketAddr::port).collect()
}

#[test]
fn the_own_data_centre_is_returned_if_it_has_enough_instances() {
    let entries = [entry("a", 1), entry("b", 2), entry("a", 3)];
    assert_eq!(ports(&entries, Some("a")), [1, 3]);
}

#[test]
fn all_are_returned_if_one_failure_would_leave_none() {
    let entries = [entry("a", 1), entry("b", 2), entry("a", 3)];
    assert_eq!(ports(&entries, Some("b")), [1, 2, 3]);
    assert_eq!(ports(&entries, None), [1, 2, 3]);
}

#[test]
fn no_more_addresses_are_returned_than_callers_accept() {
    let entries: Vec<Endpoint> = (1..=100).map(|port| entry("a", port)).collect();
    assert_eq!(ports(&entries, Some("a")).len(), 64);
}

/// Two large instances may fail together.
#[test]
fn large_instances_of_other_data_centres_are_returned_if_there_are_few() {
    let entries = [
        sized("a", 1, 120),
        sized("a", 2, 500),
        sized("a", 3, 500),
        sized("b", 4, 500),
        sized("b", 5, 120),
    ];
    assert_eq!(ports(&entries, Some("a")), [2, 3, 4]);
}

#[test]
fn only_large_instances_are_returned_if_there_are_enough() {
    let large = [2, 3, 4, 5].map(|port| sized("a", port, 500));
    let others = [sized("a", 1, 120), sized("a", 6, 250), sized("b", 7, 500)];
    let entries = [&large[..], &others].concat();
    assert_eq!(ports(&entries, Some("a")), [2, 3, 4, 5, 6]);
    let all = select_addresses(&entries, Some(Zone::new("a")), Scope::All);
    assert_eq!(all.len(), 6);
}

#[test]
fn a_single_large_instance_is_not_returned_alone() {
    let entries = [
        sized("b", 4, 500),
        sized("b", 5, 120),
        sized("b", 6, 120),
        sized("a", 7, 500),
    ];
    assert_eq!(ports(&entries, Some("b")), [4, 5, 6]);
}
