//! Which software version began a stream, and whether only one can have.

mod common;

use std::time::Duration;

use ident::Time;
use relay::begins::Begin;
use relay::begins::Begins;
use relay::begins::Known;
use relay::begins::Stream;
use relay::pool::Pool;
use relay::replica::Replica;
use relay::replica::Stage;
use rstest::rstest;

const LIFETIME: Duration = Duration::from_secs(30);
const SERVICE: &str = "llm";

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(1_000 + seconds)
}

fn software(begins: &Begins, now: Time, stream: Stream) -> Option<&str> {
    begins.find(now, stream).map(|known| known.software)
}

#[test]
fn a_stream_is_known_until_it_cannot_be_resumed() {
    let mut begins = Begins::new();
    let stream = Stream::new("a1");
    begins.begin(at(0), stream, SERVICE, "v1", LIFETIME);
    assert_eq!(software(&begins, at(29), stream), Some("v1"));
    assert_eq!(software(&begins, at(29), Stream::new("a2")), None);
    assert_eq!(software(&begins, at(30), stream), None);
    begins.remove_expired(at(30));
    assert!(begins.is_empty());
    assert!(begins.take_unannounced(at(30), |_| true).is_empty());
}

#[test]
fn a_stream_is_announced_once_and_only_if_its_service_needs_it() {
    let mut begins = Begins::new();
    begins.begin(at(0), Stream::new("a1"), SERVICE, "v1", LIFETIME);
    begins.begin(at(0), Stream::new("b1"), "other", "v7", LIFETIME);
    let due = begins.take_unannounced(at(1), |service| service == SERVICE);
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].software, "v1");
    assert_eq!(due[0].lifetime, Duration::from_secs(29));
    assert!(
        begins
            .take_unannounced(at(1), |service| service == SERVICE)
            .is_empty()
    );
    assert_eq!(begins.take_unannounced(at(1), |_| true).len(), 1);
}

/// A version that brought no event may be replaced; its announcement may arrive last.
#[rstest]
#[case::in_order(&[0, 1])]
#[case::overtaken(&[1, 0])]
fn the_last_announcement_of_a_daemon_holds_in_any_order(#[case] order: &[usize]) {
    let stream = Stream::new("a1");
    let mut own = Begins::new();
    let mut announced = Vec::new();
    for software in ["v1", "v1.1"] {
        own.begin(at(0), stream, SERVICE, software, LIFETIME);
        announced.extend(own.take_unannounced(at(0), |_| true));
    }
    let mut keeper = Begins::new();
    for index in order {
        keeper.learn(at(0), &announced[*index]);
    }
    assert_eq!(software(&keeper, at(1), stream), Some("v1.1"));
}

#[test]
fn a_later_attempt_extends_the_life_of_a_stream() {
    let stream = Stream::new("a1");
    let announce = |now: Time| {
        let mut begins = Begins::new();
        begins.begin(now, stream, SERVICE, "v1", LIFETIME);
        begins.take_unannounced(now, |_| true).remove(0)
    };
    let mut keeper = Begins::new();
    keeper.learn(at(0), &announce(at(0)));
    keeper.learn(at(20), &announce(at(20)));
    assert_eq!(software(&keeper, at(45), stream), Some("v1"));
    assert_eq!(keeper.all(at(45)).len(), 1);
}

fn replica(id: &str, software: Option<&str>) -> Replica {
    Replica {
        id: id.to_owned(),
        software: software.map(str::to_owned),
        ..common::replica(id, SERVICE, Some(Stage::Decode), 8)
    }
}

fn list(pool: &mut Pool, now: Time, version: u64, replicas: &[Replica]) {
    pool.apply(now, &common::snapshot(version, replicas.to_vec()))
        .unwrap();
}

/// Confirms the list once a second.
fn follow(pool: &mut Pool, from: u64, to: u64) {
    for second in from..=to {
        pool.confirm(at(second), pool.version());
    }
}

#[test]
fn one_version_counts_as_the_only_one_after_the_list_was_followed_for_long() {
    let mut pool = Pool::new();
    list(&mut pool, at(0), 1, &[replica("i-1", Some("v1"))]);
    follow(&mut pool, 1, 29);
    assert_eq!(pool.only_version(at(29), SERVICE, LIFETIME), None);
    follow(&mut pool, 30, 31);
    assert_eq!(pool.only_version(at(31), SERVICE, LIFETIME), Some("v1"));
    // The list may have changed unnoticed.
    assert_eq!(pool.only_version(at(34), SERVICE, LIFETIME), None);
    follow(&mut pool, 34, 63);
    assert_eq!(pool.only_version(at(63), SERVICE, LIFETIME), None);
    follow(&mut pool, 64, 65);
    assert_eq!(pool.only_version(at(65), SERVICE, LIFETIME), Some("v1"));
    assert_eq!(pool.only_version(at(65), "other", LIFETIME), None);
}

/// Guards against waiting for a version that takes no new requests any more.
#[test]
fn a_version_whose_replicas_drain_does_not_serve() {
    let mut pool = Pool::new();
    let one = replica("i-1", Some("v1"));
    let leaving = Replica {
        draining: true,
        ..one.clone()
    };
    list(&mut pool, at(0), 1, std::slice::from_ref(&one));
    assert!(pool.serves_version(SERVICE, "v1"));
    list(&mut pool, at(1), 2, &[leaving, replica("i-2", Some("v1"))]);
    assert!(pool.serves_version(SERVICE, "v1"));
    list(&mut pool, at(2), 3, &[replica("i-2", Some("v1.1"))]);
    assert!(!pool.serves_version(SERVICE, "v1"));
    list(&mut pool, at(3), 4, std::slice::from_ref(&one));
    assert!(pool.serves_version(SERVICE, "v1"));
    let leaving = Replica {
        draining: true,
        ..one
    };
    list(&mut pool, at(4), 5, &[leaving]);
    assert!(!pool.serves_version(SERVICE, "v1"));
}

#[rstest]
#[case::other(Some("v1.1"))]
#[case::unknown(None)]
fn another_version_counts_until_its_streams_cannot_be_resumed(#[case] software: Option<&str>) {
    let mut pool = Pool::new();
    let one = replica("i-1", Some("v1"));
    list(&mut pool, at(0), 1, std::slice::from_ref(&one));
    follow(&mut pool, 1, 40);
    list(
        &mut pool,
        at(41),
        2,
        &[one.clone(), replica("i-2", software)],
    );
    assert_eq!(pool.only_version(at(41), SERVICE, LIFETIME), None);
    assert_eq!(pool.serves_version(SERVICE, "v1.1"), software.is_some());
    list(&mut pool, at(42), 3, &[one]);
    assert!(!pool.serves_version(SERVICE, "v1.1"));
    follow(&mut pool, 43, 71);
    assert_eq!(pool.only_version(at(71), SERVICE, LIFETIME), None);
    follow(&mut pool, 72, 73);
    assert_eq!(pool.only_version(at(73), SERVICE, LIFETIME), Some("v1"));
}

/// The begins that are kept saved at `at(1)`.
fn saved(begins: &Begins, most: usize) -> Vec<(Stream, &str)> {
    begins.saved(at(1), most)
}

#[test]
fn a_stream_is_saved_once_it_has_begun_and_its_service_is_due() {
    let mut begins = Begins::new();
    let [sent, begun] = ["a1", "a2"].map(Stream::new);
    for stream in [sent, begun] {
        begins.begin(at(0), stream, SERVICE, "v1", LIFETIME);
    }
    begins.note_event(begun, SERVICE, "v1");
    assert!(!begins.save_due(|_| false));
    assert!(saved(&begins, 10).is_empty());
    assert!(begins.save_due(|service| service == SERVICE));
    assert_eq!(saved(&begins, 10), [(begun, "v1")]);
    assert!(!begins.save_due(|_| true), "it is saved already");
    begins.remove_expired(at(30));
    assert!(begins.saved(at(30), 10).is_empty());
}

#[test]
fn the_streams_that_can_be_resumed_the_longest_are_saved() {
    let mut begins = Begins::new();
    for (id, seconds) in [("a1", 0), ("a2", 1)] {
        let stream = Stream::new(id);
        begins.begin(at(seconds), stream, SERVICE, "v1", LIFETIME);
        begins.note_event(stream, SERVICE, "v1");
    }
    begins.save_due(|_| true);
    assert_eq!(saved(&begins, 1), [(Stream::new("a2"), "v1")]);
}

/// Guards against a stream that goes on at a version to which it was only sent.
#[test]
fn no_announcement_overrides_the_version_that_brought_an_event() {
    let stream = Stream::new("a1");
    let mut begins = Begins::new();
    begins.restore(at(0), stream, "v1", LIFETIME);
    begins.learn(
        at(0),
        &Begin {
            stream,
            software: "v1.1".to_owned(),
            change: 3,
            lifetime: LIFETIME,
        },
    );
    assert_eq!(software(&begins, at(1), stream), Some("v1"));
}

/// Guards against taking a version that a stream was only sent to for the one that began it.
#[test]
fn only_an_event_makes_a_version_final() {
    let stream = Stream::new("a1");
    let mut own = Begins::new();
    own.begin(at(0), stream, SERVICE, "v1", LIFETIME);
    own.begin(at(0), stream, SERVICE, "v1.1", LIFETIME);
    let sent = Known {
        software: "v1.1",
        change: 1,
        is_begun: false,
    };
    assert_eq!(own.find(at(1), stream), Some(sent));
    let mut other = Begins::new();
    other.learn(at(1), &own.take_unannounced(at(1), |_| true)[0]);
    own.note_event(stream, SERVICE, "v1.1");
    let began = Known {
        is_begun: true,
        ..sent
    };
    assert_eq!(own.find(at(1), stream), Some(began));
    assert_eq!(other.find(at(1), stream), Some(sent));
}

/// Guards against saving the version of an earlier send, which brought no event.
#[test]
fn an_event_of_another_version_than_that_of_the_last_send_is_not_saved() {
    let stream = Stream::new("a1");
    let mut begins = Begins::new();
    begins.begin(at(0), stream, SERVICE, "v1", LIFETIME);
    begins.note_event(stream, SERVICE, "v1.1");
    assert!(!begins.save_due(|_| true));
}
