//! Rows that another writer left in the store's tables, and answers of the store that are odd themselves.

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
use crate::common::replica::Action;
use crate::common::replica::Replica;
use crate::common::replica::signed_answer;
use crate::resumptions::resume;
use crate::site::Site;
use crate::site::config;
use crate::site::send_and_read;
use crate::site::start_generation;
use crate::version_site::Engine;
use crate::version_site::PATH;
use crate::version_site::wait_until_known;
use crate::version_site::wait_until_members;

/// Largest number that its type holds, and too large for any meaning.
const MAX: &str = "18446744073709551615";
/// Number beyond the range of floating-point numbers.
const BEYOND_FLOAT: &str = "1e400";
/// Longest time that a daemon may take to notice a change, with a busy machine in mind.
const NOTICE_TIME: Duration = Duration::from_secs(8);
/// Time over which calls of the store are counted.
const COUNTED_TIME: Duration = Duration::from_secs(2);

/// JSON nested too deeply for a reader that calls itself at each level.
fn nested() -> String {
    format!("{}{}", "[".repeat(200_000), "]".repeat(200_000))
}

/// The text of `value` with `json` in place of the text `@`.
fn with_json(value: &Value, json: &str) -> String {
    value.to_string().replace("\"@\"", json)
}

fn start_replica(id: &'static str) -> Replica {
    Replica::start(id, move |request: &Message| {
        Action::Send(signed_answer(request, 200, id.as_bytes()))
    })
}

fn entry(replica: &Replica) -> Value {
    let mut row = replica.row("app", "");
    row["born"] = 1_780_000_000_123_u64.into();
    row
}

/// The configuration `version`, whose reads go to the service `moved`.
fn moved_config(version: u64) -> Value {
    let mut config = config(version);
    config["routes"][0]["service"] = "moved".into();
    let moved = json!({"name": "moved", "health-path": "/healthz", "max-conns": 50});
    config["services"].as_array_mut().unwrap().push(moved);
    config
}

/// Fails if a task of `daemon` ended by a panic.
fn assert_no_panic(daemon: &Daemon) {
    assert_eq!(daemon.logged("\"kind\":\"panic\""), Vec::<String>::new());
}

fn read_body(daemon: &Daemon) -> Vec<u8> {
    send_and_read(daemon, "GET /read/1", "r").body
}

/// Waits until reads are answered by a replica other than `body`.
fn wait_until_served_by(daemon: &Daemon, body: &[u8]) {
    wait_until("reads go to another replica", || {
        read_body(daemon) == body || !daemon.logged("\"kind\":\"panic\"").is_empty()
    });
}

/// Lists `next` and fails unless `daemon` uses it within [`NOTICE_TIME`].
fn assert_follows_list(site: &Site, next: &Replica) {
    site.store.put("servers", &next.id, &entry(next));
    let listed = Instant::now();
    wait_until_known(&site.daemon, &[&next.id]);
    assert!(listed.elapsed() < NOTICE_TIME, "{:?}", listed.elapsed());
    assert_no_panic(&site.daemon);
}

/// Guards against using a replica whose entry has turned odd, or never using it again.
#[rstest]
#[case::nested(&nested())]
#[case::beyond_float(BEYOND_FLOAT)]
#[case::port("{\"service\":\"app\",\"addr\":\"127.0.0.1:70000\",\"zone\":\"here\"}")]
#[case::start("born")]
#[case::writes("seq")]
#[case::no_port("addr")]
#[case::no_text("zone")]
#[case::nothing("")]
fn a_replica_with_an_odd_entry_is_left_until_its_entry_is_good(#[case] odd: &str) {
    let replicas = [start_replica("turns"), start_replica("stays")];
    let site = Site::start("odd-entry", &[]);
    for replica in &replicas {
        site.store.put("servers", &replica.id, &entry(replica));
    }
    wait_until_known(&site.daemon, &["turns", "stays"]);
    site.daemon.wait_until_ready();
    let mut changed = entry(&replicas[0]);
    let text = match odd {
        "born" | "seq" => {
            changed[odd] = "@".into();
            with_json(&changed, MAX)
        }
        "addr" => {
            changed["addr"] = "127.0.0.1:0".into();
            changed.to_string()
        }
        "zone" => {
            changed["zone"] = "z".repeat(50_000).into();
            changed.to_string()
        }
        other => other.to_owned(),
    };
    site.store.put_bytes("servers", "turns", text.as_bytes());
    let is_gone = || {
        let changes = site.daemon.logged("\"belief\":\"Gone\"");
        changes.iter().any(|line| line.contains("turns"))
    };
    wait_until("the replica counts as gone", is_gone);
    let before = replicas[0].requests().len();
    for _ in 0..6 {
        assert_eq!(read_body(&site.daemon), b"stays");
    }
    assert_eq!(replicas[0].requests().len(), before);
    let mut good = entry(&replicas[0]);
    good["seq"] = 2.into();
    site.store.put("servers", "turns", &good);
    wait_until("the replica is used again", || {
        read_body(&site.daemon) == b"turns"
    });
    assert_follows_list(&site, &start_replica("later"));
    assert!(site.daemon.logged("cannot be read").len() <= 1);
}

/// Guards against refusing an entry for what a field says that has no meaning here.
#[test]
fn a_replica_with_a_deeply_nested_unknown_field_is_used() {
    let replica = start_replica("app");
    let site = Site::start("odd-field", &[]);
    let mut listed = entry(&replica);
    listed["more"] = "@".into();
    let text = with_json(&listed, &nested());
    site.store.put_bytes("servers", "app", text.as_bytes());
    site.daemon.wait_until_ready();
    assert_eq!(read_body(&site.daemon), b"app");
    assert_follows_list(&site, &start_replica("later"));
}

/// Guards against a plan that ends the task which follows the plan, or the connections of callers.
#[rstest]
#[case::stage_change("/services/1/engine/stage-switch-s", "1e300")]
#[case::reservation("/services/1/engine/hold-ms", "1e300")]
#[case::cold_time("/services/0/cold-start-s", "1e300")]
#[case::cold_rate("/services/0/cold-per-s", "1e308")]
#[case::memory("/services/1/engine/kv-tokens", MAX)]
#[case::event_tokens("/services/1/engine/stride", MAX)]
#[case::timeout("/routes/0/timeout-ms", MAX)]
#[case::stream_timeout("/routes/2/timeout-ms", MAX)]
#[case::objective("/routes/0/slo-ms", MAX)]
#[case::stream_objective("/routes/2/slo-ms", MAX)]
#[case::pause("/routes/2/gap-target-ms", MAX)]
#[case::attempts("/routes/0/max-attempts", "4294967295")]
#[case::priority("/routes/0/priority", MAX)]
#[case::weights(
    "/routes/0/split",
    r#"[{"service":"app","weight":4294967295},{"service":"app","weight":4294967295}]"#
)]
#[case::head_bytes("/limits/max-header-bytes", MAX)]
#[case::body_bytes("/limits/max-body-bytes", MAX)]
#[case::head_timeout("/limits/header-timeout-ms", MAX)]
#[case::idle_timeout("/limits/idle-timeout-ms", MAX)]
#[case::beyond_float("/routes/0/slo-ms", BEYOND_FLOAT)]
#[case::version("/version", MAX)]
#[case::nested("/more", &nested())]
fn an_odd_plan_is_served_or_ignored_and_the_next_one_followed(
    #[case] place: &str,
    #[case] json: &str,
) {
    let replicas = [start_replica("app"), start_replica("moved")];
    let prefill = Replica::start_prefill("i-prefill");
    let decode = Engine::start("i-decode", "v1");
    let site = Site::start(
        "odd-plan",
        &[
            (&replicas[0], "app", ""),
            (&replicas[1], "moved", ""),
            (&prefill, "llm", "prefill"),
            (&decode.replica, "llm", "decode"),
        ],
    );
    let plans = || site.daemon.logged("\"kind\":\"plan\"").len();
    let before = plans();
    let mut odd = config(2);
    let (parent, field) = place.rsplit_once('/').unwrap();
    odd.pointer_mut(parent).unwrap()[field] = "@".into();
    site.store
        .put_bytes("op", "config", with_json(&odd, json).as_bytes());
    wait_until("the plan is read", || {
        plans() > before || !site.daemon.logged("\"kind\":\"panic\"").is_empty()
    });
    assert_no_panic(&site.daemon);
    assert_eq!(read_body(&site.daemon), b"app");
    let mut stream = start_generation(&site.daemon, "/draft/1", "g1");
    assert_eq!(stream.read().status(), 200);
    assert_no_panic(&site.daemon);
    site.store.put("op", "config", &moved_config(3));
    wait_until_served_by(&site.daemon, b"moved");
    assert_no_panic(&site.daemon);
    assert!(site.daemon.logged("cannot be read").len() <= 1);
}

/// Guards against a log that grows with each reading of a plan that cannot be read.
#[test]
fn a_plan_that_cannot_be_read_is_logged_once_however_often_it_is_read() {
    let replica = start_replica("app");
    let site = Site::start("odd-plan-again", &[(&replica, "app", "")]);
    site.store.put_bytes("op", "config", nested().as_bytes());
    let logged = || site.daemon.logged("a plan cannot be read").len();
    wait_until("the plan is read", || logged() > 0);
    // A watch without an answer is followed by a reading of the whole plan.
    for _ in 0..3 {
        site.store.set_silent_table(Some("op"));
        let before = site.store.unanswered_count();
        wait_until("a call is left unanswered", || {
            site.store.unanswered_count() > before
        });
        site.store.set_silent_table(None);
        thread::sleep(COUNTED_TIME);
    }
    assert_eq!(logged(), 1);
    assert_eq!(read_body(&site.daemon), b"app");
}

/// Guards against one row that makes an answer of the store unreadable as long as it is there.
#[rstest]
#[case::nested(&nested())]
#[case::beyond_float(BEYOND_FLOAT)]
#[case::number(MAX)]
#[case::object(r#"{"a":[1,{"b":"c"}]}"#)]
#[case::not_base64(r#""%%%""#)]
#[case::cut_base64(r#""AAA""#)]
fn a_row_without_a_text_as_its_value_does_not_hide_the_others(#[case] json: &str) {
    let replicas = [start_replica("app"), start_replica("moved")];
    let site = Site::start(
        "raw-row",
        &[(&replicas[0], "app", ""), (&replicas[1], "moved", "")],
    );
    for table in ["servers", "op", "instances", "quarantine"] {
        site.store.put_raw(table, "odd", json);
    }
    assert_follows_list(&site, &start_replica("later"));
    site.store.put("op", "config", &moved_config(2));
    wait_until_served_by(&site.daemon, b"moved");
    let another = site.start_another("raw-row-too", false);
    another.wait_until_ready();
    wait_until_members(&[&site.daemon, &another], 2);
    assert_no_panic(&site.daemon);
    assert_no_panic(&another);
}

/// Guards against losing track of a table after answers that are odd themselves.
#[rstest]
#[case::no_rows(r#"{"ver":3,"now-ms":1}"#)]
#[case::nothing("")]
#[case::null("null")]
#[case::cut(r#"{"rows":[{"table":"@","key":"#)]
#[case::other_table(r#"{"rows":[{"table":"other","part":"","key":"a","value":"","ver":1}],"ver":9,"has-more":false,"now-ms":1}"#)]
#[case::version(r#"{"rows":[],"ver":18446744073709551615,"has-more":false,"now-ms":1}"#)]
#[case::version_beyond_float(r#"{"rows":[],"ver":1e400,"has-more":false,"now-ms":1}"#)]
#[case::negative_version(r#"{"rows":[],"ver":-1,"has-more":false,"now-ms":1}"#)]
#[case::clock(r#"{"rows":[],"ver":3,"has-more":false,"now-ms":1e300}"#)]
#[case::keyless(
    r#"{"rows":[{"table":"@","part":"","value":"","ver":1}],"ver":9,"has-more":false,"now-ms":1}"#
)]
#[case::row_version(r#"{"rows":[{"table":"@","part":"","key":"a","value":"","ver":1e400}],"ver":3,"has-more":false,"now-ms":1}"#)]
#[case::endless(r#"{"rows":[],"ver":3,"has-more":true,"now-ms":1}"#)]
#[case::repeated(r#"{"rows":[{"table":"@","part":"","key":"a","value":"","ver":1}],"ver":3,"has-more":true,"now-ms":1}"#)]
fn tables_are_followed_after_odd_answers(#[case] body: &str) {
    let replicas = [start_replica("app"), start_replica("moved")];
    let site = Site::start(
        "odd-answer",
        &[(&replicas[0], "app", ""), (&replicas[1], "moved", "")],
    );
    for table in ["servers", "op", "instances"] {
        let before = site.store.odd_answer_count();
        let body = body.replace('@', table);
        site.store.set_odd_answer(Some((table, &body)));
        wait_until("odd answers are sent", || {
            site.store.odd_answer_count() > before + 1
        });
        site.store.set_odd_answer(None);
        assert_no_panic(&site.daemon);
    }
    assert_follows_list(&site, &start_replica("later"));
    site.store.put("op", "config", &moved_config(2));
    wait_until_served_by(&site.daemon, b"moved");
    assert_no_panic(&site.daemon);
}

/// Guards against reading pages of a table without end and without a pause.
#[rstest]
#[case::empty(r#"{"rows":[],"ver":3,"has-more":true,"now-ms":1}"#)]
#[case::repeated(r#"{"rows":[{"table":"op","part":"","key":"a","value":"","ver":1}],"ver":3,"has-more":true,"now-ms":1}"#)]
fn a_table_with_endless_pages_is_not_read_without_pause(#[case] body: &str) {
    let replica = start_replica("app");
    let site = Site::start("endless-pages", &[(&replica, "app", "")]);
    // A watch without an answer is followed by a reading of the whole plan.
    site.store.set_silent_table(Some("op"));
    wait_until("a watch is left unanswered", || {
        site.store.unanswered_count() > 0
    });
    site.store.set_odd_answer(Some(("op", body)));
    site.store.set_silent_table(None);
    wait_until("odd answers are sent", || site.store.odd_answer_count() > 0);
    let before = site.store.odd_answer_count();
    thread::sleep(COUNTED_TIME);
    let count = site.store.odd_answer_count() - before;
    assert!(count < 40, "{count}");
    assert_eq!(read_body(&site.daemon), b"app");
}

/// An info of an instance with `json` in place of the value of `field`.
fn odd_instance(field: &str, json: &str) -> String {
    let mut info = json!({"name": "odd", "data_centre": 7, "callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "capacity": 1000});
    info[field] = "@".into();
    with_json(&info, json)
}

/// Guards against a row of an instance that keeps the others from finding each other.
#[rstest]
#[case::nested(&nested())]
#[case::nested_field(&odd_instance("more", &nested()))]
#[case::capacity(&odd_instance("capacity", "4294967295"))]
#[case::beyond_capacity(&odd_instance("capacity", MAX))]
#[case::beyond_float(&odd_instance("capacity", BEYOND_FLOAT))]
#[case::port(&odd_instance("peers", "\"127.0.0.1:70000\""))]
#[case::no_port(&odd_instance("peers", "\"127.0.0.1:0\""))]
#[case::no_address(&odd_instance("peers", "\"0.0.0.0:0\""))]
#[case::long_name(&odd_instance("name", &format!("\"{}\"", "n".repeat(80_000))))]
fn instances_find_each_other_beside_an_odd_row(#[case] row: &str) {
    let replica = start_replica("app");
    let site = Site::start("odd-instance", &[(&replica, "app", "")]);
    site.store.put_bytes("instances", "odd", row.as_bytes());
    let another = site.start_another("odd-instance-too", false);
    another.wait_until_ready();
    wait_until_members(&[&site.daemon, &another], 2);
    assert_follows_list(&site, &start_replica("later"));
    // Longer than the time after which members that do not answer are lost.
    thread::sleep(COUNTED_TIME);
    wait_until_members(&[&site.daemon, &another], 2);
    assert_no_panic(&site.daemon);
    assert_no_panic(&another);
}

/// Bytes of a text that claims to be `length` bytes long, in the form of daemons' messages.
fn claimed_text(length: u64) -> Vec<u8> {
    [&[253][..], &length.to_le_bytes()].concat()
}

/// Guards against saved begins of streams that end the request which reads them, or the process.
#[rstest]
#[case::more_than_addressable(&[&[1][..], &claimed_text(u64::MAX)].concat())]
#[case::a_terabyte(&[&[1][..], &claimed_text(1 << 40)].concat())]
#[case::many_texts(&claimed_text(u64::MAX))]
#[case::many_streams(&[&[0][..], &claimed_text(1 << 60)].concat())]
#[case::position(&[0, 1, 7, 251, 255, 255])]
#[case::nothing(&[])]
fn odd_saved_begins_are_skipped(#[case] row: &[u8]) {
    let engine = Engine::start("i-one", "v1");
    let settings = "version_records: true\n";
    let site = Site::start_with_settings("odd-begins", &config(1), &[], settings);
    engine.list(&site, "here");
    site.daemon.wait_until_ready();
    site.store.put_bytes("begins", "odd", row);
    site.store.put_bytes("versions", "llm", nested().as_bytes());
    assert_eq!(resume(&site.daemon, "b2", "b1", "1").status(), 503);
    assert_no_panic(&site.daemon);
    let mut stream = start_generation(&site.daemon, PATH, "a1");
    assert_eq!(stream.read().status(), 200);
    assert_no_panic(&site.daemon);
}

/// Guards against records of the quarantine that keep a daemon from starting.
#[rstest]
#[case::key("no fingerprint", b"1780000000123")]
#[case::large_key("ffffffffffffffffff.0000000000000001", b"1780000000123")]
#[case::time("00000000000000aa.0000000000000001", MAX.as_bytes())]
#[case::beyond_time("00000000000000aa.0000000000000001", b"99999999999999999999999")]
#[case::served("00000000000000aa.served", MAX.as_bytes())]
#[case::nested("00000000000000aa.served", b"[[[[[[")]
fn a_daemon_starts_beside_odd_quarantine_records(#[case] key: &str, #[case] value: &[u8]) {
    let replica = start_replica("app");
    let site = Site::start("odd-quarantine", &[(&replica, "app", "")]);
    site.store.put_bytes("quarantine", key, value);
    let another = Daemon::start("odd-quarantine-too", &new_ip(), site.store_address, &[]);
    another.wait_until_ready();
    wait_until("the row is removed", || !site.store.has("quarantine", key));
    assert_eq!(read_body(&another), b"app");
    assert_no_panic(&another);
}
