//! Guards against taking versions of the store for rising ones after it came back from a copy: it gives them out again,
//! and only the era that its answers name tells the two histories apart.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::common::daemon::Daemon;
use crate::common::daemon::new_ip;
use crate::common::daemon::wait_until;
use crate::common::http::Message;
use crate::common::http::answer;
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::signed_answer;
use crate::common::store::Backup;
use crate::common::store::Store;
use crate::site::Site;
use crate::site::config;
use crate::site::send_and_read;

/// Time after the acknowledgement of an entry, after which it has to be in force.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time after the return of the store, after which rows of the daemons have to be there again.
const REGISTERED: Duration = Duration::from_secs(5);
/// Time for which the store is away in a drill: each daemon calls it meanwhile.
const AWAY: Duration = Duration::from_millis(700);
/// Pause between two requests of a caller that sends all the time.
const PAUSE: Duration = Duration::from_millis(10);
/// Requests sent to see which replicas get them.
const REQUESTS: usize = 20;
/// Versions that the copy of a long drill lacks.
const MANY: u64 = 8;
/// Versions that the copy of a short drill lacks; as many are written again before the store answers.
const FEW: u64 = 3;
/// Data centre that is evacuated.
const EVACUATED: &str = "there";
const EVACUATION: &str = "evacuate/there";

fn echo(id: &str) -> Replica {
    Replica::start(id, |request| {
        Action::Send(signed_answer(request, 200, b"x"))
    })
}

/// Two daemons of one data centre: one reads the store, the other one asks it.
struct Pair {
    site: Site,
    other: Daemon,
    /// The store at the address of the other daemon.
    view: Store,
}

impl Pair {
    /// Starts the daemons; the store names an era unless `era` is 0.
    fn start(name: &str, era: u64, rows: &[(&Replica, Value)]) -> Self {
        let (store, store_address) = Store::start("127.0.0.1");
        if era > 0 {
            store.set_era(era);
        }
        store.put("op", "config", &config(1));
        for (replica, row) in rows {
            store.put("servers", &replica.id, row);
        }
        let (ip, other_ip) = (new_ip(), new_ip());
        let daemon = Daemon::start(name, &ip, store_address, &[]);
        daemon.wait_until_ready();
        let (view, address) = store.at_another_address("127.0.0.1");
        let other = Daemon::start(&format!("{name}-other"), &other_ip, address, &[&ip]);
        other.wait_until_ready();
        for daemon in [&daemon, &other] {
            wait_until("the daemons know each other", || {
                daemon.metrics().contains("waxwing_gateway_members 2")
            });
        }
        let site = Site {
            store,
            store_address,
            daemon,
            ip,
        };
        Self { site, other, view }
    }

    fn daemons(&self) -> [&Daemon; 2] {
        [&self.site.daemon, &self.other]
    }

    fn set_down(&self, down: bool) {
        self.site.store.set_down(down);
        self.view.set_down(down);
    }

    /// The store is away, comes back from `backup`, and answers the daemons once `written` has run.
    fn drill(&self, backup: &Backup, written: impl FnOnce(&Store)) {
        self.set_down(true);
        thread::sleep(AWAY);
        self.site.store.restore(backup);
        written(&self.site.store);
        self.set_down(false);
    }

    /// Sends requests through both daemons; returns how many of them were answered with 200.
    fn send_requests(&self) -> usize {
        let mut served = 0;
        for number in 0..REQUESTS {
            for daemon in self.daemons() {
                let response = send_and_read(daemon, "GET /read/1", &format!("e{number}"));
                served += usize::from(response.status() == 200);
            }
        }
        served
    }

    /// Sends requests through both daemons for `time`; returns the statuses of the answers.
    fn send_for(&self, time: Duration) -> Vec<u16> {
        let deadline = Instant::now() + time;
        let mut statuses = Vec::new();
        while Instant::now() < deadline {
            for daemon in self.daemons() {
                let id = format!("f{}", statuses.len());
                statuses.push(send_and_read(daemon, "GET /read/1", &id).status());
            }
            thread::sleep(PAUSE);
        }
        statuses
    }

    /// Asserts that `replica` gets no request of either daemon, and that all are served.
    fn assert_unused(&self, replica: &Replica) {
        let before = replica.requests().len();
        assert_eq!(self.send_requests(), 2 * REQUESTS);
        assert_eq!(replica.requests().len(), before, "{}", replica.id);
    }

    /// Writes `count` more entries of `replica` and waits until both daemons have read them.
    fn write_entries(&self, replica: &Replica, count: u64) {
        let first = seq(&self.site.store, replica) + 1;
        for seq in first..first + count {
            write_entry(&self.site.store, replica, "ready", seq);
        }
        self.wait_until_read(replica);
    }

    /// Waits until both daemons have the entry of `replica`.
    fn wait_until_read(&self, replica: &Replica) {
        let version = self.site.store.version("servers", &replica.id);
        let line = format!("waxwing_gateway_replicas_version {version}");
        for daemon in self.daemons() {
            wait_until("the entry is read", || daemon.metrics().contains(&line));
        }
    }

    /// Puts the plan `version` in force at both daemons.
    fn put_plan(&self, version: u64) {
        self.site.store.put("op", "config", &plan(version));
        for daemon in self.daemons() {
            wait_until("the plan is in force", || serves_plan(daemon, version));
        }
    }
}

/// A plan whose first route has a path of its own.
fn plan(version: u64) -> Value {
    let mut plan = config(version);
    plan["routes"][0]["prefix"] = format!("/read-{version}/").into();
    plan
}

fn serves_plan(daemon: &Daemon, version: u64) -> bool {
    let line = format!("GET /read-{version}/1");
    send_and_read(daemon, &line, "p").status() == 200
}

/// The number of the newest entry of `replica`; 0 without one.
fn seq(store: &Store, replica: &Replica) -> u64 {
    let row = store.get("servers", &replica.id);
    row.and_then(|row| row["seq"].as_u64()).unwrap_or(0)
}

fn write_entry(store: &Store, replica: &Replica, state: &str, seq: u64) {
    let mut row = replica.row("app", "");
    row["state"] = state.into();
    row["seq"] = seq.into();
    store.put("servers", &replica.id, &row);
}

fn pair_of(name: &str, era: u64, leaving: &Replica, staying: &Replica) -> Pair {
    let rows = [
        (leaving, leaving.row("app", "")),
        (staying, staying.row("app", "")),
    ];
    let pair = Pair::start(name, era, &rows);
    wait_until("both replicas are used", || {
        pair.send_requests();
        !leaving.requests().is_empty() && !staying.requests().is_empty()
    });
    pair
}

/// Waits until `condition` is true, for `limit` from `since` at most.
fn holds_within(since: Instant, limit: Duration, condition: impl Fn() -> bool) -> bool {
    loop {
        match condition() {
            true => return true,
            false if since.elapsed() > limit => return false,
            false => thread::sleep(PAUSE),
        }
    }
}

fn is_evacuated(daemon: &Daemon) -> bool {
    let line = format!("waxwing_gateway_evacuated{{data_centre=\"{EVACUATED}\"}} 1");
    daemon.metrics().contains(&line)
}

/// A departure written at a version that the daemons take for known is never read.
#[rstest]
#[case::after_a_drill("era-many", 7)]
#[case::without_a_drill("era-many-sound", 0)]
fn a_departure_at_a_version_given_out_again_is_known_in_time(#[case] name: &str, #[case] era: u64) {
    let (leaving, staying) = (echo("i-leaving"), echo("i-staying"));
    let pair = pair_of(name, era, &leaving, &staying);
    let backup = pair.site.store.back_up();
    pair.write_entries(&staying, MANY);
    if era > 0 {
        pair.drill(&backup, |_| {});
    }
    write_entry(&pair.site.store, &leaving, "draining", 2);
    thread::sleep(IN_FORCE);
    pair.assert_unused(&leaving);
}

/// A watch from a version of the old history gets a delta of the new one, without what was written below that version.
#[rstest]
#[case::after_a_drill("era-passed", 7)]
#[case::without_a_drill("era-passed-sound", 0)]
fn changes_below_a_version_that_has_been_passed_again_are_known_in_time(
    #[case] name: &str,
    #[case] era: u64,
) {
    let (leaving, staying, joining) = (echo("i-leaving"), echo("i-staying"), echo("i-joining"));
    let pair = pair_of(name, era, &leaving, &staying);
    let backup = match era {
        0 => {
            pair.write_entries(&staying, FEW);
            pair.site.store.back_up()
        }
        _ => {
            let backup = pair.site.store.back_up();
            pair.write_entries(&staying, FEW);
            backup
        }
    };
    pair.drill(&backup, |store| {
        write_entry(store, &leaving, "draining", 2);
        write_entry(store, &joining, "ready", 1);
        for seq in 10..10 + FEW {
            write_entry(store, &staying, "ready", seq);
        }
    });
    thread::sleep(IN_FORCE);
    pair.assert_unused(&leaving);
    assert!(!joining.requests().is_empty());
}

#[rstest]
#[case::after_a_drill("era-evacuate", 7)]
#[case::without_a_drill("era-evacuate-sound", 0)]
fn an_evacuation_at_a_version_given_out_again_comes_into_force(
    #[case] name: &str,
    #[case] era: u64,
) {
    let (near, far) = (echo("i-near"), echo("i-far"));
    let mut row = far.row("app", "");
    row["zone"] = EVACUATED.into();
    let pair = Pair::start(name, era, &[(&near, near.row("app", "")), (&far, row)]);
    let backup = pair.site.store.back_up();
    for version in 2..2 + MANY {
        pair.put_plan(version);
    }
    if era > 0 {
        pair.drill(&backup, |store| {
            store.put("op", "config", &plan(1 + MANY));
        });
    }
    pair.site.store.put("op", EVACUATION, &json!({}));
    let written = Instant::now();
    for daemon in pair.daemons() {
        assert!(holds_within(written, IN_FORCE, || is_evacuated(daemon)));
    }
}

/// A data centre is evacuated because it fails: requests sent there while the operator writes again are lost.
#[test]
fn an_evacuation_that_the_copy_lacks_stays_in_force_until_it_is_written_again() {
    let far = echo("i-far");
    let mut row = far.row("app", "");
    row["zone"] = EVACUATED.into();
    let pair = Pair::start("era-evacuated", 7, &[(&far, row)]);
    assert_eq!(pair.send_requests(), 2 * REQUESTS);
    let backup = pair.site.store.back_up();
    pair.site.store.put("op", EVACUATION, &json!({}));
    for daemon in pair.daemons() {
        wait_until("the evacuation is in force", || is_evacuated(daemon));
    }
    let before = far.requests().len();
    pair.drill(&backup, |_| {});
    let mut statuses = pair.send_for(Duration::from_millis(500));
    pair.site.store.put("op", EVACUATION, &json!({}));
    statuses.extend(pair.send_for(2 * IN_FORCE));
    assert_eq!(far.requests().len(), before);
    assert!(statuses.iter().all(|status| *status == 503));
    pair.site.store.remove("op", EVACUATION);
    let removed = Instant::now();
    for daemon in pair.daemons() {
        assert!(holds_within(removed, IN_FORCE, || !is_evacuated(daemon)));
    }
}

/// The copy lists a replica as ready that has left since; it is not ready again until it says so itself.
#[rstest]
#[case::draining("era-known-draining", 7, true)]
#[case::gone("era-known-gone", 7, false)]
#[case::draining_without_the_header("era-none-draining", 0, true)]
#[case::gone_without_the_header("era-none-gone", 0, false)]
fn a_replica_known_to_have_left_is_not_used_because_the_copy_lists_it(
    #[case] name: &str,
    #[case] era: u64,
    #[case] is_listed: bool,
) {
    let (leaving, staying) = (echo("i-leaving"), echo("i-staying"));
    let pair = pair_of(name, era, &leaving, &staying);
    pair.write_entries(&staying, FEW);
    let backup = pair.site.store.back_up();
    let leave = |store: &Store| {
        if is_listed {
            write_entry(store, &leaving, "draining", 2);
        } else {
            store.remove("servers", &leaving.id);
        }
    };
    leave(&pair.site.store);
    pair.write_entries(&staying, 1);
    pair.assert_unused(&leaving);
    let before = leaving.requests().len();
    pair.drill(&backup, |_| {});
    let statuses = pair.send_for(Duration::from_millis(1_500));
    leave(&pair.site.store);
    write_entry(&pair.site.store, &staying, "ready", 20);
    let later = pair.send_for(IN_FORCE);
    assert!(statuses.iter().chain(&later).all(|status| *status == 200));
    assert_eq!(leaving.requests().len(), before);
}

/// A replica that wrote since the copy is missing from the list until it writes again, and runs all the while.
#[test]
fn replicas_that_the_copy_lacks_are_used_until_they_write_again() {
    let (old, joined) = (echo("i-old"), echo("i-joined"));
    let pair = Pair::start("era-missing", 7, &[(&old, old.row("app", ""))]);
    let backup = pair.site.store.back_up();
    pair.site.store.remove("servers", &old.id);
    write_entry(&pair.site.store, &joined, "ready", 1);
    pair.wait_until_read(&joined);
    wait_until("only the new replica is used", || {
        let before = old.requests().len();
        pair.send_requests() == 2 * REQUESTS && old.requests().len() == before
    });
    pair.drill(&backup, |store| store.remove("servers", &old.id));
    let mut statuses = pair.send_for(Duration::from_secs(1));
    write_entry(&pair.site.store, &joined, "ready", 2);
    statuses.extend(pair.send_for(IN_FORCE));
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// A daemon that the store refuses gets lists of the new era from its peer, whose versions are lower than its own.
#[rstest]
#[case::one("era-refused-one", 0, 7)]
#[case::the_other("era-refused-other", 1, 7)]
#[case::one_without_a_drill("era-refused-one-sound", 0, 0)]
#[case::the_other_without_a_drill("era-refused-other-sound", 1, 0)]
fn a_refused_daemon_learns_the_departures_of_the_new_era_from_its_peer(
    #[case] name: &str,
    #[case] refused: usize,
    #[case] era: u64,
) {
    let (leaving, staying) = (echo("i-leaving"), echo("i-staying"));
    let pair = pair_of(name, era, &leaving, &staying);
    let backup = pair.site.store.back_up();
    pair.write_entries(&staying, MANY);
    let refuse = || [&pair.site.store, &pair.view][refused].set_down(true);
    if era > 0 {
        pair.drill(&backup, |_| {});
    }
    refuse();
    write_entry(&pair.site.store, &leaving, "draining", 2);
    thread::sleep(IN_FORCE);
    pair.assert_unused(&leaving);
}

/// Daemons that start later find the others by these rows.
#[test]
fn the_row_of_a_daemon_that_joined_after_the_copy_is_written_again() {
    let replica = echo("i-1");
    let pair = Pair::start("era-row", 7, &[(&replica, replica.row("app", ""))]);
    let rows = ["era-row", "era-row-other"];
    let has_rows = || rows.iter().all(|row| pair.site.store.has("instances", row));
    wait_until("both daemons are registered", has_rows);
    let mut backup = Backup::default();
    backup.copy_table(&pair.site.store.back_up(), "op");
    backup.copy_table(&pair.site.store.back_up(), "servers");
    pair.drill(&backup, |_| {});
    assert!(holds_within(Instant::now(), REGISTERED, has_rows));
}

/// A daemon that starts after the drill would otherwise send the request that ends replicas to the next one.
#[test]
fn quarantine_records_that_the_copy_lacks_are_written_again() {
    const ENDS: usize = 3;
    let ids = (1..=2 * ENDS).map(|number| format!("i-{number}"));
    let replicas: Vec<Replica> = ids
        .map(|id| Replica::start(&id, |_: &Message| Action::Crash(Vec::new())))
        .collect();
    let rows: Vec<_> = replicas
        .iter()
        .map(|replica| (replica, replica.row("app", "")))
        .collect();
    let pair = Pair::start("era-quarantine", 7, &rows);
    let backup = pair.site.store.back_up();
    for number in 0..ENDS {
        pair.site
            .send_and_read("POST /book/lorry", &format!("q{number}"));
    }
    let is_recorded = || pair.site.store.keys("quarantine").len() >= ENDS;
    wait_until("the ends are recorded", is_recorded);
    pair.drill(&backup, |_| {});
    assert!(!is_recorded());
    assert!(holds_within(Instant::now(), REGISTERED, is_recorded));
}

/// Fencing tokens of the orders that `engines` received.
fn fences(engines: &[Replica]) -> Vec<u64> {
    let received = engines.iter().flat_map(Replica::requests);
    let orders = received.filter(|request| request.path() == "/api/order");
    let orders = orders.map(|order| serde_json::from_slice::<Value>(&order.body).unwrap());
    orders.filter_map(|order| order["fence"].as_u64()).collect()
}

/// An engine that has seen a higher token refuses the orders of the rightful holder.
#[test]
fn fencing_tokens_rise_over_a_drill() {
    let accept = |_: &Message| Action::Send(answer(202, &[], b""));
    let ids = (0..24).map(|number| format!("i-{number}"));
    let engines: Vec<Replica> = ids.map(|id| Replica::start(&id, accept)).collect();
    let rows: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(number, engine)| {
            let stage = if number < 20 { "prefill" } else { "decode" };
            (engine, engine.row("llm", stage))
        })
        .collect();
    let pair = Pair::start("era-fence", 7, &rows);
    let backup = pair.site.store.back_up();
    for version in 2..2 + MANY {
        pair.site.store.put("op", "config", &config(version));
    }
    for daemon in pair.daemons() {
        let path = daemon.settings_path();
        let text = std::fs::read_to_string(path).unwrap();
        std::fs::write(path, format!("{text}prefill_share: 0.1\n")).unwrap();
    }
    wait_until("orders are sent", || !fences(&engines).is_empty());
    // All orders of one claim are sent within half a second of it.
    thread::sleep(Duration::from_secs(1));
    let before = fences(&engines);
    pair.drill(&backup, |store| {
        store.put("op", "config", &config(1 + MANY));
    });
    wait_until("orders are sent in the new era", || {
        fences(&engines).len() > before.len()
    });
    thread::sleep(Duration::from_secs(1));
    let highest = *before.iter().max().unwrap();
    let mut after = fences(&engines);
    for fence in &before {
        let index = after.iter().position(|other| other == fence).unwrap();
        after.remove(index);
    }
    assert!(
        after.iter().all(|fence| *fence > highest),
        "{before:?}, then {after:?}"
    );
}

/// The operator writes its newest plan again soon; until then the copy shows an older one.
#[rstest]
#[case::after_a_drill("era-plan", 7)]
#[case::without_a_drill("era-plan-sound", 0)]
fn a_plan_of_the_copy_does_not_revert_the_one_in_force(#[case] name: &str, #[case] era: u64) {
    let replica = echo("i-1");
    let pair = Pair::start(name, era, &[(&replica, replica.row("app", ""))]);
    let backup = pair.site.store.back_up();
    let newest = 1 + MANY;
    for version in 2..=newest {
        pair.put_plan(version);
    }
    if era > 0 {
        pair.drill(&backup, |_| {});
        let returned = Instant::now();
        while returned.elapsed() < IN_FORCE {
            let daemons = pair.daemons();
            assert!(daemons.iter().all(|daemon| serves_plan(daemon, newest)));
            thread::sleep(PAUSE);
        }
        pair.site.store.put("op", "config", &plan(newest));
    }
    pair.site.store.put("op", "config", &plan(newest + 1));
    let written = Instant::now();
    for daemon in pair.daemons() {
        let serves = || serves_plan(daemon, newest + 1);
        assert!(holds_within(written, IN_FORCE, serves));
    }
}
