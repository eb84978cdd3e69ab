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
