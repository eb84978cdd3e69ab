//! Submitting edits: accepted, in force, conflict, rejected and undecided are reported separately,
//! with different exit codes.

use std::net::SocketAddr;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::env::Env;
use crate::env::FakeAdmin;
use crate::env::OPERATOR;
use crate::env::TOKEN;

const EDITS: &str = "/v1/table/edits";
const FORCE: &str = "/v1/table/force";
const TABLE: &str = "/v1/table";
const ROW: &str = "- {service: ration, class: default, pool: ration, share: 3}\n";
const APPLY: [&str; 4] = ["--wait", "1", "table", "apply"];

fn current_table() -> Value {
    json!({ "generation": 7, "rows": [], "drains": [{ "replica": "decode-1" }] })
}

fn in_force() -> Value {
    json!({ "generation": 8, "in_force": 3, "known": 3, "missing": [] })
}

/// Admin interface that answers edits with `result`.
fn admin_answering(status: u16, result: Value) -> FakeAdmin {
    FakeAdmin::new()
        .with_answer(TABLE, 200, current_table())
        .with_answer(EDITS, status, result)
        .with_answer(FORCE, 200, in_force())
}

fn apply(admins: &[SocketAddr], more: &[&str]) -> crate::env::CommandOutput {
    let env = admins
        .iter()
        .fold(Env::new(), |env, admin| env.with_admin(*admin));
    let file = env.write_file("table.yaml", ROW);
    env.run(&[&APPLY[..], &[file.as_str()], more].concat())
}

fn accepted() -> Value {
    json!({ "result": "accepted", "generation": 8 })
}

/// An address that refuses connections.
fn refusing_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn difference_is_shown_before_acceptance_and_force() {
    let output = apply(&[admin_answering(200, accepted()).start()], &[]).assert_code(0);
    let position = |text: &str| {
        output
            .stdout
            .find(text)
            .unwrap_or_else(|| panic!("no `{text}` in {output:#?}"))
    };
    assert!(position("+ ration/default/ration") < position("accepted by"));
    assert!(position("as generation 8") < position("in force: generation 8 on 3 of 3"));
}

#[test]
fn operator_token_and_note_are_sent() {
    let admin = admin_answering(200, accepted());
    apply(&[admin.start()], &["--note", "more drafts"]).assert_code(0);
    let edit = admin.calls_to(EDITS).remove(0);
    assert_eq!(edit.operator, OPERATOR);
    assert_eq!(edit.authorization, format!("Bearer {TOKEN}"));
    assert_eq!(edit.body["note"], "more drafts");
    assert_eq!(edit.body["operator"], OPERATOR);
}

#[test]
fn accepted_edit_that_is_not_in_force_fails() {
    let late = json!({ "generation": 8, "in_force": 2, "known": 3, "missing": ["entry-3"] });
    let admin = FakeAdmin::new()
        .with_answer(TABLE, 200, current_table())
        .with_answer(EDITS, 200, accepted())
        .with_answer(FORCE, 200, late);
    apply(&[admin.start()], &[])
        .assert_code(5)
        .assert_stdout("accepted by")
        .assert_stderr("missing: entry-3");
}

#[test]
fn command_waits_until_edit_is_in_force() {
    let late = json!({ "generation": 8, "in_force": 2, "known": 3, "missing": ["entry-3"] });
    let admin = FakeAdmin::new()
        .with_answer(TABLE, 200, current_table())
        .with_answer(EDITS, 200, accepted())
        .with_answer(FORCE, 200, late)
        .with_answer(FORCE, 200, in_force());
    apply(&[admin.start()], &[])
        .assert_code(0)
        .assert_stdout("in force");
}

#[test]
fn conflict_shows_both_values() {
    let line = "ration/default/ration: now share 1 -> 2; wanted share 1 -> 3";
    let admin = admin_answering(409, json!({ "result": "conflict", "lines": [line] }));
    apply(&[admin.start()], &[])
        .assert_code(3)
        .assert_stderr(line)
        .assert_stderr("nothing was changed");
    assert_eq!(admin.calls_to(EDITS).len(), 1);
}

#[test]
fn rejection_by_all_instances_is_final() {
    let rejected = || {
        admin_answering(
            422,
            json!({ "result": "rejected", "cause": "too many rows" }),
        )
    };
    let output = apply(&[rejected().start(), rejected().start()], &[]);
    output.assert_code(4).assert_stderr("too many rows");
}

#[test]
fn edit_rejected_by_one_instance_is_sent_to_the_next() {
    let one = admin_answering(422, json!({ "result": "rejected", "cause": "no majority" }));
    let other = admin_answering(200, accepted());
    apply(&[one.start(), other.start()], &[])
        .assert_code(0)
        .assert_stdout("accepted by");
}

#[test]
fn undecided_edit_is_repeated_under_its_id() {
    let lost = json!({ "result": "undecided", "cause": "the store's answer was lost" });
    let admin = FakeAdmin::new()
        .with_answer(TABLE, 200, current_table())
        .with_answer(EDITS, 504, lost)
        .with_answer(EDITS, 200, json!({ "result": "repeated", "generation": 8 }))
        .with_answer(FORCE, 200, in_force());
    apply(&[admin.start()], &[])
        .assert_code(0)
        .assert_stdout("accepted before");
    let ids: Vec<Value> = admin
        .calls_to(EDITS)
        .iter()
        .map(|call| call.body["id"].clone())
        .collect();
    assert_eq!(ids.len(), 2);
    assert_eq!(ids[0], ids[1]);
}

#[test]
fn undecided_edit_error_names_edit_id() {
    let lost = json!({ "result": "undecided", "cause": "the store's answer was lost" });
    let admin = admin_answering(504, lost);
    let output = apply(&[admin.start()], &[]).assert_code(8);
    let id = admin.calls_to(EDITS)[0].body["id"]
        .as_str()
        .unwrap()
        .to_owned();
    output
        .assert_stderr("the store's answer was lost")
        .assert_stderr(&format!("--edit-id {id}"));
}

#[test]
fn edit_rejected_after_an_undecided_attempt_stays_undecided() {
    let admin = FakeAdmin::new()
        .with_answer(TABLE, 200, current_table())
        .with_answer(
            EDITS,
            504,
            json!({ "result": "undecided", "cause": "lost" }),
        )
        .with_answer(
            EDITS,
            422,
            json!({ "result": "rejected", "cause": "no majority" }),
        );
    apply(&[admin.start()], &[]).assert_code(8);
}

#[test]
fn unreachable_instance_is_skipped() {
    let admin = admin_answering(200, accepted());
    apply(&[refusing_address(), admin.start()], &[])
        .assert_code(0)
        .assert_stdout("in force");
}

#[test]
fn no_instance_at_all_is_unreachable() {
    apply(&[refusing_address()], &[])
        .assert_code(6)
        .assert_stderr("Connection refused")
        .assert_stderr("--admin");
}

#[rstest]
#[case::unknown_token(401)]
#[case::foreign_operator(403)]
fn unknown_operator_is_denied(#[case] status: u16) {
    let admin = FakeAdmin::new().with_answer(TABLE, status, json!({ "error": "who are you" }));
    apply(&[admin.start()], &[])
        .assert_code(7)
        .assert_stderr("does not know this operator");
}

#[test]
fn dry_run_sends_nothing() {
    let admin = admin_answering(200, accepted());
    apply(&[admin.start()], &["--dry-run"])
        .assert_code(0)
        .assert_stdout("+ ration/default/ration");
    assert!(admin.calls_to(EDITS).is_empty());
}

#[test]
fn unchanged_table_is_not_edited() {
    let env = Env::new();
    let rows = table::file::parse(ROW).unwrap();
    let current = json!({ "generation": 7, "rows": rows, "drains": [] });
    let admin = FakeAdmin::new().with_answer(TABLE, 200, current);
    let env = env.with_admin(admin.start());
    let file = env.write_file("table.yaml", ROW);
    env.run(&["table", "apply", &file])
        .assert_code(0)
        .assert_stdout("no difference to generation 7");
    assert!(admin.calls_to(EDITS).is_empty());
}

#[test]
fn json_output_is_one_object() {
    let output = apply(&[admin_answering(200, accepted()).start()], &["--json"]).assert_code(0);
    let value: Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(value["result"], "in_force");
    assert_eq!(value["generation"], 8);
}

#[rstest]
#[case::drain("drain", "decode-2", json!({ "drain": { "replica": "decode-2" } }))]
#[case::undrain("undrain", "decode-1", json!({ "undrain": { "replica": "decode-1" } }))]
fn drain_and_undrain_are_sent_as_edits(
    #[case] command: &str,
    #[case] name: &str,
    #[case] change: Value,
) {
    let admin = admin_answering(200, accepted());
    let env = Env::new().with_admin(admin.start());
    env.run(&[command, "replica", name])
        .assert_code(0)
        .assert_stdout("in force");
    assert_eq!(admin.calls_to(EDITS)[0].body["changes"], json!([change]));
}

#[test]
fn draining_replica_is_not_drained_again() {
    let admin = admin_answering(200, accepted());
    let env = Env::new().with_admin(admin.start());
    env.run(&["drain", "replica", "decode-1"])
        .assert_code(0)
        .assert_stdout("is draining already");
    assert!(admin.calls_to(EDITS).is_empty());
}

/// Admin interface after edit 8 of another operator, which changed the share of `ration` from 1
/// to 2.
fn after_another_edit() -> FakeAdmin {
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
    FakeAdmin::new()
        .with_answer(
            TABLE,
            200,
            json!({ "generation": 8, "rows": [row(2)], "drains": [] }),
        )
        .with_answer("/v1/table/history", 200, json!({ "edits": [edit] }))
        .with_answer(EDITS, 200, json!({ "result": "accepted", "generation": 9 }))
        .with_answer(
            FORCE,
            200,
            json!({ "generation": 9, "in_force": 3, "known": 3, "missing": [] }),
        )
}

#[test]
fn edit_contains_rows_of_the_generation_of_its_file() {
    let admin = after_another_edit();
    let env = Env::new().with_admin(admin.start());
    let file = env.write_file("table.yaml", &format!("# generation 7\n{ROW}"));
    env.run(&["table", "apply", &file])
        .assert_code(0)
        .assert_stdout("share 1 -> 3");
    let change = admin.calls_to(EDITS)[0].body["changes"][0].clone();
    assert_eq!(change["put"]["base"]["share"], 1);
    assert_eq!(change["put"]["row"]["share"], 3);
}

#[test]
fn edit_keeps_concurrent_changes() {
    let admin = after_another_edit();
    let env = Env::new().with_admin(admin.start());
    let unchanged = "- {service: ration, class: default, pool: ration, share: 1}";
    let added = "- {service: stock, class: default, pool: ordering}";
    let file = env.write_file(
        "table.yaml",
        &format!("# generation 7\n{unchanged}\n{added}\n"),
    );
    env.run(&["table", "apply", &file]).assert_code(0);
    let changes = admin.calls_to(EDITS)[0].body["changes"].clone();
    assert_eq!(changes.as_array().unwrap().len(), 1);
    assert_eq!(changes[0]["put"]["row"]["service"], "stock");
}

#[test]
fn file_older_than_the_edit_history_is_rejected() {
    let admin = after_another_edit();
    let env = Env::new().with_admin(admin.start());
    let file = env.write_file("table.yaml", &format!("# generation 6\n{ROW}"));
    env.run(&["table", "apply", &file])
        .assert_code(3)
        .assert_stderr("made from generation 6");
    assert!(admin.calls_to(EDITS).is_empty());
}
