//! Which software version began a stream, and whether only one can have.

mod common;

use std::time::Duration;

use ident::Time;
use relay::begins::Begin;
use relay::begins::Begins;
use relay::begins::Conflict;
use relay::begins::Stream;
use relay::begins::save_interval;
use relay::pool::Pool;
use relay::replica::Birth;
use relay::replica::Delta;
use relay::replica::Replica;
use relay::replica::Source;
use relay::replica::Stage;
use relay::replica::Update;
use relay::revision::Revision;
use rstest::rstest;

const LIFETIME: Duration = Duration::from_secs(30);
const SERVICE: &str = "llm";

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(1_000 + seconds)
}

/// Records that the version `v1` began `stream`.
fn begin(begins: &mut Begins, now: Time, stream: Stream) {
    let begun = begins.begin(now, stream, SERVICE, "v1", LIFETIME);
    assert_eq!(begun, Ok(()));
}

fn software(begins: &Begins, now: Time, stream: Stream) -> Option<&str> {
    begins.find(now, stream)
}

#[test]
fn a_stream_is_known_until_it_cannot_be_resumed() {
    let mut begins = Begins::new();
    let stream = Stream::new("a1");
    begin(&mut begins, at(0), stream);
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
    begin(&mut begins, at(0), Stream::new("a1"));
    let other = begins.begin(at(0), Stream::new("b1"), "other", "v7", LIFETIME);
    assert_eq!(other, Ok(()));
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

#[test]
fn a_later_attempt_extends_the_life_of_a_stream() {
    let stream = Stream::new("a1");
    let announce = |now: Time| {
        let mut begins = Begins::new();
        begin(&mut begins, now, stream);
        begins.take_unannounced(now, |_| true).remove(0)
    };
    let mut keeper = Begins::new();
    assert_eq!(keeper.learn(at(0), &announce(at(0))), Ok(()));
    assert_eq!(keeper.learn(at(20), &announce(at(20))), Ok(()));
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
    // A replica that had left before may have begun streams for 30 s.
    follow(&mut pool, 1, 59);
    assert_eq!(pool.only_version(at(59), SERVICE, LIFETIME), None);
    follow(&mut pool, 60, 60);
    assert_eq!(pool.only_version(at(60), SERVICE, LIFETIME), Some("v1"));
    // The list may have changed unnoticed.
    assert_eq!(pool.only_version(at(63), SERVICE, LIFETIME), None);
    follow(&mut pool, 63, 122);
    assert_eq!(pool.only_version(at(122), SERVICE, LIFETIME), None);
    follow(&mut pool, 123, 123);
    assert_eq!(pool.only_version(at(123), SERVICE, LIFETIME), Some("v1"));
    assert_eq!(pool.only_version(at(123), "other", LIFETIME), None);
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
    // Its replica may have begun streams for 30 s after it was removed.
    follow(&mut pool, 43, 101);
    assert_eq!(pool.only_version(at(101), SERVICE, LIFETIME), None);
    follow(&mut pool, 102, 103);
    assert_eq!(pool.only_version(at(103), SERVICE, LIFETIME), Some("v1"));
}

/// The begins that are kept saved at `at(1)`.
fn saved(begins: &Begins, most: usize) -> Vec<(Stream, &str)> {
    begins.saved(at(1), most)
}

#[test]
fn a_stream_is_saved_once_from_its_begin_on() {
    let mut begins = Begins::new();
    let stream = Stream::new("a1");
    assert!(!begins.take_unsaved());
    begin(&mut begins, at(0), stream);
    assert!(begins.take_unsaved());
    assert_eq!(saved(&begins, 10), [(stream, "v1")]);
    assert!(!begins.take_unsaved(), "it is saved already");
    begins.remove_expired(at(30));
    assert!(begins.saved(at(30), 10).is_empty());
}

/// Guards against the removal of a row whose streams were resumed and live longer.
#[test]
fn a_resumed_stream_is_saved_again() {
    let mut begins = Begins::new();
    let stream = Stream::new("a1");
    begin(&mut begins, at(0), stream);
    assert!(begins.take_unsaved());
    begin(&mut begins, at(20), stream);
    assert!(begins.take_unsaved());
    assert_eq!(begins.saved(at(45), 10), [(stream, "v1")]);
}

#[test]
fn a_stream_of_another_daemon_is_not_saved() {
    let mut begins = Begins::new();
    let stream = Stream::new("a1");
    let learnt = Begin {
        stream,
        software: "v1".to_owned(),
        lifetime: LIFETIME,
    };
    assert_eq!(begins.learn(at(0), &learnt), Ok(()));
    assert!(!begins.take_unsaved());
    assert!(saved(&begins, 10).is_empty());
}

/// Guards against saves that overload the store or the link of a daemon.
#[rstest]
#[case::one_instance(1, 100)]
#[case::small(7, 400)]
#[case::grown(50, 3_800)]
#[case::large(400, 3_800)]
#[case::largest(2_000, 40_000)]
fn saves_are_bounded_over_all_instances(#[case] instances: usize, #[case] bytes: usize) {
    const STORE_WRITES_PER_S: f64 = 400.0;
    const CONTROL_BYTES_PER_S: f64 = 13_000.0;
    for is_mixed in [false, true] {
        let seconds = save_interval(instances, bytes, is_mixed).as_secs_f64();
        assert!(instances as f64 / seconds <= STORE_WRITES_PER_S / 4.0);
        // The store takes values in base64.
        assert!(bytes as f64 * 4.0 / 3.0 / seconds <= CONTROL_BYTES_PER_S / 2.0);
    }
}

/// Guards against a long time at risk where few instances write little.
#[test]
fn a_small_system_saves_within_half_a_second_while_several_versions_serve() {
    assert!(save_interval(7, 400, true) <= Duration::from_millis(100));
    assert!(save_interval(50, 2_400, true) <= Duration::from_millis(500));
}

/// Guards against a cost of saves where one version serves, which is nearly always.
#[test]
fn an_instance_saves_once_in_two_seconds_while_one_version_serves() {
    assert!(save_interval(7, 400, false) >= Duration::from_secs(2));
}

#[test]
fn the_streams_that_can_be_resumed_the_longest_are_saved() {
    let mut begins = Begins::new();
    for (id, seconds) in [("a1", 0), ("a2", 1)] {
        begin(&mut begins, at(seconds), Stream::new(id));
    }
    assert_eq!(saved(&begins, 1), [(Stream::new("a2"), "v1")]);
}

/// Guards against a record that changes: a version that brought an event began the stream for good.
#[test]
fn another_version_of_a_recorded_stream_is_a_conflict() {
    let stream = Stream::new("a1");
    let mut begins = Begins::new();
    begin(&mut begins, at(0), stream);
    let other = Begin {
        stream,
        software: "v1.1".to_owned(),
        lifetime: LIFETIME,
    };
    assert_eq!(begins.learn(at(1), &other), Err(Conflict));
    let own = begins.begin(at(1), stream, SERVICE, "v1.1", LIFETIME);
    assert_eq!(own, Err(Conflict));
    assert_eq!(software(&begins, at(2), stream), Some("v1"));
    assert_eq!(software(&begins, at(30), stream), None);
}

/// A pool that has followed a list of `v1` at version 1 for long.
fn followed() -> Pool {
    let mut pool = Pool::new();
    list(&mut pool, at(0), 1, &[replica("i-1", Some("v1"))]);
    follow(&mut pool, 1, 61);
    assert_eq!(pool.only_version(at(61), SERVICE, LIFETIME), Some("v1"));
    pool
}

fn changes(since: u64, version: u64, gone: &[&str]) -> Delta {
    Delta {
        since: Revision::new(0, since),
        version: Revision::new(0, version),
        gone: gone.iter().map(|id| (*id).to_owned()).collect(),
        ..Delta::default()
    }
}

/// Guards against resuming a stream at another version than that of a replica that came and left between
/// two readings.
#[test]
fn a_replica_that_left_before_it_was_seen_may_have_had_another_version() {
    let mut pool = followed();
    pool.apply_delta(at(61), &changes(1, 3, &["i-2"])).unwrap();
    assert_eq!(pool.only_version(at(61), SERVICE, LIFETIME), None);
    // The same departure, read a second time.
    follow(&mut pool, 62, 120);
    assert_eq!(pool.only_version(at(120), SERVICE, LIFETIME), None);
    pool.apply_delta(at(121), &changes(1, 4, &["i-2"])).unwrap();
    assert_eq!(pool.only_version(at(121), SERVICE, LIFETIME), Some("v1"));
}

/// Guards against the same at daemons that get their list from one that did not see the replica.
#[test]
fn a_departure_of_a_replica_that_was_not_seen_is_passed_on() {
    let (mut reader, mut peer) = (followed(), followed());
    reader
        .apply_delta(at(61), &changes(1, 3, &["i-2"]))
        .unwrap();
    let update = reader.update_since(at(61), Revision::new(0, 1));
    peer.apply_update(at(61), Source::Peer, &update).unwrap();
    assert_eq!(peer.only_version(at(61), SERVICE, LIFETIME), None);
}

/// Guards against the same where the store has forgotten its changes, or has come back from a copy: the
/// complete list names no departures.
#[rstest]
#[case::a_later_version(Revision::new(0, 3))]
#[case::a_new_era(Revision::new(1, 1))]
fn a_complete_list_does_not_tell_which_replicas_came_and_left(#[case] version: Revision) {
    let mut pool = followed();
    let mut complete = common::snapshot(0, vec![replica("i-1", Some("v1"))]);
    complete.version = version;
    pool.apply(at(61), &complete).unwrap();
    assert_eq!(pool.only_version(at(61), SERVICE, LIFETIME), None);
    // The same list again.
    follow(&mut pool, 62, 120);
    assert_eq!(pool.only_version(at(120), SERVICE, LIFETIME), None);
    pool.apply(at(121), &complete).unwrap();
    assert_eq!(pool.only_version(at(121), SERVICE, LIFETIME), Some("v1"));
}

/// Guards against a confirmation of an equal list by a daemon that saw a replica come and leave, which the
/// asking one did not.
#[test]
fn an_equal_list_does_not_tell_which_replicas_came_and_left() {
    let (mut reader, peer) = (followed(), followed());
    let both = [replica("i-1", Some("v1")), replica("i-2", Some("v1.1"))];
    list(&mut reader, at(61), 2, &both);
    assert!(!reader.confirms(at(61), peer.digest()));
    reader
        .apply_delta(at(62), &changes(2, 3, &["i-2"]))
        .unwrap();
    assert_eq!(reader.digest(), peer.digest());
    assert!(!reader.confirms(at(62), peer.digest()));
    // By then the list of one that did not see it is out of date.
    assert!(!reader.confirms(at(63), peer.digest()));
    assert!(reader.confirms(at(65), peer.digest()));
}

/// Guards against the same by a daemon that knows only that a replica left unseen.
#[test]
fn a_daemon_that_missed_a_replica_confirms_no_equal_list_at_once() {
    let (mut reader, peer) = (followed(), followed());
    reader
        .apply_delta(at(61), &changes(1, 3, &["i-2"]))
        .unwrap();
    assert!(!reader.confirms(at(62), peer.digest()));
    assert!(reader.confirms(at(65), peer.digest()));
}

/// Guards against confirmations that arrive in time and were read too far apart.
#[test]
fn confirmations_with_a_gap_between_their_readings_leave_replicas_unseen() {
    let mut pool = followed();
    pool.confirm_read(at(61), at(61), pool.version());
    pool.confirm_read(at(62), at(62), pool.version());
    assert_eq!(pool.only_version(at(62), SERVICE, LIFETIME), Some("v1"));
    pool.confirm_read(at(63), at(62), pool.version());
    // The store has changed.
    pool.confirm_read(at(64), at(64), Revision::new(0, 9));
    assert_eq!(pool.only_version(at(64), SERVICE, LIFETIME), None);
}

/// Guards against a list that counts as out of date because nobody confirms it for a while.
#[test]
fn a_daemon_whose_equal_list_is_not_confirmed_gets_an_update_without_changes() {
    let (mut reader, mut peer) = (followed(), followed());
    reader
        .apply_delta(at(61), &changes(1, 3, &["i-2"]))
        .unwrap();
    let update = reader.update_for_peer(at(61), peer.version(), peer.digest());
    peer.apply_update(at(61), Source::Peer, &update.unwrap())
        .unwrap();
    assert_eq!(peer.version(), reader.version());
    let update = reader.update_for_peer(at(62), peer.version(), peer.digest());
    let changes = peer.apply_update(at(62), Source::Peer, &update.unwrap());
    assert_eq!(changes, Some(Vec::new()));
    let update = reader.update_for_peer(at(65), peer.version(), peer.digest());
    assert!(update.is_none());
}

/// Guards against the same at daemons that get changes from one that read the complete list.
#[test]
fn a_daemon_that_read_a_complete_list_passes_on_that_it_may_lack_replicas() {
    let (mut reader, mut peer) = (followed(), followed());
    list(&mut reader, at(61), 3, &[replica("i-1", Some("v1"))]);
    let update = reader.update_since(at(61), peer.version());
    peer.apply_update(at(61), Source::Peer, &update).unwrap();
    assert_eq!(peer.only_version(at(61), SERVICE, LIFETIME), None);
}

/// Guards against an unseen time that daemons tell each other without end, each with its own version.
#[test]
fn an_unseen_time_that_two_daemons_tell_counts_once() {
    let (mut reader, mut other, mut peer) = (followed(), followed(), followed());
    list(&mut reader, at(61), 3, &[replica("i-1", Some("v1"))]);
    let told = reader.update_since(at(61), peer.version());
    peer.apply_update(at(61), Source::Peer, &told).unwrap();
    let mut late = reader.update_since(at(61), Revision::new(0, 1));
    if let Update::Changed(delta) = &mut late {
        delta.version = Revision::new(0, 5);
    }
    other.apply_update(at(61), Source::Peer, &late).unwrap();
    follow(&mut peer, 62, 121);
    let told = other.update_since(at(121), peer.version());
    peer.apply_update(at(121), Source::Peer, &told).unwrap();
    assert_eq!(peer.only_version(at(121), SERVICE, LIFETIME), Some("v1"));
}

/// Guards against a resumption that arrived in the life of a stream and is decided after it.
#[test]
fn the_only_version_counts_from_the_question_and_not_from_its_decision() {
    let mut pool = followed();
    pool.apply_delta(at(61), &changes(1, 3, &["i-2"])).unwrap();
    follow(&mut pool, 62, 121);
    pool.note_read(at(121));
    let only = |asked_at| pool.only_version_at(at(121), SERVICE, LIFETIME, asked_at);
    assert_eq!(only(at(120)), None);
    assert_eq!(only(at(121)), Some("v1"));
}

/// A pool that has followed a list of `v1` for long, and has seen its replica `i-2` leave.
fn followed_without_second() -> Pool {
    let mut pool = Pool::new();
    let both = [replica("i-1", Some("v1")), replica("i-2", Some("v1"))];
    list(&mut pool, at(0), 1, &both);
    follow(&mut pool, 1, 60);
    pool.apply_delta(at(61), &changes(1, 2, &["i-2"])).unwrap();
    assert_eq!(pool.only_version(at(61), SERVICE, LIFETIME), Some("v1"));
    pool
}

/// Guards against taking a replica that came back unseen under its id, and left again, for the one that
/// had left before.
#[test]
fn a_replica_that_came_back_and_left_before_it_was_seen_may_have_had_another_version() {
    let mut pool = followed_without_second();
    pool.apply_delta(at(62), &changes(2, 4, &["i-2"])).unwrap();
    assert_eq!(pool.only_version(at(62), SERVICE, LIFETIME), None);
    // Again, after the first time has lost its effect.
    follow(&mut pool, 63, 121);
    assert_eq!(pool.only_version(at(121), SERVICE, LIFETIME), None);
    follow(&mut pool, 122, 122);
    assert_eq!(pool.only_version(at(122), SERVICE, LIFETIME), Some("v1"));
    pool.apply_delta(at(122), &changes(4, 6, &["i-2"])).unwrap();
    assert_eq!(pool.only_version(at(122), SERVICE, LIFETIME), None);
}

/// Guards against taking the second unseen departure of an id for the first one.
#[test]
fn a_replica_that_came_and_left_twice_before_it_was_seen_may_have_had_another_version() {
    let mut pool = followed();
    pool.apply_delta(at(61), &changes(1, 3, &["i-2"])).unwrap();
    follow(&mut pool, 62, 121);
    assert_eq!(pool.only_version(at(121), SERVICE, LIFETIME), Some("v1"));
    pool.apply_delta(at(121), &changes(3, 5, &["i-2"])).unwrap();
    assert_eq!(pool.only_version(at(121), SERVICE, LIFETIME), None);
}

/// Guards against refused resumptions for as long as another writer writes a row that names no replica.
#[rstest]
#[case::never_listed("i-9", None)]
#[case::listed_before("i-1", Some("v1"))]
fn a_row_that_names_no_replica_is_an_unseen_departure_once(
    #[case] id: &str,
    #[case] first: Option<&str>,
) {
    let mut pool = Pool::new();
    let both = [replica("i-1", Some("v1")), replica("i-2", Some("v1"))];
    list(&mut pool, at(0), 1, &both);
    follow(&mut pool, 1, 60);
    for second in 61..=121 {
        let written = Delta {
            unreadable: vec![id.to_owned()],
            ..changes(second - 60, second - 59, &[id])
        };
        pool.apply_delta(at(second), &written).unwrap();
        if second == 61 {
            assert_eq!(pool.only_version(at(61), SERVICE, LIFETIME), first);
        }
    }
    assert_eq!(pool.only_version(at(121), SERVICE, LIFETIME), Some("v1"));
    // A replica may have come and left in between.
    pool.apply_delta(at(122), &changes(62, 63, &[id])).unwrap();
    assert_eq!(pool.only_version(at(122), SERVICE, LIFETIME), None);
}

/// Guards against the same at daemons that get their list from one that did not see it.
#[test]
fn a_departure_of_a_replica_that_came_back_unseen_is_passed_on() {
    let (mut reader, mut peer) = (followed_without_second(), followed_without_second());
    reader
        .apply_delta(at(62), &changes(2, 4, &["i-2"]))
        .unwrap();
    let update = reader.update_since(at(62), peer.version());
    peer.apply_update(at(62), Source::Peer, &update).unwrap();
    assert_eq!(peer.only_version(at(62), SERVICE, LIFETIME), None);
}

/// Guards against refused resumptions after each restart that an answer shows before the list: the version
/// of the new incarnation is that of its entry.
#[rstest]
#[case::same(2, "v1", Some("v1"))]
#[case::other(2, "v1.1", None)]
#[case::later_incarnation(3, "v1", None)]
fn a_version_that_the_list_shows_after_an_answer_is_no_unknown_one(
    #[case] listed: u64,
    #[case] software: &str,
    #[case] expected: Option<&str>,
) {
    let born = |birth, software| Replica {
        birth: Some(Birth(birth)),
        ..replica("i-1", Some(software))
    };
    let mut pool = Pool::new();
    list(&mut pool, at(0), 1, &[born(1, "v1")]);
    follow(&mut pool, 1, 60);
    let criteria = common::criteria(SERVICE, Some(Stage::Decode), &[], None);
    let key = pool.choose(at(60), &criteria, || 0.0).unwrap();
    assert_eq!(pool.update_birth(at(61), key, Some(Birth(2))).len(), 1);
    assert_eq!(pool.only_version(at(61), SERVICE, LIFETIME), None);
    let change = Delta {
        replicas: vec![born(listed, software)],
        ..changes(1, 2, &[])
    };
    pool.apply_delta(at(61), &change).unwrap();
    assert_eq!(pool.only_version(at(61), SERVICE, LIFETIME), expected);
}

/// Guards against resuming a short stream at another version than that of a replica which this daemon does
/// not list again yet after the store came back from a copy, while others do.
#[test]
fn a_replica_whose_entry_is_withheld_counts_with_its_version() {
    let short = Duration::from_secs(4);
    let (one, two) = (replica("i-1", Some("v1")), replica("i-2", Some("v1.1")));
    let mut pool = Pool::new();
    list(&mut pool, at(0), 1, &[one.clone(), two.clone()]);
    list(&mut pool, at(1), 2, std::slice::from_ref(&one));
    follow(&mut pool, 2, 60);
    assert_eq!(pool.only_version(at(60), SERVICE, short), Some("v1"));
    let mut copy = common::snapshot(0, vec![one, two]);
    copy.version = Revision::new(1, 1);
    pool.apply(at(60), &copy).unwrap();
    follow(&mut pool, 61, 66);
    // No time followed is needed beside a record.
    pool.vouch_version(at(66), SERVICE, "v1".to_owned());
    assert_eq!(pool.only_version(at(66), SERVICE, short), None);
}
