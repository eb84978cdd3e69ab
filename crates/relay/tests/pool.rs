//! States of replicas in the pool, and the choice among them.

mod common;

use std::time::Duration;

use ident::Time;
use relay::pool::Pool;
use relay::replica::Delta;
use relay::replica::Replica;
use relay::replica::Snapshot;
use relay::replica::Source;
use relay::replica::Stage;
use relay::replica::Update;
use relay::replica_state::ReplicaState;
use relay::revision::Revision;
use relay::score::Criteria;
use relay::server::Key;
use rstest::rstest;

const START: Time = Time::from_millis(100_000);
/// Time of the last read before an outage that is long enough for entries to lapse.
const BEFORE_OUTAGE: Time = Time::from_millis(95_000);

fn replica(id: &str) -> Replica {
    common::replica(id, "app", None, 4)
}

fn snapshot(version: u64, ids: &[&str]) -> Snapshot {
    common::snapshot(version, ids.iter().map(|id| replica(id)).collect())
}

fn criteria(tried: &[Key]) -> Criteria<'_> {
    common::criteria("app", None, tried, None)
}

fn chosen(pool: &Pool, now: Time, tried: &[Key]) -> Option<String> {
    let key = pool.choose(now, &criteria(tried), || 0.0)?;
    pool.get(key).map(|server| server.replica.id.clone())
}

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

#[test]
fn an_older_list_is_ignored() {
    let mut pool = Pool::new();
    pool.apply(START, &snapshot(5, &["one"]));
    assert!(pool.apply(START, &snapshot(4, &["one", "two"])).is_none());
    assert_eq!(pool.replicas().count(), 1);
}

#[test]
fn a_draining_replica_is_not_chosen() {
    let mut pool = Pool::new();
    pool.apply(START, &snapshot(1, &["one"]));
    let mut leaving = snapshot(2, &["one"]);
    leaving.replicas[0].draining = true;
    let changes = pool.apply(START, &leaving).unwrap();
    assert_eq!(changes[0].now, ReplicaState::Draining);
    assert_eq!(chosen(&pool, START, &[]), None);
}

/// Guards against sending a request to a replica long after the replica started draining.
#[test]
fn a_draining_replica_receives_assigned_requests_only_during_the_grace_period() {
    let mut pool = Pool::new();
    pool.apply(START, &snapshot(1, &["one"]));
    let key = pool.choose(START, &criteria(&[]), || 0.0).unwrap();
    let mut leaving = snapshot(2, &["one"]);
    leaving.replicas[0].draining = true;
    pool.apply(after(1_000), &leaving).unwrap();
    leaving.version = Revision::new(0, 3);
    pool.apply(after(1_200), &leaving).unwrap();
    assert!(pool.get(key).unwrap().may_receive(after(1_250)));
    assert!(!pool.get(key).unwrap().may_receive(after(1_251)));
    pool.apply(after(1_300), &snapshot(4, &["one"])).unwrap();
    assert!(pool.get(key).unwrap().may_receive(after(9_000)));
}

#[test]
fn a_replica_that_disappears_without_an_outage_is_gone_at_once() {
    let mut pool = Pool::new();
    pool.apply(START, &snapshot(1, &["one"]));
    let changes = pool.apply(after(600), &snapshot(2, &[])).unwrap();
    assert_eq!(changes[0].now, ReplicaState::Gone);
    assert_eq!(chosen(&pool, after(600), &[]), None);
}

/// An entry that lapsed during an outage returns within two seconds of its end; one still missing
/// after that belongs to a replica that left, which must not receive requests.
#[test]
fn a_replica_that_disappears_after_an_outage_is_used_for_two_seconds() {
    let mut pool = Pool::new();
    pool.apply(BEFORE_OUTAGE, &snapshot(1, &["one"]));
    pool.note_outage(after(0));
    let changes = pool.apply(after(1_500), &snapshot(2, &[])).unwrap();
    assert_eq!(changes[0].now, ReplicaState::Lapsed);
    assert_eq!(chosen(&pool, after(1_600), &[]).as_deref(), Some("one"));
    // The bound also holds between two reads of the list.
    assert_eq!(chosen(&pool, after(2_000), &[]), None);
    let changes = pool.apply(after(2_100), &snapshot(3, &[])).unwrap();
    assert_eq!(changes[0].now, ReplicaState::Gone);
}

#[test]
fn a_replica_that_returns_after_an_outage_stays_in_use() {
    let mut pool = Pool::new();
    pool.apply(BEFORE_OUTAGE, &snapshot(1, &["one"]));
    pool.note_outage(START);
    pool.apply(after(1_000), &snapshot(2, &[]));
    pool.apply(after(1_500), &snapshot(3, &["one"]));
    assert_eq!(chosen(&pool, after(9_000), &[]).as_deref(), Some("one"));
}

/// A daemon that learns of an outage only from a peer uses a lapsed replica as long as the peer
/// does.
#[test]
fn a_peer_gets_a_lapsing_replica_with_its_remaining_time() {
    let mut reader = Pool::new();
    reader.apply(BEFORE_OUTAGE, &snapshot(1, &["one"]));
    let mut peer = reader_of(&reader, BEFORE_OUTAGE);
    reader.note_outage(START);
    reader.apply(after(1_000), &snapshot(2, &[]));
    assert_ne!(reader.digest(), peer.digest());
    peer.apply(after(1_000), &reader.snapshot(after(1_000)));
    assert_eq!(reader.digest(), peer.digest());
    assert_eq!(chosen(&peer, after(1_800), &[]).as_deref(), Some("one"));
    assert_eq!(chosen(&peer, after(2_000), &[]), None);
}

fn reader_of(pool: &Pool, now: Time) -> Pool {
    let mut reader = Pool::new();
    reader.apply(now, &pool.snapshot(now));
    reader
}

#[test]
fn a_replica_whose_address_another_one_uses_is_not_chosen() {
    let mut pool = Pool::new();
    pool.apply(START, &snapshot(1, &["one"]));
    let key = pool.choose(START, &criteria(&[]), || 0.0).unwrap();
    pool.mark_replaced(key);
    assert_eq!(chosen(&pool, START, &[]), None);
}

#[test]
fn the_less_loaded_replica_is_chosen() {
    let mut pool = Pool::new();
    pool.apply(START, &snapshot(1, &["one", "two"]));
    let first = pool.choose(START, &criteria(&[]), || 0.0).unwrap();
    pool.start_request(first, 0);
    let second = pool.choose(START, &criteria(&[]), || 0.0).unwrap();
    assert_ne!(first, second);
}

#[test]
fn a_replica_that_fails_is_avoided_for_some_seconds() {
    let mut pool = Pool::new();
    pool.apply(START, &snapshot(1, &["one", "two"]));
    let failing = pool.choose(START, &criteria(&[]), || 0.0).unwrap();
    let id = pool.get(failing).unwrap().replica.id.clone();
    for _ in 0..3 {
        pool.record_result(START, failing, true);
    }
    assert_ne!(chosen(&pool, after(1_000), &[]), Some(id));
    assert!(pool.get(failing).unwrap().failure_share(after(30_000)) < 0.01);
}

#[test]
fn a_replica_of_another_stage_is_not_chosen() {
    let mut pool = Pool::new();
    let mut list = snapshot(1, &["one"]);
    list.replicas[0].stage = Some(Stage::Prefill);
    pool.apply(START, &list);
    let decode = Criteria {
        stage: Some(Stage::Decode),
        ..criteria(&[])
    };
    assert!(pool.choose(START, &decode, || 0.0).is_none());
}

fn delta_since(reader: &Pool, since: u64) -> Delta {
    match reader.update_since(after(5_000), Revision::new(0, since)) {
        Update::Changed(delta) => delta,
        Update::All(_) => panic!("expected a delta"),
    }
}

#[test]
fn a_peer_gets_only_the_changes() {
    let mut reader = Pool::new();
    reader.apply(START, &snapshot(3, &["one", "two"]));
    reader.apply(after(500), &snapshot(5, &["two", "three"]));
    let delta = delta_since(&reader, 3);
    let ids: Vec<&str> = delta.replicas.iter().map(|r| r.id.as_str()).collect();
    assert_eq!(
        (delta.since, delta.version),
        (Revision::new(0, 3), Revision::new(0, 5))
    );
    assert_eq!(ids, ["three"]);
    assert_eq!(delta.gone, ["unknown before 0.5", "one"]);
    let mut peer = Pool::new();
    peer.apply(START, &snapshot(3, &["one", "two"]));
    peer.apply_update(after(600), Source::Peer, &Update::Changed(delta))
        .unwrap();
    assert_eq!(peer.digest(), reader.digest());
    assert_eq!(peer.version(), Revision::new(0, 5));
    assert!(delta_since(&reader, 5).replicas.is_empty());
}

#[test]
fn a_peer_older_than_the_first_list_gets_a_snapshot() {
    let mut reader = Pool::new();
    reader.apply(START, &snapshot(3, &["one"]));
    assert!(matches!(
        reader.update_since(START, Revision::new(0, 2)),
        Update::All(_)
    ));
    assert!(matches!(
        reader.update_since(START, Revision::new(0, 0)),
        Update::All(_)
    ));
}

#[test]
fn a_delta_with_another_base_version_is_rejected() {
    let mut pool = Pool::new();
    pool.apply(START, &snapshot(3, &["one"]));
    let late = Delta {
        since: Revision::new(0, 4),
        version: Revision::new(0, 6),
        gone: vec!["one".to_owned()],
        ..Delta::default()
    };
    assert!(pool.apply_delta(after(100), &late).is_none());
    let old = Delta {
        since: Revision::new(0, 1),
        version: Revision::new(0, 2),
        ..late
    };
    assert!(pool.apply_delta(after(100), &old).is_none());
    assert_eq!(chosen(&pool, after(200), &[]).unwrap(), "one");
}

/// Entries that lapsed during an outage return within two seconds. A delta does not mention those
/// that do not.
#[test]
fn a_replica_that_lapsed_by_a_delta_is_dropped_after_the_grace_period() {
    let mut pool = Pool::new();
    pool.apply(BEFORE_OUTAGE, &snapshot(3, &["one", "two"]));
    pool.note_outage(after(1_000));
    let lapsed = Delta {
        since: Revision::new(0, 3),
        version: Revision::new(0, 4),
        gone: vec!["one".to_owned(), "two".to_owned()],
        ..Delta::default()
    };
    pool.apply_delta(after(1_500), &lapsed).unwrap();
    assert!(chosen(&pool, after(1_600), &[]).is_some());
    let back = Delta {
        since: Revision::new(0, 4),
        version: Revision::new(0, 5),
        replicas: vec![replica("two")],
        ..Delta::default()
    };
    pool.apply_delta(after(2_000), &back).unwrap();
    assert_eq!(chosen(&pool, after(3_500), &[]).unwrap(), "two");
    let nothing = Delta {
        since: Revision::new(0, 5),
        version: Revision::new(0, 6),
        ..Delta::default()
    };
    let changes = pool.apply_delta(after(3_500), &nothing).unwrap();
    assert_eq!(changes[0].now, ReplicaState::Gone);
    assert_eq!(delta_since(&pool, 5).gone, ["one"]);
}

/// A reader whose lapsed replica ran out of time between two reads of the store.
fn reader_past_a_lapse() -> (Pool, Pool) {
    let mut reader = Pool::new();
    reader.apply(BEFORE_OUTAGE, &snapshot(1, &["one", "two"]));
    let peer = reader_of(&reader, BEFORE_OUTAGE);
    reader.note_outage(START);
    reader.apply(after(1_000), &snapshot(2, &["two"]));
    (reader, peer)
}

#[test]
fn a_peer_drops_a_lapsed_replica_before_the_next_read() {
    let (reader, mut peer) = reader_past_a_lapse();
    let now = after(2_000);
    let update = reader
        .update_for_peer(now, peer.version(), peer.digest())
        .unwrap();
    peer.apply_update(now, Source::Peer, &update);
    assert_eq!(peer.replicas().count(), 1);
    assert_eq!(peer.digest(), reader.digest());
}

#[test]
fn a_peer_whose_list_differs_at_the_same_version_gets_a_snapshot() {
    let (reader, _) = reader_past_a_lapse();
    let mut peer = Pool::new();
    peer.apply(START, &snapshot(2, &["one", "two"]));
    let now = after(2_000);
    let update = reader
        .update_for_peer(now, Revision::new(0, 2), peer.digest())
        .unwrap();
    peer.apply_update(now, Source::Peer, &update);
    assert_eq!(peer.digest(), reader.digest());
    // The reader has just got a complete list, and confirms no equal one: an update without effect.
    let update = reader.update_for_peer(now, Revision::new(0, 2), peer.digest());
    let changes = peer.apply_update(now, Source::Peer, &update.unwrap());
    assert_eq!(changes, Some(Vec::new()));
    let later = after(4_000);
    assert!(
        reader
            .update_for_peer(later, Revision::new(0, 2), peer.digest())
            .is_none()
    );
}

/// Guards against reusing a departed replica that a peer with an outage reports as lapsing.
#[test]
fn a_replica_that_is_gone_is_not_used_again_because_a_peer_reports_it_as_lapsing() {
    let mut reader = Pool::new();
    reader.apply(BEFORE_OUTAGE, &snapshot(1, &["one", "two"]));
    let mut peer = reader_of(&reader, BEFORE_OUTAGE);
    peer.apply(after(500), &snapshot(2, &["two"]));
    reader.note_outage(after(1_000));
    reader.apply(after(1_100), &snapshot(3, &["two"]));
    let updates = [
        reader.update_since(after(1_200), Revision::new(0, 2)),
        Update::All(reader.snapshot(after(1_200))),
    ];
    for update in updates {
        peer.apply_update(after(1_200), Source::Peer, &update)
            .unwrap();
        assert_eq!(chosen(&peer, after(1_200), &[]).unwrap(), "two");
        assert_eq!(peer.replicas().count(), 1);
        let key = peer.choose(after(1_200), &criteria(&[]), || 0.0).unwrap();
        assert_eq!(chosen(&peer, after(1_200), &[key]), None);
    }
}

/// Guards against applying the grace period to a removal reported by a peer without an outage.
#[rstest]
#[case::delta(false, false)]
#[case::snapshot(true, false)]
#[case::delta_for_a_lapsing_replica(false, true)]
#[case::snapshot_without_a_lapsing_replica(true, true)]
fn a_replica_that_a_peer_reports_as_gone_is_dropped_after_a_local_outage(
    #[case] is_snapshot: bool,
    #[case] is_lapsing: bool,
) {
    let mut reader = Pool::new();
    reader.apply(BEFORE_OUTAGE, &snapshot(1, &["one"]));
    let mut peer = reader_of(&reader, BEFORE_OUTAGE);
    reader.apply(after(1_000), &snapshot(2, &[]));
    peer.note_outage(after(1_100));
    if is_lapsing {
        let changes = peer.apply(after(1_150), &snapshot(1, &[])).unwrap();
        assert_eq!(changes[0].now, ReplicaState::Lapsed);
    }
    let update = if is_snapshot {
        Update::All(reader.snapshot(after(1_200)))
    } else {
        reader.update_since(after(1_200), Revision::new(0, 1))
    };
    let changes = peer
        .apply_update(after(1_200), Source::Peer, &update)
        .unwrap();
    assert_eq!(changes[0].now, ReplicaState::Gone);
    assert_eq!(chosen(&peer, after(1_200), &[]), None);
}

/// Guards against reporting a replica that was listed again and lapses as gone.
#[test]
fn a_lapsing_replica_that_had_left_before_is_used_by_a_peer() {
    let mut reader = Pool::new();
    reader.apply(BEFORE_OUTAGE, &snapshot(1, &["one"]));
    let mut peer = reader_of(&reader, BEFORE_OUTAGE);
    reader.apply(BEFORE_OUTAGE, &snapshot(2, &[]));
    reader.apply(BEFORE_OUTAGE, &snapshot(3, &["one"]));
    reader.note_outage(after(1_000));
    reader.apply(after(1_100), &snapshot(4, &[]));
    let update = reader.update_since(after(1_200), Revision::new(0, 1));
    let changes = peer
        .apply_update(after(1_200), Source::Peer, &update)
        .unwrap();
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].now, ReplicaState::Lapsed);
    assert_eq!(chosen(&peer, after(1_200), &[]).as_deref(), Some("one"));
}

/// Guards against treating a departure after an outage too short for entries to lapse as a lapse.
#[test]
fn a_replica_that_disappears_after_a_short_outage_is_gone_at_once() {
    let mut pool = Pool::new();
    pool.apply(START, &snapshot(1, &["one"]));
    pool.note_outage(after(1_200));
    let changes = pool.apply(after(1_600), &snapshot(2, &[])).unwrap();
    assert_eq!(changes[0].now, ReplicaState::Gone);
    assert_eq!(chosen(&pool, after(1_600), &[]), None);
}

/// Guards against accepting a lapse from a peer that alone lost the store.
#[rstest]
#[case::delta(false)]
#[case::snapshot(true)]
fn a_lapsing_replica_is_gone_for_a_daemon_whose_list_was_up_to_date(#[case] is_snapshot: bool) {
    let mut reader = Pool::new();
    reader.apply(BEFORE_OUTAGE, &snapshot(1, &["one"]));
    let mut peer = reader_of(&reader, BEFORE_OUTAGE);
    for ms in (0..5_500).step_by(500) {
        peer.confirm(
            BEFORE_OUTAGE + Duration::from_millis(ms),
            Revision::new(0, 1),
        );
    }
    reader.note_outage(after(800));
    let changes = reader.apply(after(1_000), &snapshot(2, &[])).unwrap();
    assert_eq!(changes[0].now, ReplicaState::Lapsed);
    let update = if is_snapshot {
        Update::All(reader.snapshot(after(1_000)))
    } else {
        reader.update_since(after(1_000), Revision::new(0, 1))
    };
    let changes = peer
        .apply_update(after(1_000), Source::Peer, &update)
        .unwrap();
    assert_eq!(changes[0].now, ReplicaState::Gone);
    assert_eq!(chosen(&peer, after(1_000), &[]), None);
}

/// Guards against a throttled replica that is chosen too early, or stays throttled after its limit is lifted.
#[test]
fn a_throttled_replica_is_chosen_again_after_the_pause_or_without_a_limit() {
    let mut pool = Pool::new();
    pool.apply(START, &snapshot(1, &["one"]));
    let key = pool.choose(START, &criteria(&[]), || 0.0).unwrap();
    assert!(pool.set_limit(key, Some(2.0)));
    assert!(!pool.set_limit(key, Some(2.0)));
    assert!(chosen(&pool, START, &[]).is_some());
    assert_eq!(pool.exclusion_remaining(START, &criteria(&[])), None);
    pool.throttle(key, after(500));
    assert_eq!(chosen(&pool, after(499), &[]), None);
    let remaining = pool.exclusion_remaining(after(400), &criteria(&[]));
    assert_eq!(remaining, Some(Duration::from_millis(100)));
    assert_eq!(
        pool.exclusion_remaining(after(400), &common::criteria("another", None, &[], None)),
        None
    );
    assert!(chosen(&pool, after(500), &[]).is_some());
    pool.throttle(key, after(9_000));
    assert!(pool.set_limit(key, None));
    assert!(chosen(&pool, after(500), &[]).is_some());
}

/// Only a sample of many replicas is scored; if none of the sample has room, the others are.
#[test]
fn the_last_untried_replica_of_many_is_found() {
    let ids: Vec<String> = (0..300).map(|number| number.to_string()).collect();
    let names: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut pool = Pool::new();
    pool.apply(START, &snapshot(1, &names));
    let mut tried = Vec::new();
    while let Some(key) = pool.choose(START, &criteria(&tried), || 0.7) {
        assert!(!tried.contains(&key));
        tried.push(key);
    }
    assert_eq!(tried.len(), 300);
}
