//! Versions of a service that need a decode replica.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use ident::Time;
use ident::Zone;
use relay::balance::StageCounts;
use relay::homes::Homes;
use relay::replica::Replica;
use relay::replica::Stage;
use relay::version_stages::VersionStages;
use rstest::rstest;

const CHANGE_TIME: Duration = Duration::from_secs(6);
const LIFETIME: Duration = Duration::from_secs(28);
const START: Time = Time::from_millis(100_000);

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

/// Available replicas of each version: prefill, decode.
type Counts = &'static [(&'static str, (usize, usize))];

fn update(stages: &mut VersionStages, now: Time, counts: Counts) {
    let counts = counts.iter().map(|(software, (prefill, decode))| {
        let counts = StageCounts {
            prefill: *prefill,
            decode: *decode,
        };
        ((*software).to_owned(), counts)
    });
    let counts: BTreeMap<String, StageCounts> = counts.collect();
    stages.update(now, &counts, LIFETIME);
}

/// What is tracked after `before`, and `now` one second later.
fn tracked(before: Counts, now: Counts) -> VersionStages {
    let mut stages = VersionStages::new(CHANGE_TIME);
    update(&mut stages, START, before);
    update(&mut stages, after(1_000), now);
    stages
}

/// Guards against a version whose streams have nowhere to go on beside its idle prefill replicas.
#[rstest]
#[case::lost_beside_another(&[("a", (2, 1))], &[("a", (2, 0)), ("b", (0, 1))], Some("a"))]
#[case::still_decodes(&[("a", (2, 2))], &[("a", (2, 1)), ("b", (0, 1))], None)]
#[case::has_no_replica_to_change(&[("a", (0, 1))], &[("b", (1, 1))], None)]
#[case::never_decoded(&[("b", (2, 1))], &[("a", (1, 0)), ("b", (2, 1))], None)]
#[case::the_only_version(&[("a", (2, 1))], &[("a", (2, 0))], None)]
fn a_version_that_lost_its_decode_replicas_is_due(
    #[case] before: Counts,
    #[case] now: Counts,
    #[case] expected: Option<&str>,
) {
    assert_eq!(tracked(before, now).due(after(1_000)), expected);
}

const BEFORE: Counts = &[("a", (2, 1)), ("b", (0, 1))];
const LOST: Counts = &[("a", (2, 0)), ("b", (0, 1))];

/// Guards against a second order while the first one is carried out.
#[test]
fn nothing_is_due_until_an_order_shows_in_the_list() {
    let mut stages = tracked(BEFORE, LOST);
    stages.order_sent(after(1_000), "a");
    update(&mut stages, after(9_500), LOST);
    assert_eq!(stages.due(after(9_500)), None);
    assert_eq!(stages.due(after(10_500)), Some("a"));
}

#[test]
fn an_order_that_was_not_sent_is_due_again_soon() {
    let mut stages = tracked(BEFORE, LOST);
    stages.order_failed(after(1_000), "a");
    assert_eq!(stages.due(after(2_000)), None);
    assert_eq!(stages.due(after(2_500)), Some("a"));
}

#[test]
fn nothing_is_due_once_no_stream_can_be_resumed() {
    let mut stages = tracked(BEFORE, LOST);
    update(&mut stages, after(28_000), LOST);
    assert_eq!(stages.due(after(28_000)), None);
}

#[test]
fn the_end_of_the_change_is_estimated_from_the_loss() {
    let stages = tracked(BEFORE, LOST);
    let remaining = |ms| stages.change_remaining(after(ms), "a");
    assert_eq!(remaining(1_000), Some(Duration::from_millis(6_500)));
    assert_eq!(remaining(7_500), None);
    assert_eq!(stages.change_remaining(after(1_000), "b"), None);
}

#[test]
fn available_replicas_are_counted_by_version() {
    let engine = |id: &str, software: &str, stage, draining| Replica {
        software: Some(software.to_owned()),
        draining,
        ..common::replica(id, "llm", Some(stage), 8)
    };
    let unknown = Replica {
        software: None,
        ..common::replica("5", "llm", Some(Stage::Decode), 8)
    };
    let replicas = vec![
        engine("1", "a", Stage::Decode, false),
        engine("2", "a", Stage::Decode, true),
        engine("3", "a", Stage::Prefill, false),
        engine("4", "b", Stage::Decode, true),
        unknown,
    ];
    let pool = common::pool(START, replicas);
    let counted = pool.version_stage_counts(START, "llm", &Homes::default());
    let counts = StageCounts {
        prefill: 1,
        decode: 1,
    };
    assert_eq!(counted, BTreeMap::from([("a".to_owned(), counts)]));
}

#[rstest]
#[case::one_region(&["east"], 1)]
#[case::both_regions(&["east", "west"], 2)]
#[case::anywhere(&[], 2)]
fn replicas_are_counted_in_the_homes_only(#[case] homes: &[&str], #[case] expected: usize) {
    let regions = [("here", "east"), ("there", "west")];
    let regions = regions.map(|(name, region)| (name.to_owned(), region.to_owned()));
    let homes: Vec<String> = homes.iter().map(|region| (*region).to_owned()).collect();
    let homes = Homes::new(&BTreeMap::from(regions), &homes, &[]);
    let engine = |id: &str, data_centre: &str| Replica {
        software: Some("a".to_owned()),
        data_centre: Zone::new(data_centre),
        ..common::replica(id, "llm", Some(Stage::Decode), 8)
    };
    let replicas = vec![engine("1", "here"), engine("2", "there")];
    let counted = common::pool(START, replicas).version_stage_counts(START, "llm", &homes);
    assert_eq!(counted["a"].decode, expected);
}

/// Guards against callers that come back by a duration which the configuration no longer names.
#[test]
fn a_new_duration_of_changes_counts_for_the_time_that_is_left() {
    let mut stages = tracked(BEFORE, LOST);
    stages.set_change_time(CHANGE_TIME * 2);
    let remaining = stages.change_remaining(after(1_000), "a");
    assert_eq!(remaining, Some(Duration::from_millis(12_500)));
}

/// Guards against a pause that outlasts the change once the configuration names a shorter one.
#[test]
fn a_new_duration_of_changes_counts_for_the_present_pause() {
    let mut stages = tracked(BEFORE, LOST);
    stages.order_sent(after(1_000), "a");
    stages.set_change_time(CHANGE_TIME / 6);
    assert_eq!(stages.due(after(4_500)), None);
    assert_eq!(stages.due(after(5_500)), Some("a"));
}
