//! Guards against a part of a prompt that crashes each replica which begins to answer, whatever else the prompt holds. No
//! two requests with it are alike, and sound ones share their other parts.

use std::thread;
use std::time::Duration;

use rstest::rstest;

use crate::common::daemon::Daemon;
use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::events;
use crate::common::replica::stream_head;
use crate::part_site::CRASHING;
use crate::part_site::Ending;
use crate::part_site::PartSite;
use crate::part_site::crash_on_part;
use crate::part_site::has_part;
use crate::part_site::is_served;
use crate::part_site::serve_whole;
use crate::part_site::start_prompt;
use crate::part_site::start_whole_prompt;

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

/// Sends requests with the part to the first daemon until one is refused.
fn crash_until_refused(site: &PartSite) {
    for number in 0..FREE_CRASHES {
        if start_prompt(&site.site.daemon, &[CRASHING], number)
            .read()
            .status()
            == 503
        {
            return;
        }
    }
    panic!("the part is not quarantined");
}

/// Sends a request with the part; returns the text of the refusal, if it is one.
fn refusal(daemon: &Daemon, prompt: &str, number: usize) -> Option<String> {
    let response = start_whole_prompt(daemon, prompt, number).read();
    let text = String::from_utf8_lossy(&response.body).into_owned();
    (response.status() == 503).then_some(text)
}

#[test]
fn a_refusal_names_the_part() {
    let site = PartSite::start("part-told", 1, crash_on_part(Ending::InChunks));
    crash_until_refused(&site);
    let daemon = &site.site.daemon;
    let text = refusal(daemon, "5c1e07a2:800,e4402b7d:10,aa:1", 50).unwrap();
    assert!(text.contains("part e4402b7d"), "{text}");
    assert!(text.contains("has not run"), "{text}");
    let lines = daemon.lines_about("p50");
    assert!(lines.iter().any(|line| line.contains("part e4402b7d")));
    let counted = "waxwing_gateway_withheld_total{content=\"part\"} 2";
    assert!(daemon.metrics().contains(counted), "{}", daemon.metrics());
}

/// Ids are numbers; their spelling does not matter.
#[test]
fn a_part_is_recognized_in_another_spelling() {
    let site = PartSite::start("part-spelled", 1, crash_on_part(Ending::InChunks));
    crash_until_refused(&site);
    let refused = refusal(&site.site.daemon, "5c1e07a2:800,00E4402B7D:10,aa:1", 50);
    assert!(refused.is_some());
}

/// The last part is the request's own. It crashes no replica, and serving it does not show that it is harmless before
/// another part.
#[test]
fn a_last_part_is_neither_withheld_nor_cleared() {
    let site = PartSite::start("part-last", 1, crash_on_part(Ending::InChunks));
    crash_until_refused(&site);
    let daemon = &site.site.daemon;
    let last = format!("5c1e07a2:800,{CRASHING}:260");
    assert!(start_whole_prompt(daemon, &last, 50).read().complete);
    assert!(refusal(daemon, "5c1e07a2:800,e4402b7d:10,aa:1", 51).is_some());
}

#[test]
fn a_daemon_that_starts_later_withholds_the_part() {
    let mut site = PartSite::start("part-kept", 1, crash_on_part(Ending::InChunks));
    crash_until_refused(&site);
    let rows = || site.site.store.keys("quarantine");
    let content = |key: &String| key.split_once('.').unwrap().0.to_owned();
    wait_until("the ends are stored", || {
        let rows = rows();
        rows.iter().any(|row| {
            rows.iter()
                .filter(|other| content(other) == content(row))
                .count()
                >= 3
        })
    });
    site.site.daemon.kill();
    let next = site.site.start_another("part-kept-2", false);
    next.wait_until_ready();
    wait_until("the daemon has read the records", || {
        !next.logged("\"kind\":\"quarantine\"").is_empty()
    });
    let arrivals = site.arrivals(CRASHING);
    assert!(refusal(&next, "5c1e07a2:800,e4402b7d:10,aa:1", 50).is_some());
    assert!(is_served(&next, &[], 51));
    assert_eq!(site.arrivals(CRASHING), arrivals);
}

/// A prompt that was read before the quarantine must not be answered after it.
#[test]
fn a_request_that_waits_for_its_prefill_is_held_back() {
    let prefill = Replica::start("i-p", |request| {
        let body = br#"{"kv-handle":"k1","tokens":1460,"version":1}"#;
        let answer = crate::common::http::answer(200, &[], body);
        match request.header("request-id") {
            Some("p50") => Action::SendSlowly(vec![answer], Duration::from_millis(400)),
            _ => Action::Send(answer),
        }
    });
    let script = crash_on_part(Ending::InChunks);
    let site = PartSite::start_with_prefill("part-waits", 1, prefill, script);
    let mut waiting = start_prompt(&site.site.daemon, &[CRASHING], 50);
    wait_until("the prompt is being read", || site.arrivals(CRASHING) == 1);
    crash_until_refused(&site);
    let runs = site.runs(CRASHING);
    assert_eq!(waiting.read().status(), 503);
    assert_eq!(site.runs(CRASHING), runs);
}

/// A rack loses power: replicas end together, and were at work on all sorts of parts. Nothing has been served yet, but
/// other replicas are writing answers to prompts with the part that all share.
#[test]
fn a_rare_part_at_three_replicas_that_end_together_is_not_withheld() {
    const RACK: usize = 8;
    let script = |request: &Message| match request.header("request-id") {
        Some("p50") => serve_whole(request),
        _ => Action::SendAndHang([stream_head(request), events(1, 1)].concat()),
    };
    let site = PartSite::start("part-rack", 3, script);
    let is_at_work = |replica: &&Replica| !replica.requests().is_empty();
    let count = site.decode.len();
    let callers = (0..count).map(|number| {
        let own = format!("b{number}");
        let part = if number % 2 == 0 { "0abc" } else { &own };
        start_prompt(site.daemon(number), &[part], number)
    });
    let _callers: Vec<_> = callers.collect();
    wait_until("most replicas are at work", || {
        site.decode.iter().filter(is_at_work).count() > count / 2
    });
    let rare = |replica: &&Replica| replica.requests().iter().any(|r| has_part(r, "0abc"));
    let others = site
        .decode
        .iter()
        .filter(|replica| is_at_work(replica) && !rare(replica));
    let rack = site
        .decode
        .iter()
        .filter(rare)
        .take(3)
        .chain(others.take(RACK - 3));
    let rack: Vec<&Replica> = rack.collect();
    for replica in &rack {
        replica.crash();
    }
    wait_until("the ends are noted", || {
        let daemons = site.others.iter().chain([&site.site.daemon]);
        let ended = daemons.flat_map(|daemon| daemon.logged("\"presence\":\"Ended\""));
        ended.count() >= rack.len()
    });
    thread::sleep(CONTACT_TIME);
    for number in 0..3 {
        let refused = start_prompt(site.daemon(number), &["0abc"], 50).read();
        let text = String::from_utf8_lossy(&refused.body);
        assert_ne!(refused.status(), 503, "{text}");
    }
}
