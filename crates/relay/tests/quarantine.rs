//! Quarantine of requests that make replicas crash.

use std::time::Duration;

use relay::fingerprint::Fingerprint;
use relay::quarantine::Change;
use relay::quarantine::Quarantine;
use relay::quarantine::record::End;
use relay::quarantine::record::LIMIT;
use relay::quarantine::record::Record;
use relay::quarantine::record::UnixMs;

const REQUEST: Fingerprint = Fingerprint(7);
const NOW: UnixMs = UnixMs(1_780_000_000_000);

fn later(time: Duration) -> UnixMs {
    UnixMs(NOW.0 + time.as_millis() as u64)
}

/// A daemon that recorded the end of the replicas `ended`.
fn after(ended: &[u64]) -> Quarantine {
    let mut quarantine = Quarantine::new();
    for replica in ended {
        quarantine.note_end(NOW, REQUEST, *replica);
    }
    quarantine
}

fn is_quarantined(quarantine: &Quarantine) -> bool {
    quarantine.quarantined_for(NOW, REQUEST).is_some()
}

#[test]
fn the_third_replica_that_ends_quarantines_the_request() {
    let mut quarantine = after(&[1, 2]);
    assert!(!is_quarantined(&quarantine));
    assert_eq!(quarantine.note_end(NOW, REQUEST, 3), Change::Quarantined);
    assert!(is_quarantined(&quarantine));
    assert_eq!(quarantine.quarantined(), 1);
    assert_eq!(quarantine.quarantined_for(NOW, Fingerprint(8)), None);
}

#[test]
fn one_replica_counts_once() {
    let mut quarantine = after(&[1, 2, 2, 1]);
    assert!(!is_quarantined(&quarantine));
    assert_eq!(quarantine.note_end(NOW, REQUEST, 2), Change::None);
}

#[test]
fn records_of_several_daemons_merge_in_any_order() {
    let daemons = [after(&[1]), after(&[2, 1]), after(&[3])];
    let records = daemons.iter().filter_map(|daemon| daemon.get(REQUEST));
    let records: Vec<&Record> = records.collect();
    let merged = |order: [usize; LIMIT]| {
        let mut quarantine = Quarantine::new();
        for index in order {
            quarantine.merge(NOW, records[index]);
        }
        (is_quarantined(&quarantine), quarantine.digest())
    };
    assert!(merged([0, 1, 2]).0);
    assert_eq!(merged([0, 1, 2]), merged([2, 1, 0]));
}

/// A service withdraws the ends before it; the later ones must remain, whether they merged before or after it.
#[test]
fn four_ends_and_one_service_merge_in_any_order() {
    let late = later(Duration::from_secs(70));
    let mut fourth = Record::new(REQUEST);
    fourth.ends.push(End {
        replica: 4,
        at: late,
    });
    let records = [
        after(&[1, 2, 3]).get(REQUEST).unwrap().clone(),
        fourth,
        Record::served(REQUEST, NOW),
    ];
    let merged = |order: [usize; 3]| {
        let mut quarantine = Quarantine::new();
        for index in order {
            quarantine.merge(late, &records[index]);
        }
        quarantine.get(REQUEST).unwrap().ends.clone()
    };
    assert_eq!(merged([0, 1, 2]).len(), 1);
    assert_eq!(merged([0, 1, 2]), merged([2, 1, 0]));
    assert_eq!(merged([0, 1, 2]), merged([0, 2, 1]));
}

#[test]
fn different_ends_give_different_digests() {
    assert_ne!(after(&[1, 2]).digest(), after(&[1, 3]).digest());
    assert_ne!(after(&[1, 2]).digest(), after(&[1, 2, 3]).digest());
    // Once the request is quarantined, the ended replicas do not matter.
    assert_eq!(after(&[1, 2, 3]).digest(), after(&[4, 5, 6]).digest());
    // A single end is common and not compared.
    assert_eq!(after(&[1]).digest(), Quarantine::new().digest());
}

#[test]
fn no_end_is_attributed_to_a_request_served_lately() {
    let mut quarantine = Quarantine::new();
    assert!(!quarantine.was_served_lately(NOW, REQUEST));
    assert!(quarantine.note_served(NOW, REQUEST).is_none());
    assert!(quarantine.was_served_lately(later(Duration::from_secs(50)), REQUEST));
    assert!(!quarantine.was_served_lately(later(Duration::from_secs(70)), REQUEST));
    for replica in 1..=5 {
        let change = quarantine.note_end(later(Duration::from_secs(50)), REQUEST, replica);
        assert_eq!(change, Change::Served);
    }
    assert!(!is_quarantined(&quarantine));
}

#[test]
fn ends_are_attributed_to_a_request_served_long_ago() {
    let mut quarantine = Quarantine::new();
    quarantine.note_served(NOW, REQUEST);
    for replica in 1..=3 {
        quarantine.note_end(later(Duration::from_secs(70)), REQUEST, replica);
    }
    assert!(is_quarantined(&quarantine));
}

#[test]
fn a_daemon_learns_that_the_request_was_served_elsewhere() {
    let mut daemon = after(&[1, 2]);
    let mut other = Quarantine::new();
    other.note_served(NOW, REQUEST);
    for _ in 0..2 {
        let record = daemon.get(REQUEST).unwrap().clone();
        assert_eq!(other.merge(NOW, &record), Change::Served);
    }
    daemon.merge(NOW, other.get(REQUEST).unwrap());
    assert_eq!(daemon.digest(), Quarantine::new().digest());
    assert!(daemon.get(REQUEST).unwrap().ends.is_empty());
}

#[test]
fn an_end_is_withdrawn_when_the_request_is_served() {
    let mut quarantine = after(&[1, 2]);
    assert!(
        quarantine
            .note_served(NOW, REQUEST)
            .is_some_and(|record| record.is_suspect())
    );
    assert!(quarantine.get(REQUEST).unwrap().ends.is_empty());
    assert!(quarantine.note_served(NOW, REQUEST).is_none());
}

#[test]
fn a_record_expires_a_day_after_the_last_end() {
    let mut quarantine = after(&[1, 2, 3]);
    quarantine.remove_expired(later(Duration::from_hours(23)));
    assert!(is_quarantined(&quarantine));
    let record = quarantine.get(REQUEST).unwrap().clone();
    let next_day = later(Duration::from_hours(25));
    assert_eq!(quarantine.quarantined_for(next_day, REQUEST), None);
    quarantine.remove_expired(next_day);
    assert_eq!((quarantine.quarantined(), quarantine.digest()), (0, 0));
    // An expired record is not accepted again.
    assert_eq!(quarantine.merge(next_day, &record), Change::None);
}

#[test]
fn many_single_ends_do_not_evict_a_quarantined_request() {
    let mut quarantine = after(&[1, 2, 3]);
    for other in 100..20_000 {
        quarantine.note_end(NOW, Fingerprint(other), 1);
    }
    assert!(is_quarantined(&quarantine));
    assert_eq!(quarantine.quarantined(), 1);
}
