//! How a daemon learns of plans, replicas and other daemons from the store and from its peers.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use gateway::store::Error;
use gateway::store::Store;
use prometheus::IntCounterVec;
use prometheus::Opts;
use relay::revision::Revision;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;
use crate::common::daemon::wait_until;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::signed_answer;
use crate::site::Site;
use crate::site::config;
use crate::site::send_and_read;

/// Waiting time of a watch; far longer than other calls may take.
const LONG_WATCH: Duration = Duration::from_secs(20);

fn echo(id: &str) -> Replica {
    Replica::start(id, |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    })
}

#[test]
fn requests_without_a_plan_are_refused() {
    let replica = echo("i-1");
    let site = Site::start("no-plan", &[]);
    site.store.remove("op", "config");
    let other = site.start_another("planless", false);
    site.store.put("servers", "i-1", &replica.row("app", ""));
    wait_until("the readiness endpoint answers", || other.readiness() != 0);
    assert_eq!(other.readiness(), 503);
    let response = send_and_read(&other, "GET /read/1", "a");
    assert_eq!(response.status(), 503);
    assert!(response.header("retry-after").is_some());
}

#[test]
fn a_newer_plan_comes_into_force_and_an_older_one_does_not() {
    let replica = echo("i-1");
    let site = Site::start("plans", &[(&replica, "app", "")]);
    assert_eq!(site.send_and_read("GET /read/1", "a1").status(), 200);
    let mut newer = config(5);
    newer["routes"][0]["prefix"] = "/renamed/".into();
    site.store.put("op", "config", &newer);
    site.wait_while_status("/read/1", 200);
    assert_eq!(site.send_and_read("GET /renamed/1", "a2").status(), 200);
    site.store.put("op", "config", &config(4));
    site.store.put_bytes("op", "config", b"{not a plan");
    wait_until("the unreadable plan is logged", || {
        !site.daemon.logged("cannot be read").is_empty()
    });
    assert_eq!(site.send_and_read("GET /renamed/1", "a3").status(), 200);
    assert_eq!(site.send_and_read("GET /read/1", "a4").status(), 404);
}

#[test]
fn a_draining_replica_gets_no_new_requests() {
    let one = echo("i-1");
    let two = echo("i-2");
    let site = Site::start("draining", &[(&one, "app", ""), (&two, "app", "")]);
    let mut row = one.row("app", "");
    row["state"] = "draining".into();
    site.store.put("servers", "i-1", &row);
    wait_until("the draining state is logged", || {
        !site.daemon.logged("Draining").is_empty()
    });
    for number in 0..8 {
        assert_eq!(
            site.send_and_read("GET /read/1", &format!("a{number}"))
                .status(),
            200
        );
    }
    assert!(one.requests().is_empty());
}

#[test]
fn requests_are_served_during_an_outage_of_the_store() {
    let replica = echo("i-1");
    let site = Site::start("outage", &[(&replica, "app", "")]);
    site.store.set_down(true);
    wait_until("the outage is logged", || {
        !site.daemon.logged("the store does not answer").is_empty()
    });
    assert_eq!(site.daemon.readiness(), 200);
    assert_eq!(site.send_and_read("GET /read/1", "a1").status(), 200);
    site.store.set_down(false);
    wait_until("the end of the outage is logged", || {
        !site.daemon.logged("answers again").is_empty()
    });
}

#[test]
fn a_daemon_that_starts_while_the_store_is_down_learns_from_its_peers() {
    let replica = echo("i-1");
    let site = Site::start("seed", &[(&replica, "app", "")]);
    site.store.set_down(true);
    let late = site.start_another("late", true);
    late.wait_until_ready();
    let response = send_and_read(&late, "GET /read/1", "a1");
    assert_eq!(response.status(), 200);
}

#[test]
fn a_daemon_that_does_not_read_the_store_gets_changes_from_its_peers() {
    let replica = echo("i-1");
    let site = Site::start("told", &[(&replica, "app", "")]);
    let other = site.start_another("hears", true);
    other.wait_until_ready();
    // One of the two reads the store for both; the other one gets the change from it.
    site.store.put("op", "config", &config(7));
    for daemon in [&site.daemon, &other] {
        wait_until("the plan is in force", || {
            !daemon.logged("\"version\":7").is_empty()
        });
    }
}

#[test]
fn address_lookups_list_the_daemons_that_accept_callers() {
    let replica = echo("i-1");
    let site = Site::start("names", &[(&replica, "app", "")]);
    let other = site.start_another("named", false);
    let lists = |text: &str, daemon: &Daemon| text.contains(&daemon.callers.to_string());
    let lists_both = |text: &str| lists(text, &site.daemon) && lists(text, &other);
    wait_until("both daemons are listed", || {
        lists_both(&site.daemon.addresses()) && lists_both(&other.addresses())
    });
    other.signal(rustix::process::Signal::TERM);
    wait_until("only one daemon is listed", || {
        !lists(&site.daemon.addresses(), &other)
    });
    wait_until("the row of the stopped daemon is removed", || {
        !site.store.has("instances", "named")
    });
    assert_eq!(other.readiness(), 503);
}

#[test]
fn an_unreadable_replica_row_is_logged_and_ignored() {
    let replica = echo("i-1");
    let site = Site::start("odd-row", &[(&replica, "app", "")]);
    site.store
        .put("servers", "i-odd", &json!({"service": "app"}));
    wait_until("the unreadable row is logged", || {
        !site.daemon.logged("i-odd").is_empty()
    });
    assert_eq!(site.send_and_read("GET /read/1", "a1").status(), 200);
}

/// Guards against a watch on a connection that has fallen silent without being closed while new connections work: it
/// would miss changes for as long as it waits.
#[test]
fn a_watch_is_aborted_when_another_store_call_times_out() {
    let replica = Replica::start("i-1", |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    });
    let site = Site::start("silent-store", &[(&replica, "app", "")]);
    // Repeated until one of these calls times out while the plan is watched.
    site.store.set_silent_table(Some("servers"));
    wait_until("the watch is aborted", || {
        let aborted = site.daemon.logged("another call had no answer in time");
        !aborted.is_empty()
    });
    site.store.set_silent_table(None);
    site.store.silence_open_connections();
    let mut moved = config(2);
    moved["routes"][0]["prefix"] = "/moved/".into();
    site.store.put("op", "config", &moved);
    site.wait_while_status("/moved/1", 404);
}

/// Starts a listener that reads calls and never answers.
fn silent_listener() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut open = Vec::new();
        for socket in listener.incoming() {
            open.push(socket.unwrap());
        }
    });
    address
}

/// Guards against a watch that waits for its own timeout on a silent connection.
#[test]
fn a_silent_watch_ends_when_another_store_call_times_out() {
    let calls = IntCounterVec::new(Opts::new("calls", "Calls."), &["step", "table"]).unwrap();
    let store = Store::new(silent_listener(), calls);
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let both = async {
        let watch = store.watch("op", Revision::default(), LONG_WATCH);
        tokio::join!(watch, store.read("servers"))
    };
    let (watched, read) = LocalSet::new().block_on(&runtime, both);
    assert_eq!(watched.map(drop), Err(Error::GivenUp));
    assert!(matches!(read, Err(Error::Silent { .. })), "{read:?}");
}

/// Number of watch calls for the replicas that `daemon` has sent to the store.
fn watch_count(daemon: &Daemon) -> u64 {
    let metrics = daemon.metrics();
    let name = "waxwing_gateway_store_calls_total{step=\"watching\",table=\"servers\"} ";
    let mut counts = metrics.lines().filter_map(|line| line.strip_prefix(name));
    counts.next().map_or(0, |count| count.parse().unwrap())
}

/// Guards against a list of replicas that is seconds out of date because the daemon that reads the store for others
/// cannot reach it.
#[test]
fn a_daemon_whose_reader_has_lost_the_store_reads_it_often() {
    let replica = echo("i-1");
    let site = Site::start("loses-store", &[(&replica, "app", "")]);
    let (other_store, address) = site.store.at_another_address("127.0.0.1");
    let other = Daemon::start("keeps-store", &new_ip(), address, &[&site.ip]);
    other.wait_until_ready();
    let is_reader = |daemon: &Daemon| {
        let before = watch_count(daemon);
        thread::sleep(Duration::from_secs(2));
        watch_count(daemon) > before
    };
    wait_until("exactly one daemon reads the store", || {
        is_reader(&site.daemon) != is_reader(&other)
    });
    let (reader, store, asker) = if is_reader(&site.daemon) {
        (&site.daemon, &site.store, &other)
    } else {
        (&other, &other_store, &site.daemon)
    };
    store.set_down(true);
    wait_until("the reader logs that the store does not answer", || {
        !reader.logged("the store does not answer").is_empty()
    });
    let before = watch_count(asker);
    thread::sleep(Duration::from_secs(8));
    let count = watch_count(asker) - before;
    assert!(count >= 5, "{count} watch calls in 8 s");
}

/// Lists `count` instances whose addresses nothing listens on.
fn list_dead_instances(site: &Site, count: usize) {
    wait_until("the daemon has written its row", || {
        site.store.has("instances", "crowded")
    });
    let own = site.store.get("instances", "crowded").unwrap();
    for number in 0..count {
        let mut dead = own.clone();
        dead["name"] = format!("dead-{number}").into();
        for field in ["callers", "peers"] {
            dead[field] = format!("127.250.0.{}:9", number + 1).into();
        }
        let name = format!("dead-{number}");
        site.store.put("instances", &name, &dead);
    }
}

/// In a large data centre the daemon that reads the store is chosen from the instance list, where it may be a dead one.
#[test]
fn a_daemon_whose_reader_is_dead_reads_the_store_itself() {
    let replica = echo("i-1");
    let site = Site::start("crowded", &[(&replica, "app", "")]);
    list_dead_instances(&site, 40);
    let late = site.start_another("crowded-too", false);
    late.wait_until_ready();
    let response = send_and_read(&late, "GET /read/1", "a1");
    assert_eq!(response.status(), 200);
}

#[test]
fn store_calls_are_counted_by_purpose() {
    let replica = echo("i-1");
    let site = Site::start("counted", &[(&replica, "app", "")]);
    let metrics = site.daemon.metrics();
    for labels in [
        "step=\"reading\",table=\"servers\"",
        "step=\"reading\",table=\"op\"",
    ] {
        let line = format!("waxwing_gateway_store_calls_total{{{labels}}} 1");
        assert!(metrics.contains(&line), "{metrics}");
    }
}

#[test]
fn a_first_start_writes_the_own_row_before_it_reads_those_of_others() {
    let replica = echo("i-1");
    let site = Site::start("earlier", &[(&replica, "app", "")]);
    let first = site.first_start("first");
    first.wait_until_ready();
    assert!(site.store.has("instances", "first"));
}

/// At a common start, each daemon that reads the whole list of instances makes the transfer grow
/// with the square of their number.
#[test]
fn instances_that_start_together_get_the_list_from_a_seed() {
    const INSTANCES: usize = 12;
    let replica = echo("i-1");
    let site = Site::start("together", &[(&replica, "app", "")]);
    let ips: Vec<String> = (0..INSTANCES).map(|_| new_ip()).collect();
    let daemons: Vec<Daemon> = ips
        .iter()
        .enumerate()
        .map(|(number, ip)| {
            let extra = "first_start: true\n";
            let name = format!("together-{number}");
            Daemon::start_with_settings(&name, ip, site.store_address, &[&ips[0]], extra)
        })
        .collect();
    for daemon in &daemons {
        daemon.wait_until_ready();
        wait_until("the daemon knows the others", || {
            let members = format!("waxwing_gateway_members {}", INSTANCES + 1);
            daemon.metrics().contains(&members)
        });
    }
    let readers = daemons.iter().filter(|daemon| {
        let line = "waxwing_gateway_store_calls_total{step=\"reading\",table=\"instances\"}";
        daemon.metrics().contains(line)
    });
    // The seed reads it, and so may a daemon that is the poller.
    let readers = readers.count();
    assert!((1..=3).contains(&readers), "{readers} daemons read it");
}
