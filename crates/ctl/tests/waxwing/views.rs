//! Commands that only look.

use serde_json::Value;
use serde_json::json;

use crate::env::Admin;
use crate::env::Env;

const TABLE: &str = "/v1/table";
const ROWS: &str = "- {service: ration, class: default, pool: ration, share: 3}\n";

fn decision(request: &str, time: &str, step: &str) -> Value {
    json!({
        "kind": "decision",
        "request": request,
        "step": step,
        "choice": "decode-1",
        "alternatives": "decode-2",
        "reason": "least work",
        "generation": 4,
        "time": time,
    })
}

#[test]
fn shown_table_is_a_file_that_check_takes() {
    let rows = table::file::parse(ROWS).unwrap();
    let drains = json!([{ "instance": "entry-2" }]);
    let shown = json!({ "generation": 7, "rows": rows, "drains": drains });
    let env = Env::new().with_admin(Admin::new().with(TABLE, 200, shown).start());
    let ran = env
        .run(&["table", "show"])
        .code(0)
        .out("# generation 7")
        .out("instance entry-2");
    let file = env.file("shown.yaml", &ran.out);
    env.run(&["table", "check", &file]).code(0);
    assert_eq!(table::file::parse(&ran.out).unwrap(), rows);
}

#[test]
fn history_tells_who_changed_what_and_why() {
    let change = json!({ "drain": { "replica": "decode-1" } });
    let edit = json!({
        "generation": 8,
        "id": "ctl-1",
        "operator": "ana",
        "note": "new disk",
        "unix_s": 1_800_000_000,
        "changes": [change],
    });
    let admin = Admin::new().with("/v1/table/history", 200, json!({ "edits": [edit] }));
    let env = Env::new().with_admin(admin.start());
    let ran = env
        .run(&["table", "history"])
        .code(0)
        .out("generation 8 by ana");
    ran.out("new disk").out("+ drain replica decode-1");
}

#[test]
fn status_shows_each_instance_and_fails_for_a_dead_one() {
    let status = json!({
        "name": "entry-1",
        "incarnation": "1f",
        "generation": 8,
        "fresh": true,
        "store_age_ms": 40,
        "leaving": false,
        "open": 2,
        "holds": 1,
        "keys": 9,
        "pools": [{ "name": "ration", "waiting": 3, "placed": 4 }],
        "members": [{ "name": "entry-2", "state": "alive", "generation": 8, "heard_ms": 12 }],
    });
    let alive = Admin::new().with("/v1/status", 200, status).start();
    let env = Env::new().with_admin(alive);
    let ran = env
        .run(&["status"])
        .code(0)
        .out("entry-1")
        .out("generation 8, store read 40 ms ago");
    ran.out("keeper of ration: 3 waiting, 4 placed")
        .out("sees entry-2: alive");
    let dead = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    env.with_admin(dead)
        .run(&["status"])
        .code(6)
        .out("entry-1 at")
        .err(&dead.to_string());
}

#[test]
fn explain_merges_instances_and_log_files_by_time() {
    let there = json!({ "lines": [decision("krmiva/a.b.order-17", "2026-12-02T10:00:00.020+00:00", "place")] });
    let admin = Admin::new().with("/v1/explain", 200, there);
    let env = Env::new().with_admin(admin.start());
    let lines = [
        decision(
            "krmiva/a.b.order-17",
            "2026-12-02T10:00:00.010+00:00",
            "admit",
        )
        .to_string(),
        "a line cut off {\"kind\":".to_owned(),
        decision(
            "krmiva/a.b.order-18",
            "2026-12-02T10:00:00.015+00:00",
            "refuse",
        )
        .to_string(),
    ];
    let log = env.file("entry.log", &lines.join("\n"));
    let ran = env.run(&["explain", "order-17", "--log", &log]).code(0);
    let at = |text: &str| {
        ran.out
            .find(text)
            .unwrap_or_else(|| panic!("no `{text}` in {ran:#?}"))
    };
    assert!(at("admit decode-1 (instead of decode-2): least work") < at("place decode-1"));
    assert!(!ran.out.contains("refuse"));
}

#[test]
fn explain_finds_nothing() {
    let admin = Admin::new().with("/v1/explain", 200, json!({ "lines": [] }));
    let env = Env::new().with_admin(admin.start());
    env.run(&["explain", "order-17"])
        .code(9)
        .err("no decision names `order-17`");
}

#[test]
fn log_files_need_no_instance() {
    let env = Env::new();
    let log = env.file(
        "entry.log",
        &decision(
            "krmiva/a.b.order-17",
            "2026-12-02T10:00:00.010+00:00",
            "admit",
        )
        .to_string(),
    );
    env.run(&["explain", "order-17", "--log", &log])
        .code(0)
        .out("admit decode-1");
}

const LIFE: [&str; 5] = [
    r#"{"instance":"edge-1","up_ms":100,"time":"2026-12-02T10:00:05Z","kind":"send","request":"9c41","replica":"i-1","task":"answer","in_flight":2,"replicas":7,"plan":3,"left_ms":2490}"#,
    // The time of day jumped back between these two lines.
    r#"{"instance":"edge-1","up_ms":130,"time":"2026-12-02T10:00:01Z","kind":"failure","request":"9c41","replica":"i-1","cause":"connection reset","outcome":"Lost","status":0}"#,
    r#"{"instance":"edge-1","up_ms":131,"time":"2026-12-02T10:00:01Z","kind":"retry","request":"9c41","granted":false,"left":"0.4","sharers":9}"#,
    r#"{"instance":"edge-1","up_ms":132,"time":"2026-12-02T10:00:01Z","kind":"end","request":"9c41","outcome":"unknown","status":502,"ms":32,"cause":"the replica was lost"}"#,
    r#"{"instance":"edge-1","up_ms":131,"time":"2026-12-02T10:00:01Z","kind":"end","request":"9c41-other","outcome":"answered"}"#,
];

#[track_caller]
fn in_order(text: &str, parts: &[&str]) {
    let places: Vec<usize> = parts
        .iter()
        .map(|part| {
            text.find(part)
                .unwrap_or_else(|| panic!("no `{part}` in {text}"))
        })
        .collect();
    assert!(places.is_sorted(), "{text}");
}

#[test]
fn a_life_is_told_in_order_from_mixed_doubled_and_cut_lines() {
    let env = Env::new();
    let mixed = [
        LIFE[3],
        LIFE[4],
        LIFE[0],
        LIFE[0],
        "24.1 edge-1 {\"kind\":",
        LIFE[2],
    ];
    let first = env.file("one.log", &mixed.join("\n"));
    // A source may put its own words before a line.
    let second = env.file("two.log", &format!("  7.1 edge-1 {}\n", LIFE[1]));
    let ran = env
        .run(&["explain", "9c41", "--log", &first, "--log", &second])
        .code(0)
        .out("(1 lines could not be read)");
    in_order(
        &ran.out,
        &[
            "sent to i-1",
            "connection reset",
            "no retry was left",
            "END: outcome unknown",
        ],
    );
    assert_eq!(ran.out.matches("sent to i-1").count(), 1);
    assert!(!ran.out.contains("answered"));
}

#[test]
fn a_life_that_no_line_tells_is_not_found() {
    let env = Env::new();
    let log = env.file("one.log", &LIFE.join("\n"));
    env.run(&["explain", "9c4", "--log", &log]).code(9);
    env.run(&["explain", "9c41", "--log", "/nowhere.log"])
        .code(1)
        .err("/nowhere.log");
}

const FROZEN: [&str; 6] = [
    r#"{"instance":"edge-1","run":"a1","up_ms":90,"time":"2026-12-02T10:00:00Z","kind":"pause","ms":1200,"open":0}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":100,"time":"2026-12-02T10:00:05Z","kind":"send","request":"77aa","replica":"i-1","task":"decode","in_flight":2,"replicas":7,"plan":3,"left_ms":13900}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":7300,"time":"2026-12-02T10:00:12Z","kind":"pause","ms":7000,"open":3}"#,
    r#"{"instance":"edge-2","run":"b1","up_ms":7300,"time":"2026-12-02T10:00:12Z","kind":"pause","ms":5000,"open":3}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":7301,"time":"2026-12-02T10:00:12Z","kind":"silence","request":"77aa","replica":"i-1","ms":800,"answers":false}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":7310,"time":"2026-12-02T10:00:12Z","kind":"end","request":"77aa","outcome":"caller-left","status":0,"ms":7210}"#,
];

#[test]
fn a_life_tells_that_its_daemon_stood_still_and_a_replica_fell_silent() {
    let env = Env::new();
    let log = env.file("one.log", &FROZEN.join("\n"));
    let ran = env.run(&["explain", "77aa", "--log", &log]).code(0);
    in_order(
        &ran.out,
        &[
            "sent to i-1",
            "stood still for 7000 ms",
            "i-1 has been silent for 800 ms; asked on another connection, it does not answer",
            "END: the caller left",
        ],
    );
    assert!(!ran.out.contains("1200"), "before the request");
    assert!(!ran.out.contains("5000"), "another daemon");
}

#[test]
fn a_life_without_an_end_tells_that_the_daemon_was_started_again() {
    let env = Env::new();
    let anew = r#"{"instance":"edge-1","run":"a2","up_ms":0,"time":"2026-12-02T10:00:09Z","kind":"start"}"#;
    let log = env.file("one.log", &[FROZEN[1], anew].join("\n"));
    env.run(&["explain", "77aa", "--log", &log]).code(0).out(
        "the process of edge-1 ended without a word and was started again at 2026-12-02T10:00:09Z",
    );
    let log = env.file("two.log", FROZEN[1]);
    env.run(&["explain", "77aa", "--log", &log])
        .code(0)
        .out("NO END is told: the lines end before the request");
}

#[test]
fn a_replica_that_was_asked_for_room_in_vain_is_told() {
    let env = Env::new();
    let asked = r#"{"instance":"edge-1","run":"a1","up_ms":95,"time":"2026-12-02T10:00:05Z","kind":"reserve","request":"77aa","cause":"no answer in time"}"#;
    let log = env.file("one.log", asked);
    env.run(&["explain", "77aa", "--log", &log])
        .code(0)
        .out("a decode replica did not answer when it was asked for room: no answer in time");
}

#[test]
fn a_move_is_told() {
    let env = Env::new();
    let moved = r#"{"instance":"edge-1","run":"a1","up_ms":95,"time":"2026-12-02T10:00:05Z","kind":"move","request":"77aa","replica":"i-1","to":"i-2","stopped":"true","copied":"true","events":12,"cause":""}"#;
    let log = env.file("one.log", moved);
    env.run(&["explain", "77aa", "--log", &log])
        .code(0)
        .out("the run left i-1, whose memory was about to end, for i-2 after 12 events");
}

const READ_ELSEWHERE: [&str; 2] = [
    r#"{"instance":"edge-1","up_ms":100,"time":"2026-12-02T10:00:02Z","kind":"read","request":"9c41","ms":50,"cache":"k7","exchanges_before":3}"#,
    r#"{"instance":"edge-1","up_ms":101,"time":"2026-12-02T10:00:02Z","kind":"send","request":"9c41","replica":"i-2","task":"decode","cache":"k7","in_flight":1,"replicas":4,"plan":2,"left_ms":3900}"#,
];

/// Two requests that went on from one KV cache can be told by its name alone.
#[test]
fn a_life_names_the_cache_that_a_generation_goes_on_from() {
    let env = Env::new();
    let log = env.file("one.log", &READ_ELSEWHERE.join("\n"));
    let ran = env.run(&["explain", "9c41", "--log", &log]).code(0);
    in_order(
        &ran.out,
        &[
            "the prompt was read after 50 ms (KV cache k7)",
            "sent to i-2 to make tokens from the prompt read elsewhere (KV cache k7)",
        ],
    );
}
