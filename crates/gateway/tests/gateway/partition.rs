//! Instances that are partitioned from replicas, which their peers reach.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use crate::common::caller::Caller;
use crate::common::daemon::Daemon;
use crate::common::daemon::wait_until;
use crate::common::gate::Cut;
use crate::common::replica::Replica;
use crate::cut_site::KINDS;
use crate::cut_site::Kind;
use crate::cut_site::SLOW_DRAFT;
use crate::cut_site::SLOW_READ;
use crate::cut_site::SLOW_STREAM;
use crate::cut_site::SLOWER_STREAM;
use crate::cut_site::Site;
use crate::cut_site::WARM_UP;
use crate::site::headers;
use crate::site::start_generation;

/// Time after which a partitioned instance has to serve like the others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests of one kind in a test.
const REQUESTS: usize = 12;
/// Smallest share of the requests that has to be served at the first try.
const MIN_SERVED: f64 = 2.0 / 3.0;
/// Pause between two requests.
const INTERVAL: Duration = Duration::from_millis(50);

/// Number of requests of `kind` that `daemon` serves at the first try.
fn count_served(daemon: &Daemon, kind: Kind, from: usize) -> usize {
    let served = (from..from + REQUESTS).filter(|number| {
        thread::sleep(INTERVAL);
        kind.is_served_by(daemon, &number.to_string())
    });
    served.count()
}

/// Guards against refusing what the other instances serve, only because this instance is partitioned from the replicas.
#[rstest]
#[case::reset(Cut::Reset)]
#[case::silent(Cut::Silent)]
#[case::kept_connections_live_on(Cut::NewOnly)]
fn an_instance_partitioned_from_the_replicas_serves_through_a_peer(#[case] cut: Cut) {
    let site = Site::start("through-peer");
    site.warm_up();
    site.cut(cut, &["app", "llm"]);
    let cut_at = Instant::now();
    let kinds = KINDS;
    // Callers do not stop while the cut is being noticed.
    let mut number = 0;
    while cut_at.elapsed() < CONTACT_TIME {
        number += 1;
        for kind in kinds {
            drop(kind.start(&site.cut, &format!("early-{number}")));
        }
        thread::sleep(INTERVAL);
    }
    for kind in kinds {
        let served = count_served(&site.cut, kind, 0);
        let others = count_served(&site.sound, kind, REQUESTS);
        assert!(
            served as f64 >= others as f64 * MIN_SERVED,
            "{kind:?}: {served} served, {others} at the other instance"
        );
    }
}

/// Guards against taking sound replicas for ended, which would put the requests that they were at work on into
/// quarantine at all instances.
#[rstest]
#[case::reset(Cut::Reset)]
#[case::silent(Cut::Silent)]
fn a_replica_that_only_this_instance_cannot_reach_does_not_count_as_ended(#[case] cut: Cut) {
    let site = Site::start("not-ended");
    site.warm_up();
    let streams: Vec<Caller> = (0..2)
        .map(|number| start_generation(&site.cut, SLOW_DRAFT, &format!("slow-{number}")))
        .collect();
    wait_until("the streams have begun", || {
        site.cut.logged("forwarded the first event").len() >= 2 + 2 * WARM_UP
    });
    let reads: Vec<Caller> = (0..3)
        .map(|number| {
            let mut caller = site.cut.caller();
            let id = format!("lost-{number}");
            caller.start_request(&format!("GET {SLOW_READ}"), &headers(&id), b"");
            caller
        })
        .collect();
    wait_until("the calls have arrived", || {
        site.arrived(SLOW_READ).len() >= 3
    });
    site.cut(cut, &["app", "llm"]);
    wait_until("a loss is looked into", || {
        !site
            .cut
            .logged("a replica was lost while at work")
            .is_empty()
    });
    for mut caller in reads.into_iter().chain(streams) {
        drop(caller.read());
    }
    thread::sleep(CONTACT_TIME);
    let ends = site.cut.logged("a replica ended while at work");
    assert!(ends.is_empty(), "{ends:?}");
}

/// Guards against breaking off a stream that a peer can resume.
#[rstest]
#[case::reset(Cut::Reset)]
#[case::silent(Cut::Silent)]
fn a_resumable_stream_goes_on_through_a_peer_after_a_partition(#[case] cut: Cut) {
    let site = Site::start("goes-on");
    site.warm_up();
    let mut stream = start_generation(&site.cut, SLOW_STREAM, "slow");
    wait_until("the stream has begun", || {
        site.cut
            .logged("\"slow\"")
            .iter()
            .any(|line| line.contains("the first event"))
    });
    site.cut(cut, &["app", "llm"]);
    let answer = stream.read();
    assert!(answer.complete, "{answer:?}");
    let expected = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n";
    assert_eq!(String::from_utf8_lossy(&answer.body), expected);
}

/// Guards against a peer that resumes the stream at another software version.
#[test]
fn a_stream_goes_on_through_a_peer_at_the_version_that_began_it() {
    let site = Site::start("peer-version");
    site.warm_up();
    let mut stream = start_generation(&site.cut, SLOWER_STREAM, "slow");
    wait_until("the stream has begun", || {
        let lines = site.cut.logged("\"slow\"");
        lines.iter().any(|line| line.contains("the first event"))
    });
    let runs = |replica: &Replica| {
        let requests = replica.requests();
        let runs = requests
            .iter()
            .filter(|request| request.path() == SLOWER_STREAM);
        runs.filter(|request| request.header("stage").is_none())
            .count()
    };
    let decode = || site.replicas.iter().filter(|r| r.id.contains("decode"));
    let first = decode().find(|replica| runs(replica) == 1).unwrap();
    let others: Vec<&Replica> = decode().filter(|replica| replica.id != first.id).collect();
    for other in &others {
        site.set_version(&other.id, "v1.1");
    }
    site.wait_for_list();
    site.cut(Cut::Reset, &["app", "llm"]);
    let answer = stream.read();
    assert_eq!(others.iter().map(|other| runs(other)).sum::<usize>(), 0);
    assert!(answer.complete, "{answer:?}");
    assert_eq!(runs(first), 2);
}

/// Guards against going on through peers once the partition has healed.
#[test]
fn an_instance_sends_to_replicas_again_once_the_partition_has_healed() {
    let site = Site::start("healed");
    site.warm_up();
    site.cut(Cut::Reset, &["app", "llm"]);
    let both = |text: &str| site.cut.logged(text).len() >= 2;
    wait_until("both services are unreachable", || {
        Kind::Book.is_served_by(&site.cut, "early");
        Kind::Draft.is_served_by(&site.cut, "early");
        both("no connection to the replicas of a service")
    });
    site.heal();
    wait_until("both services are reachable", || {
        both("accept connections again")
    });
    for kind in KINDS {
        assert!(kind.is_served_by(&site.cut, "late"), "{kind:?}");
        let own = site.cut.lines_about(&format!("{kind:?}-late"));
        assert!(
            own.iter().any(|line| line.contains("\"sending\"")),
            "{own:?}"
        );
    }
}
