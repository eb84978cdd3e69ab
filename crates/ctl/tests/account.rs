//! Classification of generations by why they were late or lost.

use ctl::account::Cause;
use ctl::account::OutcomeReport;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

fn line(request: &str, kind: &str, ms: u32, more: &Value) -> Value {
    let time = format!("2026-12-02T10:00:{:02}.{:03}+00:00", ms / 1_000, ms % 1_000);
    let mut line = json!({"request": request, "kind": kind, "time": time});
    let fields = more.as_object().unwrap().clone();
    line.as_object_mut().unwrap().extend(fields);
    line
}

fn end(request: &str, ms: u32, outcome: &str) -> Value {
    line(request, "end", ms, &json!({"outcome": outcome}))
}

fn gap(request: &str, ms: u32, replica: &str) -> Value {
    line(request, "gap", ms, &json!({"replica": replica, "ms": 640}))
}

fn first(request: &str, late: bool) -> Value {
    line(request, "first", 500, &json!({"ms": 500, "late": late}))
}

fn single_cause(lines: &[Value]) -> Cause {
    let report = OutcomeReport::new(lines);
    assert_eq!(report.total(), 1);
    *report.causes.keys().next().unwrap()
}

#[rstest]
#[case("answered", Cause::InTime)]
#[case("refused", Cause::Refused)]
#[case("broken", Cause::BrokenOff)]
#[case("unknown", Cause::BrokenOff)]
#[case("overdue", Cause::BrokenOff)]
#[case("caller-left", Cause::CallerLeft)]
#[case("failed", Cause::Failed)]
#[case("something new", Cause::Other)]
fn outcome_determines_cause(#[case] outcome: &str, #[case] cause: Cause) {
    let lines = [first("a", false), end("a", 4_000, outcome)];
    assert_eq!(single_cause(&lines), cause);
}

#[test]
fn late_first_event_takes_precedence() {
    let lines = [
        first("a", true),
        gap("a", 2_000, "i-1"),
        end("a", 4_000, "answered"),
    ];
    assert_eq!(single_cause(&lines), Cause::LateFirstEvent);
}

#[test]
fn stream_that_pauses_alone_is_preempted() {
    let lines = [
        first("a", false),
        gap("a", 2_000, "i-1"),
        end("a", 4_000, "answered"),
    ];
    assert_eq!(single_cause(&lines), Cause::Preempted);
}

#[test]
fn stream_after_granted_retry_is_resumed() {
    let retry = line("a", "retry", 1_900, &json!({"granted": "true"}));
    let lines = [
        first("a", false),
        retry,
        gap("a", 2_000, "i-1"),
        end("a", 4_000, "answered"),
    ];
    assert_eq!(single_cause(&lines), Cause::Resumed);
}

#[test]
fn simultaneous_pauses_are_attributed_to_replica() {
    let requests = ["a", "b", "c", "d"];
    let mut lines = Vec::new();
    for (index, request) in requests.iter().enumerate() {
        lines.push(first(request, false));
        lines.push(gap(request, 2_000 + index as u32 * 100, "i-1"));
        lines.push(end(request, 4_000, "answered"));
    }
    let report = OutcomeReport::new(&lines);
    assert_eq!(report.causes[&Cause::ReplicaPaused], 4);
    assert_eq!(report.seconds[&36_004][&Cause::ReplicaPaused], 4);
}

#[test]
fn plain_calls_are_ignored_and_unfinished_generations_counted() {
    let plain = line("p", "send", 100, &json!({"prompt": 0}));
    let lines = [plain, end("p", 200, "answered"), first("a", false)];
    assert_eq!(single_cause(&lines), Cause::NoEnd);
}

#[test]
fn outcomes_are_counted_by_customer() {
    let ended = |request, customer, outcome| {
        let fields = json!({"outcome": outcome, "customer": customer});
        line(request, "end", 4_000, &fields)
    };
    let lines = [
        ended("a", "krmiva", "answered"),
        ended("b", "krmiva", "beyond-quota"),
        ended("c", "krmiva", "beyond-quota"),
        ended("d", "", "answered"),
    ];
    let customers = OutcomeReport::new(&lines).customers;
    assert_eq!(customers.len(), 1);
    let krmiva = &customers["krmiva"];
    assert_eq!((krmiva["answered"], krmiva["beyond-quota"]), (1, 2));
}
