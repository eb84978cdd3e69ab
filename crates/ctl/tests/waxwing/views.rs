//! Commands that read without changing anything.

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::env::Env;
use crate::env::FakeAdmin;

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
fn shown_table_passes_check() {
    let rows = table::file::parse(ROWS).unwrap();
    let drains = json!([{ "instance": "entry-2" }]);
    let shown = json!({ "generation": 7, "rows": rows, "drains": drains });
    let env = Env::new().with_admin(FakeAdmin::new().with_answer(TABLE, 200, shown).start());
    let output = env
        .run(&["table", "show"])
        .assert_code(0)
        .assert_stdout("# generation 7")
        .assert_stdout("instance entry-2");
    let file = env.write_file("shown.yaml", &output.stdout);
    env.run(&["table", "check", &file]).assert_code(0);
    assert_eq!(table::file::parse(&output.stdout).unwrap(), rows);
}

#[test]
fn history_shows_operator_changes_and_note() {
    let change = json!({ "drain": { "replica": "decode-1" } });
    let edit = json!({
        "generation": 8,
        "id": "ctl-1",
        "operator": "ana",
        "note": "new disk",
        "unix_s": 1_800_000_000,
        "changes": [change],
    });
    let admin = FakeAdmin::new().with_answer("/v1/table/history", 200, json!({ "edits": [edit] }));
    let env = Env::new().with_admin(admin.start());
    let output = env
        .run(&["table", "history"])
        .assert_code(0)
        .assert_stdout("generation 8 by ana");
    output
        .assert_stdout("new disk")
        .assert_stdout("+ drain replica decode-1");
}

#[test]
fn status_fails_if_an_instance_is_unreachable() {
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
    let alive = FakeAdmin::new()
        .with_answer("/v1/status", 200, status)
        .start();
    let env = Env::new().with_admin(alive);
    let output = env
        .run(&["status"])
        .assert_code(0)
        .assert_stdout("entry-1")
        .assert_stdout("generation 8, store read 40 ms ago");
    output
        .assert_stdout("keeper of ration: 3 waiting, 4 placed")
        .assert_stdout("sees entry-2: alive");
    let dead = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    env.with_admin(dead)
        .run(&["status"])
        .assert_code(6)
        .assert_stdout("entry-1 at")
        .assert_stderr(&dead.to_string());
}

#[test]
fn explain_merges_instances_and_log_files_by_time() {
    let explanation = json!({ "lines": [decision("krmiva/a.b.order-17", "2026-12-02T10:00:00.020+00:00", "place")] });
    let admin = FakeAdmin::new().with_answer("/v1/explain", 200, explanation);
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
    let log = env.write_file("entry.log", &lines.join("\n"));
    let output = env
        .run(&["explain", "order-17", "--log", &log])
        .assert_code(0);
    let position = |text: &str| {
        output
            .stdout
            .find(text)
            .unwrap_or_else(|| panic!("no `{text}` in {output:#?}"))
    };
    assert!(
        position("admit decode-1 (instead of decode-2): least work") < position("place decode-1")
    );
    assert!(!output.stdout.contains("refuse"));
}

#[test]
fn explain_without_decisions_fails() {
    let admin = FakeAdmin::new().with_answer("/v1/explain", 200, json!({ "lines": [] }));
    let env = Env::new().with_admin(admin.start());
    env.run(&["explain", "order-17"])
        .assert_code(9)
        .assert_stderr("no decision names `order-17`");
}

#[test]
fn log_files_need_no_instance() {
    let env = Env::new();
    let log = env.write_file(
        "entry.log",
        &decision(
            "krmiva/a.b.order-17",
            "2026-12-02T10:00:00.010+00:00",
            "admit",
        )
        .to_string(),
    );
    env.run(&["explain", "order-17", "--log", &log])
        .assert_code(0)
        .assert_stdout("admit decode-1");
}

/// Guards against a request that ends at one instance while another one's lines tell what ran.
#[test]
fn timeline_shows_both_instances_of_a_request_that_was_handed_over() {
    let env = Env::new();
    let lines = [
        r#"{"instance":"edge-1","up_ms":5,"time":"2026-12-02T10:00:01Z","kind":"handoff","request":"9c41","peer":"10.1.0.2:7380","ms":12}"#,
        r#"{"instance":"edge-1","up_ms":9,"time":"2026-12-02T10:00:03Z","kind":"end","request":"9c41","outcome":"answered","status":200,"ms":30}"#,
        r#"{"instance":"edge-2","up_ms":7,"time":"2026-12-02T10:00:02Z","kind":"handoff","request":"9c41","origin":"edge-1","outcome":"answered","status":200,"ms":29}"#,
    ];
    let log = env.write_file("handed.log", &lines.join("\n"));
    let output = env.run(&["explain", "9c41", "--log", &log]).assert_code(0);
    // Clocks of instances differ, so the lines of each one stay together.
    let parts = [
        "the peer 10.1.0.2:7380 answers",
        "END: answered",
        "served for edge-1: answered",
    ];
    assert_in_order(&output.stdout, &parts);
}

const REQUEST_LINES: [&str; 5] = [
    r#"{"instance":"edge-1","up_ms":100,"time":"2026-12-02T10:00:05Z","kind":"send","request":"9c41","replica":"i-1","task":"answer","in_flight":2,"replicas":7,"plan":3,"left_ms":2490}"#,
    // The time of day jumps back before this line.
    r#"{"instance":"edge-1","up_ms":130,"time":"2026-12-02T10:00:01Z","kind":"failure","request":"9c41","replica":"i-1","cause":"connection reset","outcome":"Lost","status":0}"#,
    r#"{"instance":"edge-1","up_ms":131,"time":"2026-12-02T10:00:01Z","kind":"retry","request":"9c41","granted":false,"left":"0.4","sharers":9}"#,
    r#"{"instance":"edge-1","up_ms":132,"time":"2026-12-02T10:00:01Z","kind":"end","request":"9c41","outcome":"unknown","status":502,"ms":32,"cause":"the replica was lost"}"#,
    r#"{"instance":"edge-1","up_ms":131,"time":"2026-12-02T10:00:01Z","kind":"end","request":"9c41-other","outcome":"answered"}"#,
];

#[track_caller]
fn assert_in_order(text: &str, parts: &[&str]) {
    let positions: Vec<usize> = parts
        .iter()
        .map(|part| {
            text.find(part)
                .unwrap_or_else(|| panic!("no `{part}` in {text}"))
        })
        .collect();
    assert!(positions.is_sorted(), "{text}");
}

#[test]
fn timeline_is_ordered_despite_shuffled_duplicate_and_truncated_lines() {
    let env = Env::new();
    let mixed = [
        REQUEST_LINES[3],
        REQUEST_LINES[4],
        REQUEST_LINES[0],
        REQUEST_LINES[0],
        "24.1 edge-1 {\"kind\":",
        REQUEST_LINES[2],
    ];
    let first = env.write_file("one.log", &mixed.join("\n"));
    // A log collector may add a prefix to a line.
    let second = env.write_file("two.log", &format!("  7.1 edge-1 {}\n", REQUEST_LINES[1]));
    let output = env
        .run(&["explain", "9c41", "--log", &first, "--log", &second])
        .assert_code(0)
        .assert_stdout("(1 lines could not be read)");
    assert_in_order(
        &output.stdout,
        &[
            "sent to i-1",
            "connection reset",
            "no retry was left",
            "END: outcome unknown",
        ],
    );
    assert_eq!(output.stdout.matches("sent to i-1").count(), 1);
    assert!(!output.stdout.contains("answered"));
}

#[test]
fn request_without_lines_is_not_found() {
    let env = Env::new();
    let log = env.write_file("one.log", &REQUEST_LINES.join("\n"));
    env.run(&["explain", "9c4", "--log", &log]).assert_code(9);
    env.run(&["explain", "9c41", "--log", "/nowhere.log"])
        .assert_code(1)
        .assert_stderr("/nowhere.log");
}

const SUSPENDED_LINES: [&str; 6] = [
    r#"{"instance":"edge-1","run":"a1","up_ms":90,"time":"2026-12-02T10:00:00Z","kind":"pause","ms":1200,"open":0}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":100,"time":"2026-12-02T10:00:05Z","kind":"send","request":"77aa","replica":"i-1","task":"decode","in_flight":2,"replicas":7,"plan":3,"left_ms":13900}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":7300,"time":"2026-12-02T10:00:12Z","kind":"pause","ms":7000,"open":3}"#,
    r#"{"instance":"edge-2","run":"b1","up_ms":7300,"time":"2026-12-02T10:00:12Z","kind":"pause","ms":5000,"open":3}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":7301,"time":"2026-12-02T10:00:12Z","kind":"silence","request":"77aa","replica":"i-1","ms":800,"answers":false}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":7310,"time":"2026-12-02T10:00:12Z","kind":"end","request":"77aa","outcome":"caller-left","status":0,"ms":7210}"#,
];

#[test]
fn timeline_shows_suspended_daemon_and_unresponsive_replica() {
    let env = Env::new();
    let log = env.write_file("one.log", &SUSPENDED_LINES.join("\n"));
    let output = env.run(&["explain", "77aa", "--log", &log]).assert_code(0);
    assert_in_order(
        &output.stdout,
        &[
            "sent to i-1",
            "did not run for 7000 ms",
            "i-1 has sent nothing for 800 ms; probed on another connection, it does not answer",
            "END: the caller left",
        ],
    );
    assert!(!output.stdout.contains("1200"), "before the request");
    assert!(!output.stdout.contains("5000"), "another daemon");
}

const EVACUATION_LINES: [&str; 6] = [
    r#"{"instance":"edge-1","run":"a1","up_ms":40,"time":"2026-12-02T10:00:00Z","kind":"evacuation","evacuated_data_centre":"osijek-a","begins":true}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":50,"time":"2026-12-02T10:00:00Z","kind":"evacuation","evacuated_data_centre":"dakovo-c","begins":true}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":60,"time":"2026-12-02T10:00:00Z","kind":"evacuation","evacuated_data_centre":"dakovo-c","begins":false}"#,
    r#"{"instance":"edge-2","run":"b1","up_ms":60,"time":"2026-12-02T10:00:00Z","kind":"evacuation","evacuated_data_centre":"vinkovci-b","begins":true}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":100,"time":"2026-12-02T10:00:05Z","kind":"reserve","request":"77aa","tokens":5000,"rounds":3}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":110,"time":"2026-12-02T10:00:05Z","kind":"end","request":"77aa","outcome":"refused","status":503,"ms":10}"#,
];

#[test]
fn timeline_shows_evacuations_in_force() {
    let env = Env::new();
    let log = env.write_file("one.log", &EVACUATION_LINES.join("\n"));
    let output = env.run(&["explain", "77aa", "--log", &log]).assert_code(0);
    assert_in_order(
        &output.stdout,
        &[
            "the evacuation of osijek-a begins",
            "no decode replica had room",
            "END: refused",
        ],
    );
    assert!(!output.stdout.contains("dakovo-c"), "ended before");
    assert!(!output.stdout.contains("vinkovci-b"), "another daemon");
}

const RESUMPTION_LINES: [&str; 5] = [
    r#"{"instance":"edge-1","run":"a1","up_ms":100,"time":"2026-12-02T10:00:05Z","kind":"resumption","request":"77aa","resumes":"66bb","last_event":7}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":102,"time":"2026-12-02T10:00:05Z","kind":"begin","request":"77aa","resumes":"66bb","software":"v1.1","source":"began","ms":2}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":200,"time":"2026-12-02T10:00:05Z","kind":"send","request":"77aa","parts":"5c1e07a2,e4402b7d","replica":"i-1","software":"v1.1","task":"answer","in_flight":2,"replicas":7,"plan":3,"left_ms":13900}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":300,"time":"2026-12-02T10:00:06Z","kind":"begin","request":"88cc","resumes":"99dd","software":"","source":"unknown","ms":100}"#,
    r#"{"instance":"edge-1","run":"a1","up_ms":301,"time":"2026-12-02T10:00:06Z","kind":"end","request":"88cc","outcome":"refused","status":503,"ms":101,"cause":"the software version that began the stream is unknown"}"#,
];

#[rstest]
#[case::known("77aa", &[
    "the caller resumes the stream of its attempt 66bb after event 7",
    "the stream was begun by version v1.1 (began)",
    "sent to i-1 (version v1.1) to answer, prompt parts 5c1e07a2,e4402b7d",
])]
#[case::unknown("88cc", &[
    "nobody knows which software version began the stream",
    "END: refused, it has not run: the software version that began the stream is unknown",
])]
fn timeline_shows_the_software_version_of_a_resumed_stream(
    #[case] request: &str,
    #[case] expected: &[&str],
) {
    let env = Env::new();
    let log = env.write_file("one.log", &RESUMPTION_LINES.join("\n"));
    let output = env.run(&["explain", request, "--log", &log]).assert_code(0);
    assert_in_order(&output.stdout, expected);
}

#[test]
fn timeline_without_end_shows_restart_of_daemon() {
    let env = Env::new();
    let restart = r#"{"instance":"edge-1","run":"a2","up_ms":0,"time":"2026-12-02T10:00:09Z","kind":"start"}"#;
    let log = env.write_file("one.log", &[SUSPENDED_LINES[1], restart].join("\n"));
    env.run(&["explain", "77aa", "--log", &log]).assert_code(0).assert_stdout(
        "the process of edge-1 died without a log line and was restarted at 2026-12-02T10:00:09Z",
    );
    let log = env.write_file("two.log", SUSPENDED_LINES[1]);
    env.run(&["explain", "77aa", "--log", &log])
        .assert_code(0)
        .assert_stdout("NO END: the log lines stop before the request ends");
}

#[test]
fn timeline_shows_unanswered_reservation() {
    let env = Env::new();
    let reserve = r#"{"instance":"edge-1","run":"a1","up_ms":95,"time":"2026-12-02T10:00:05Z","kind":"reserve","request":"77aa","cause":"no answer in time"}"#;
    let log = env.write_file("one.log", reserve);
    env.run(&["explain", "77aa", "--log", &log])
        .assert_code(0)
        .assert_stdout("a decode replica did not answer a reservation: no answer in time");
}

#[test]
fn timeline_shows_migration() {
    let env = Env::new();
    let moved = r#"{"instance":"edge-1","run":"a1","up_ms":95,"time":"2026-12-02T10:00:05Z","kind":"move","request":"77aa","replica":"i-1","to":"i-2","stopped":"true","copied":"true","events":12,"cause":""}"#;
    let log = env.write_file("one.log", moved);
    env.run(&["explain", "77aa", "--log", &log])
        .assert_code(0)
        .assert_stdout(
            "the run moved from i-1, whose memory was nearly full, to i-2 after 12 events",
        );
}

const REMOTE_PREFILL_LINES: [&str; 2] = [
    r#"{"instance":"edge-1","up_ms":100,"time":"2026-12-02T10:00:02Z","kind":"read","request":"9c41","ms":50,"cache":"k7","exchanges_before":3}"#,
    r#"{"instance":"edge-1","up_ms":101,"time":"2026-12-02T10:00:02Z","kind":"send","request":"9c41","replica":"i-2","task":"decode","cache":"k7","in_flight":1,"replicas":4,"plan":2,"left_ms":3900}"#,
];

/// The name of the KV cache shows when two requests decode from the same one.
#[test]
fn timeline_names_kv_cache_of_remote_prefill() {
    let env = Env::new();
    let log = env.write_file("one.log", &REMOTE_PREFILL_LINES.join("\n"));
    let output = env.run(&["explain", "9c41", "--log", &log]).assert_code(0);
    assert_in_order(
        &output.stdout,
        &[
            "the prefill was finished after 50 ms (KV cache k7)",
            "sent to i-2 to decode after a prefill on another replica (KV cache k7)",
        ],
    );
}

/// Lines of requests that compete for a quota, and of one at a slow replica.
const CROWD_LOG: &str = include_str!("../crowd.log");

#[test]
fn timeline_shows_rank_reserve_and_return_time() {
    let env = Env::new();
    let log = env.write_file("crowd.log", CROWD_LOG);
    let output = env.run(&["explain", "a3", "--log", &log]).assert_code(0);
    let parts = [
        "1500 units left, 9000 units reserved for more urgent requests, to come back after 4000 ms (rank 2, refused before)",
        "END: refused with 429",
        "(rank 2, refused before, told to come back after 4000 ms)",
    ];
    assert_in_order(&output.stdout, &parts);
}

/// Lines of older daemons have none of these fields.
#[test]
fn timeline_without_ranks_is_unchanged() {
    let env = Env::new();
    let log = env.write_file("crowd.log", CROWD_LOG);
    let output = env.run(&["explain", "c1", "--log", &log]).assert_code(0);
    assert!(
        output
            .stdout
            .contains("END: answered with 200 after 12 ms\n")
    );
}

#[test]
fn timeline_shows_why_a_run_moved_and_the_speed_of_its_replica() {
    let env = Env::new();
    let line = |up_ms: u32, kind: &str, more: &str| {
        format!(
            r#"{{"instance":"edge-1","run":"r","up_ms":{up_ms},"time":"2026-12-02T10:00:01Z","kind":"{kind}",{more}}}"#
        )
    };
    let lines = [
        line(
            1,
            "pace",
            r#""replica":"i-1","us_per_token":9000.0,"source":"own""#,
        ),
        line(
            2,
            "pace",
            r#""replica":"i-1","us_per_token":48000.0,"source":"own""#,
        ),
        line(
            3,
            "pace",
            r#""replica":"i-2","us_per_token":7000.0,"source":"own""#,
        ),
        line(
            4,
            "send",
            r#""request":"9c41","replica":"i-1","task":"decode""#,
        ),
        line(
            5,
            "move",
            r#""request":"9c41","replica":"i-1","to":"i-3","stopped":true,"copied":true,"events":4,"reason":"which was too slow""#,
        ),
        line(
            6,
            "end",
            r#""request":"9c41","outcome":"answered","status":200,"ms":30"#,
        ),
        line(
            7,
            "pace",
            r#""replica":"i-1","us_per_token":9000.0,"source":"own""#,
        ),
    ];
    let log = env.write_file("paces.log", &lines.join("\n"));
    let output = env.run(&["explain", "9c41", "--log", &log]).assert_code(0);
    let parts = [
        "i-1 takes 48000 microseconds for a token",
        "sent to i-1",
        "moved from i-1, which was too slow, to i-3",
        "END",
    ];
    assert_in_order(&output.stdout, &parts);
    assert!(!output.stdout.contains("9000"), "{}", output.stdout);
    assert!(!output.stdout.contains("i-2"), "{}", output.stdout);
}

#[test]
fn crowd_prints_customers_ranks_and_data_centres() {
    let env = Env::new();
    let log = env.write_file("crowd.log", CROWD_LOG);
    let output = env.run(&["crowd", "--log", &log]).assert_code(0);
    let parts = [
        "customer",
        "krmiva",
        "farma",
        "rank",
        "data centre",
        "osijek",
    ];
    assert_in_order(&output.stdout, &parts);
    let json = env.run(&["crowd", "--json", "--log", &log]).assert_code(0);
    let report: Value = serde_json::from_str(&json.stdout).unwrap();
    assert_eq!(report["customers"][0]["name"], "krmiva");
    assert_eq!(report["customers"][0]["counts"]["beyond_quota"], 2);
    env.run(&["crowd"]).assert_code(2);
}
