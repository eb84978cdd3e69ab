//! Rows that the store has lost, since it came back from a copy, are written again by the daemons.

use std::collections::BTreeSet;
use std::time::Duration;

use gateway::quarantine::storage::missing_rows;
use gateway::watch::rewriting;
use platform::store::Edit;
use relay::fingerprint::Fingerprint;
use relay::quarantine::record::End;
use relay::quarantine::record::Record;
use relay::quarantine::record::SERVED_GRACE;
use relay::quarantine::record::UnixMs;
use rstest::rstest;

/// Transactions per second that the store takes in one part.
const PART_WRITES_PER_S: f64 = 300.0;

/// A record of `ends` replicas that ended under the content.
fn record(ends: u64) -> Record {
    let mut record = Record::new(Fingerprint(7));
    record.ends.extend((0..ends).map(|number| End {
        replica: number,
        at: UnixMs(1_000 + number),
    }));
    record
}

fn keys(rows: &[Edit]) -> BTreeSet<String> {
    rows.iter().map(|row| row.key().to_owned()).collect()
}

/// Guards against a store that refuses the writes of a large fleet, since all instances make them at once.
#[rstest]
#[case::large(985)]
#[case::larger(2_000)]
fn a_large_fleet_writes_its_rows_again_below_the_rate_of_the_store(#[case] members: usize) {
    let rate = members as f64 / rewriting::spread(members).as_secs_f64();
    assert!(rate < PART_WRITES_PER_S / 2.0, "{rate} writes per second");
}

#[rstest]
#[case(1)]
#[case(7)]
#[case(400)]
fn a_small_fleet_writes_its_rows_again_within_seconds(#[case] members: usize) {
    assert!(rewriting::spread(members) < Duration::from_secs(5));
}

#[test]
fn the_rows_of_a_suspect_record_that_the_table_lacks_are_written_again() {
    let all = missing_rows(&BTreeSet::new(), &record(3));
    assert_eq!(all.len(), 3);
    assert_eq!(missing_rows(&keys(&all[..1]), &record(3)), all[1..]);
    assert_eq!(missing_rows(&keys(&all), &record(3)), []);
    // The rows of another content do not count.
    let mut other = record(3);
    other.fingerprint = Fingerprint(8);
    assert_eq!(missing_rows(&keys(&all), &other).len(), 3);
}

/// Guards against a table that grows by rows that were never in it: when many replicas end together, thousands of harmless
/// requests have a record.
#[test]
fn a_record_that_was_never_stored_is_not_written() {
    assert_eq!(missing_rows(&BTreeSet::new(), &record(1)), []);
    let served = Record::served(Fingerprint(7), UnixMs(5_000));
    assert_eq!(missing_rows(&BTreeSet::new(), &served), []);
}

/// Guards against a copy from before the request was served: it would be quarantined again after a start of all daemons.
#[test]
fn the_time_of_service_is_written_again_if_the_copy_has_the_ends() {
    let stored = keys(&missing_rows(&BTreeSet::new(), &record(3)));
    let served_at = UnixMs(1_000).plus(SERVED_GRACE);
    let served = Record::served(Fingerprint(7), served_at);
    let missing = missing_rows(&stored, &served);
    let expected = Edit::Write {
        key: format!("{}.served", Fingerprint(7)),
        value: served_at.0.to_string().into_bytes(),
    };
    assert_eq!(missing, [expected]);
}
