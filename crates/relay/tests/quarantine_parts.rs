//! Quarantine of parts of prompts that make replicas crash, beside sound requests that share the other parts.

use std::time::Duration;

use relay::fingerprint::Content;
use relay::fingerprint::Fingerprint;
use relay::quarantine::Quarantine;
use relay::quarantine::record::UnixMs;
use rstest::rstest;

const NOW: UnixMs = UnixMs(1_780_000_000_000);
const SERVICE: &str = "llm";
/// Part of all prompts.
const FIRST: &str = "f";
/// Part that crashes replicas.
const CRASHING: &str = "c";

fn after_ms(ms: u64) -> UnixMs {
    UnixMs(NOW.0 + ms)
}

/// The request `number` with these parts.
fn request(number: u64, parts: &[&str]) -> Content {
    let ids: Vec<String> = parts.iter().map(|id| (*id).to_owned()).collect();
    Content::new(Fingerprint(number), SERVICE, &ids)
}

/// Records that `replica` ended `ms` after the start while it was running `content`.
fn end(quarantine: &mut Quarantine, ms: u64, content: &Content, replica: u64) {
    for fingerprint in content.fingerprints() {
        quarantine.note_end(after_ms(ms), fingerprint, replica);
    }
}

fn serve(quarantine: &mut Quarantine, ms: u64, content: &Content) {
    for fingerprint in content.fingerprints() {
        quarantine.note_served(after_ms(ms), fingerprint);
    }
}

/// The part because of which a request with `parts` is withheld `ms` after the start.
fn withheld_part(quarantine: &Quarantine, ms: u64, parts: &[&str]) -> Option<String> {
    let withheld = quarantine.withheld(after_ms(ms), &request(99, parts))?;
    withheld.part.map(|part| part.id)
}

/// Three requests with the part, one after the other, crashed a replica each.
fn three_crashes() -> Quarantine {
    let mut quarantine = Quarantine::new();
    for number in 1..=3 {
        let content = request(number, &[FIRST, CRASHING]);
        end(&mut quarantine, 2_000 * number, &content, number);
    }
    quarantine
}

#[test]
fn a_part_of_three_requests_that_crashed_replicas_is_withheld() {
    let quarantine = three_crashes();
    let withheld = quarantine.withheld(after_ms(7_000), &request(99, &[FIRST, CRASHING]));
    let withheld = withheld.unwrap();
    assert_eq!(withheld.part.unwrap().id, CRASHING);
    assert!(withheld.remaining > Duration::from_hours(23));
}

/// Nobody has served the first part lately, so it has the same ends as the one that crashes replicas.
#[test]
fn a_part_that_sound_requests_share_is_not_withheld_from_them() {
    let quarantine = three_crashes();
    assert_eq!(withheld_part(&quarantine, 7_000, &[FIRST]), None);
    assert_eq!(withheld_part(&quarantine, 7_000, &[FIRST, "other"]), None);
}

#[test]
fn a_part_is_withheld_that_crashes_replicas_without_the_other_one_too() {
    let mut quarantine = three_crashes();
    end(&mut quarantine, 8_000, &request(4, &[FIRST]), 4);
    let withheld = withheld_part(&quarantine, 9_000, &[FIRST]);
    assert_eq!(withheld.as_deref(), Some(FIRST));
}

/// Either of two parts that were always together may be the cause. A request with one of them shows it.
#[test]
fn one_of_two_parts_with_the_same_ends_is_withheld_once_it_crashes_a_replica_alone() {
    let mut quarantine = three_crashes();
    assert_eq!(withheld_part(&quarantine, 7_000, &["x", CRASHING]), None);
    end(&mut quarantine, 8_000, &request(4, &["x", CRASHING]), 4);
    assert!(withheld_part(&quarantine, 9_000, &["x", CRASHING]).is_some());
    assert_eq!(withheld_part(&quarantine, 9_000, &[FIRST]), None);
}

#[test]
fn a_part_that_ran_beside_the_crashing_one_is_not_withheld() {
    let mut quarantine = three_crashes();
    end(&mut quarantine, 8_000, &request(4, &[FIRST, CRASHING]), 4);
    for number in 1..=3 {
        let beside = request(10 + number, &[FIRST, "beside"]);
        end(&mut quarantine, 2_000 * number, &beside, number);
    }
    assert_eq!(withheld_part(&quarantine, 9_000, &[FIRST, "beside"]), None);
    assert!(withheld_part(&quarantine, 9_000, &[FIRST, CRASHING]).is_some());
}

#[test]
fn a_part_that_was_served_is_not_withheld() {
    let mut quarantine = Quarantine::new();
    serve(&mut quarantine, 0, &request(50, &[FIRST]));
    for number in 1..=3 {
        let content = request(number, &[FIRST, &number.to_string()]);
        end(&mut quarantine, 2_000 * number, &content, number);
    }
    assert_eq!(withheld_part(&quarantine, 7_000, &[FIRST]), None);
}

/// A rack loses power: replicas end together, with all sorts of parts.
#[rstest]
#[case::of_six(6, None)]
#[case::of_three(3, Some("rare"))]
fn a_part_at_three_replicas_that_end_together_counts_once_among_others(
    #[case] replicas: u64,
    #[case] expected: Option<&str>,
) {
    let mut quarantine = Quarantine::new();
    for replica in 1..=replicas {
        let own = replica.to_string();
        let part = if replica <= 3 { "rare" } else { own.as_str() };
        end(
            &mut quarantine,
            10 * replica,
            &request(replica, &[part]),
            replica,
        );
    }
    let withheld = withheld_part(&quarantine, 1_000, &["rare"]);
    assert_eq!(withheld.as_deref(), expected);
    // Not for a day: whatever ended them together may have been something else.
    assert_eq!(withheld_part(&quarantine, 200_000, &["rare"]), None);
    // Two more ends at other times do not have that cause.
    for number in 1..=2 {
        let content = request(20 + number, &["rare"]);
        end(
            &mut quarantine,
            200_000 + 2_000 * number,
            &content,
            20 + number,
        );
    }
    assert!(withheld_part(&quarantine, 210_000, &["rare"]).is_some());
}

/// The replicas that another part crashed at the same time are no sign of a common cause.
#[test]
fn several_parts_that_crash_replicas_at_once_are_withheld() {
    let mut quarantine = Quarantine::new();
    for replica in 0..15 {
        let part = ["a", "b", "c"][replica as usize % 3];
        let content = request(replica, &[FIRST, part]);
        end(&mut quarantine, 20 * replica, &content, replica);
    }
    for part in ["a", "b", "c"] {
        let withheld = quarantine.withheld(after_ms(5_000), &request(99, &[FIRST, part]));
        assert!(withheld.is_some());
    }
}

/// Records keep some of the ends only, so that those of the other parts cannot be told apart.
#[test]
fn parts_that_crash_many_replicas_at_once_are_withheld() {
    let mut quarantine = Quarantine::new();
    for replica in 0..90 {
        let part = ["a", "b", "c"][replica as usize % 3];
        let content = request(replica, &[FIRST, part]);
        end(&mut quarantine, 5 * replica, &content, replica);
    }
    for part in ["a", "b", "c"] {
        assert!(withheld_part(&quarantine, 5_000, &[FIRST, part]).is_some());
    }
}

/// After ends that came together, few daemons find out at a time whether the part was the cause.
#[test]
fn daemons_send_a_part_again_at_different_times() {
    let remaining = |seed: u64| {
        let mut quarantine = Quarantine::new().with_seed(seed);
        for replica in 0..5 {
            end(
                &mut quarantine,
                10 * replica,
                &request(replica, &["p"]),
                replica,
            );
        }
        let withheld = quarantine.withheld(after_ms(1_000), &request(99, &["p"]));
        withheld.unwrap().remaining
    };
    let times = [1 << 61, 1 << 62, 1 << 63].map(remaining);
    assert!(times.iter().all(|time| *time > Duration::from_secs(55)));
    assert!(times[0].abs_diff(times[1]) > Duration::from_secs(10));
    assert!(times[1].abs_diff(times[2]) > Duration::from_secs(10));
}

#[test]
fn a_part_is_known_at_the_replicas_of_one_service() {
    let quarantine = three_crashes();
    let other = Content::new(Fingerprint(99), "other", &[CRASHING.to_owned()]);
    assert_eq!(quarantine.withheld(after_ms(7_000), &other), None);
}

#[test]
fn probes_in_progress_hold_back_the_part_they_may_quarantine() {
    let mut quarantine = Quarantine::new();
    let content = request(1, &[FIRST, CRASHING]);
    end(&mut quarantine, 0, &content, 1);
    let probed = Fingerprint::of_part(SERVICE, CRASHING);
    let may_become_withheld = |probes: usize| {
        let count = |fingerprint| if fingerprint == probed { probes } else { 0 };
        quarantine.may_become_withheld(after_ms(10), &content, count)
    };
    assert!(!may_become_withheld(1));
    assert!(may_become_withheld(2));
}

/// Parts that many sound requests have must not be forgotten for those that few have.
#[test]
fn many_served_parts_do_not_evict_one_that_is_served_all_the_time() {
    let mut quarantine = Quarantine::new();
    let first = Fingerprint::of_part(SERVICE, FIRST);
    for number in 0..40_000 {
        quarantine.note_served(after_ms(number), Fingerprint(number));
        if number % 1_000 == 0 {
            quarantine.note_served(after_ms(number), first);
        }
    }
    assert!(quarantine.was_served_lately(after_ms(40_000), first));
}
