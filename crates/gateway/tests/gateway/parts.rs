//! Guards against a part of a prompt that crashes each replica which begins to answer, whatever else the prompt holds. No
//! two requests with it are alike, and sound ones share their other parts.

use std::thread;
use std::time::Duration;

use rstest::rstest;

use crate::part_site::CRASHING;
use crate::part_site::Ending;
use crate::part_site::PartSite;
use crate::part_site::crash_on_part;
use crate::part_site::is_served;
use crate::part_site::start_prompt;

/// Replicas that may crash before all daemons have to withhold the part.
const FREE_CRASHES: usize = 5;
/// Time after the last of them from which the part is withheld.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Prefills and runs with the part that may still reach replicas then.
const MAX_LATE_ARRIVALS: usize = 3;
/// Requests with the part that are sent then, and sound requests beside them.
const LATE_REQUESTS: usize = 12;

/// Sends requests with the part, one after the other through all daemons, until so many replicas crashed or one request
/// was refused; returns the number of requests.
fn crash_one_after_the_other(site: &PartSite) -> usize {
    for number in 0..FREE_CRASHES {
        if start_prompt(site.daemon(number), &[CRASHING], number)
            .read()
            .status()
            == 503
        {
            return number + 1;
        }
    }
    FREE_CRASHES
}

/// Sends requests with the part to all daemons at once; returns the number of requests.
fn crash_together(site: &PartSite) -> usize {
    let count = 2 * FREE_CRASHES;
    let callers = (0..count).map(|number| start_prompt(site.daemon(number), &[CRASHING], number));
    let callers: Vec<_> = callers.collect();
    for mut caller in callers {
        caller.read();
    }
    count
}

/// Sends further requests with the part, and sound ones; returns how many sends of the former reached replicas, and how
/// many of the latter were served at the first attempt.
fn send_late(site: &PartSite, first: usize) -> (usize, usize) {
    let before = site.arrivals(CRASHING);
    let mut served = 0;
    for number in first..first + LATE_REQUESTS {
        let daemon = site.daemon(number);
        start_prompt(daemon, &[CRASHING], number).read();
        served += usize::from(is_served(daemon, &[], number + LATE_REQUESTS));
    }
    (site.arrivals(CRASHING) - before, served)
}

#[rstest]
#[case::one_daemon("part-one", 1, Ending::InChunks, crash_one_after_the_other)]
#[case::three_daemons("part-three", 3, Ending::InChunks, crash_one_after_the_other)]
#[case::answers_without_a_length("part-bare", 3, Ending::BetweenEvents, crash_one_after_the_other)]
#[case::answers_without_events("part-empty", 3, Ending::BeforeEvents, crash_one_after_the_other)]
#[case::all_at_once("part-together", 3, Ending::InChunks, crash_together)]
fn a_part_that_crashed_replicas_is_sent_to_none(
    #[case] name: &str,
    #[case] daemons: usize,
    #[case] ending: Ending,
    #[case] crash: fn(&PartSite) -> usize,
) {
    let site = PartSite::start(name, daemons, crash_on_part(ending));
    for number in 1_000..1_000 + daemons {
        assert!(is_served(site.daemon(number), &[], number));
    }
    let sent = crash(&site);
    thread::sleep(CONTACT_TIME);
    let (arrivals, served) = send_late(&site, sent);
    assert!(arrivals <= MAX_LATE_ARRIVALS, "{arrivals} sends");
    assert!(2 * served >= LATE_REQUESTS, "{served} served");
}
