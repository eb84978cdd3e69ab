//! An edit's way into force: accepted, in force, conflict, rejected and undecided are different
//! answers with different exit codes.

use std::net::SocketAddr;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::env::Admin;
use crate::env::Env;
use crate::env::OPERATOR;
use crate::env::TOKEN;

const EDITS: &str = "/v1/table/edits";
const FORCE: &str = "/v1/table/force";
const TABLE: &str = "/v1/table";
const ROW: &str = "- {service: ration, class: default, pool: ration, share: 3}\n";
const APPLY: [&str; 4] = ["--wait", "1", "table", "apply"];

fn table() -> Value {
    json!({ "generation": 7, "rows": [], "drains": [{ "replica": "decode-1" }] })
}

fn in_force() -> Value {
    json!({ "generation": 8, "in_force": 3, "known": 3, "missing": [] })
}

/// An interface that answers edits by `result`.
fn admin(status: u16, result: Value) -> Admin {
    Admin::new()
        .with(TABLE, 200, table())
        .with(EDITS, status, result)
        .with(FORCE, 200, in_force())
}

fn apply(admins: &[SocketAddr], more: &[&str]) -> crate::env::Ran {
    let env = admins
        .iter()
        .fold(Env::new(), |env, admin| env.with_admin(*admin));
    let file = env.file("table.yaml", ROW);
    env.run(&[&APPLY[..], &[file.as_str()], more].concat())
}

fn accepted() -> Value {
    json!({ "result": "accepted", "generation": 8 })
}

/// An address that refuses connections.
fn nobody() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn difference_acceptance_and_force_are_shown_in_this_order() {
    let ran = apply(&[admin(200, accepted()).start()], &[]).code(0);
    let at = |text: &str| {
        ran.out
            .find(text)
            .unwrap_or_else(|| panic!("no `{text}` in {ran:#?}"))
    };
    assert!(at("+ ration/default/ration") < at("accepted by"));
    assert!(at("as generation 8") < at("in force: generation 8 on 3 of 3"));
}

#[test]
fn operator_token_and_note_are_sent() {
    let admin = admin(200, accepted());
    apply(&[admin.start()], &["--note", "more drafts"]).code(0);
    let edit = admin.seen(EDITS).remove(0);
    assert_eq!(edit.operator, OPERATOR);
    assert_eq!(edit.authorization, format!("Bearer {TOKEN}"));
    assert_eq!(edit.body["note"], "more drafts");
    assert_eq!(edit.body["operator"], OPERATOR);
}

#[test]
fn accepted_is_not_in_force() {
    let late = json!({ "generation": 8, "in_force": 2, "known": 3, "missing": ["entry-3"] });
    let admin = Admin::new()
        .with(TABLE, 200, table())
        .with(EDITS, 200, accepted())
        .with(FORCE, 200, late);
    apply(&[admin.start()], &[])
        .code(5)
        .out("accepted by")
        .err("missing: entry-3");
}

#[test]
fn force_is_awaited() {
    let late = json!({ "generation": 8, "in_force": 2, "known": 3, "missing": ["entry-3"] });
    let admin = Admin::new()
        .with(TABLE, 200, table())
        .with(EDITS, 200, accepted())
        .with(FORCE, 200, late)
        .with(FORCE, 200, in_force());
    apply(&[admin.start()], &[]).code(0).out("in force");
}

#[test]
fn conflict_shows_both_values() {
    let line = "ration/default/ration: now share 1 -> 2; wanted share 1 -> 3";
    let admin = admin(409, json!({ "result": "conflict", "lines": [line] }));
    apply(&[admin.start()], &[])
        .code(3)
        .err(line)
        .err("nothing was changed");
    assert_eq!(admin.seen(EDITS).len(), 1);
}

#[test]
fn rejection_by_all_instances_is_final() {
    let rejected = || {
        admin(
            422,
            json!({ "result": "rejected", "cause": "too many rows" }),
        )
    };
    let ran = apply(&[rejected().start(), rejected().start()], &[]);
    ran.code(4).err("too many rows");
}

#[test]
fn rejection_by_one_instance_leaves_the_others() {
    let one = admin(422, json!({ "result": "rejected", "cause": "no majority" }));
    let other = admin(200, accepted());
    apply(&[one.start(), other.start()], &[])
        .code(0)
        .out("accepted by");
}

#[test]
fn undecided_edit_is_repeated_under_its_id() {
    let lost = json!({ "result": "undecided", "cause": "the store's answer was lost" });
    let admin = Admin::new()
        .with(TABLE, 200, table())
        .with(EDITS, 504, lost)
        .with(EDITS, 200, json!({ "result": "repeated", "generation": 8 }))
        .with(FORCE, 200, in_force());
    apply(&[admin.start()], &[]).code(0).out("accepted before");
    let ids: Vec<Value> = admin
        .seen(EDITS)
        .iter()
        .map(|seen| seen.body["id"].clone())
        .collect();
    assert_eq!(ids.len(), 2);
    assert_eq!(ids[0], ids[1]);
}

#[test]
fn undecided_to_the_end_says_so_and_names_the_id() {
    let lost = json!({ "result": "undecided", "cause": "the store's answer was lost" });
    let admin = admin(504, lost);
    let ran = apply(&[admin.start()], &[]).code(8);
    let id = admin.seen(EDITS)[0].body["id"].as_str().unwrap().to_owned();
    ran.err("the store's answer was lost")
        .err(&format!("--edit-id {id}"));
}

#[test]
fn refusal_after_an_undecided_attempt_proves_nothing() {
    let admin = Admin::new()
        .with(TABLE, 200, table())
        .with(
            EDITS,
            504,
            json!({ "result": "undecided", "cause": "lost" }),
        )
        .with(
            EDITS,
            422,
            json!({ "result": "rejected", "cause": "no majority" }),
        );
    apply(&[admin.start()], &[]).code(8);
}

#[test]
fn dead_instance_is_passed_over() {
    let admin = admin(200, accepted());
    apply(&[nobody(), admin.start()], &[])
        .code(0)
        .out("in force");
}

#[test]
fn no_instance_at_all_is_unreachable() {
    apply(&[nobody()], &[])
        .code(6)
        .err("Connection refused")
        .err("--admin");
}

#[rstest]
#[case::unknown_token(401)]
#[case::foreign_operator(403)]
fn foreign_operator_is_denied(#[case] status: u16) {
    let admin = Admin::new().with(TABLE, status, json!({ "error": "who are you" }));
    apply(&[admin.start()], &[])
        .code(7)
        .err("does not know this operator");
}

#[test]
fn dry_run_sends_nothing() {
    let admin = admin(200, accepted());
    apply(&[admin.start()], &["--dry-run"])
        .code(0)
        .out("+ ration/default/ration");
    assert!(admin.seen(EDITS).is_empty());
}

#[test]
fn table_that_is_as_wanted_is_not_edited() {
    let env = Env::new();
    let rows = table::file::parse(ROW).unwrap();
    let current = json!({ "generation": 7, "rows": rows, "drains": [] });
    let admin = Admin::new().with(TABLE, 200, current);
    let env = env.with_admin(admin.start());
    let file = env.file("table.yaml", ROW);
    env.run(&["table", "apply", &file])
        .code(0)
        .out("no difference to generation 7");
    assert!(admin.seen(EDITS).is_empty());
}

#[test]
fn json_output_is_one_object() {
    let ran = apply(&[admin(200, accepted()).start()], &["--json"]).code(0);
    let value: Value = serde_json::from_str(&ran.out).unwrap();
    assert_eq!(value["result"], "in_force");
    assert_eq!(value["generation"], 8);
}

#[rstest]
#[case::drain("drain", "decode-2", json!({ "drain": { "replica": "decode-2" } }))]
#[case::undrain("undrain", "decode-1", json!({ "undrain": { "replica": "decode-1" } }))]
fn marks_are_edits(#[case] command: &str, #[case] name: &str, #[case] change: Value) {
    let admin = admin(200, accepted());
    let env = Env::new().with_admin(admin.start());
    env.run(&[command, "replica", name]).code(0).out("in force");
    assert_eq!(admin.seen(EDITS)[0].body["changes"], json!([change]));
}

#[test]
fn mark_that_is_set_is_not_set_again() {
    let admin = admin(200, accepted());
    let env = Env::new().with_admin(admin.start());
    env.run(&["drain", "replica", "decode-1"])
        .code(0)
        .out("is draining already");
    assert!(admin.seen(EDITS).is_empty());
}

/// The table after another operator's edit 8, which set the share of `ration` from 1 to 2.
fn after_another_edit() -> Admin {
    let row = |share: u32| {
        let text = format!("- {{service: ration, class: default, pool: ration, share: {share}}}");
        serde_json::to_value(&table::file::parse(&text).unwrap()[0]).unwrap()
    };
    let edit = json!({
        "generation": 8,
        "id": "ctl-other",
        "operator": "ivo",
        "note": "",
        "unix_s": 1_800_000_000,
        "changes": [{ "put": { "row": row(2), "base": row(1) } }],
    });
    Admin::new()
        .with(
            TABLE,
            200,
            json!({ "generation": 8, "rows": [row(2)], "drains": [] }),
        )
        .with("/v1/table/history", 200, json!({ "edits": [edit] }))
        .with(EDITS, 200, json!({ "result": "accepted", "generation": 9 }))
        .with(
            FORCE,
            200,
            json!({ "generation": 9, "in_force": 3, "known": 3, "missing": [] }),
        )
}

#[test]
fn edit_tells_what_its_file_was_made_from() {
    let admin = after_another_edit();
    let env = Env::new().with_admin(admin.start());
    let file = env.file("table.yaml", &format!("# generation 7\n{ROW}"));
    env.run(&["table", "apply", &file])
        .code(0)
        .out("share 1 -> 3");
    let change = admin.seen(EDITS)[0].body["changes"][0].clone();
    assert_eq!(change["put"]["base"]["share"], 1);
    assert_eq!(change["put"]["row"]["share"], 3);
}

#[test]
fn edit_keeps_what_others_changed_since_its_file_was_made() {
    let admin = after_another_edit();
    let env = Env::new().with_admin(admin.start());
    let unchanged = "- {service: ration, class: default, pool: ration, share: 1}";
    let added = "- {service: stock, class: default, pool: ordering}";
    let file = env.file(
        "table.yaml",
        &format!("# generation 7\n{unchanged}\n{added}\n"),
    );
    env.run(&["table", "apply", &file]).code(0);
    let changes = admin.seen(EDITS)[0].body["changes"].clone();
    assert_eq!(changes.as_array().unwrap().len(), 1);
    assert_eq!(changes[0]["put"]["row"]["service"], "stock");
}

#[test]
fn file_older_than_the_kept_edits_is_refused() {
    let admin = after_another_edit();
    let env = Env::new().with_admin(admin.start());
    let file = env.file("table.yaml", &format!("# generation 6\n{ROW}"));
    env.run(&["table", "apply", &file])
        .code(3)
        .err("made from generation 6");
    assert!(admin.seen(EDITS).is_empty());
}
