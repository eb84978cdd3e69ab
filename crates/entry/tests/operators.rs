//! Authentication of operators and the calls of the admin address.

mod common;

use rstest::rstest;

use crate::common::Site;
use crate::common::http;
use crate::common::settings::TOKEN;

fn edit(operator: &str) -> String {
    let mark = table::drain::DrainTarget::Replica("decode-1".to_owned());
    let edit =
        table::edit::Edit::new("edit-2", operator).with_change(table::edit::Change::Drain(mark));
    serde_json::to_string(&edit).unwrap()
}

#[rstest]
#[case::status("GET", "/v1/status")]
#[case::table("GET", "/v1/table")]
#[case::force("GET", "/v1/table/force?generation=1")]
#[case::history("GET", "/v1/table/history")]
#[case::explain("GET", "/v1/explain?request=farm")]
#[case::edits("POST", "/v1/table/edits")]
#[case::unknown("GET", "/v1/nothing")]
#[tokio::test]
async fn a_forged_token_is_refused_by_every_call(#[case] method: &str, #[case] path: &str) {
    let site = Site::start(1).await;
    let longer = format!("{TOKEN}!");
    for token in ["", "forged", &TOKEN[1..], &longer] {
        let answer = http::send_as_operator(&site.daemon, method, path, token, &edit("ana")).await;
        assert_eq!(answer.status, 401, "{token}: {answer:?}");
    }
    let answer = http::send_as_operator(&site.daemon, "GET", "/v1/table", TOKEN, "").await;
    assert_eq!(answer.json()["generation"], 1, "{answer:?}");
}

#[rstest]
#[tokio::test]
async fn an_edit_in_the_name_of_another_operator_is_refused() {
    let site = Site::start(1).await;
    let path = "/v1/table/edits";
    let answer = http::send_as_operator(&site.daemon, "POST", path, TOKEN, &edit("marko")).await;
    assert_eq!(answer.status, 403, "{answer:?}");
    let answer = http::send_as_operator(&site.daemon, "POST", path, TOKEN, &edit("ana")).await;
    assert_eq!(answer.json()["result"], "accepted", "{answer:?}");
    let answer = http::send_as_operator(&site.daemon, "POST", path, TOKEN, &edit("ana")).await;
    assert_eq!(answer.json()["result"], "repeated", "{answer:?}");
    let answer = http::send_as_operator(&site.daemon, "GET", "/v1/table/history", TOKEN, "").await;
    assert_eq!(answer.json()["edits"][0]["id"], "edit-2", "{answer:?}");
}

#[rstest]
#[tokio::test]
async fn explain_returns_the_decisions_of_a_request() {
    let site = Site::start(1).await;
    site.assert_serves().await;
    let answer =
        http::send_as_operator(&site.daemon, "GET", "/v1/explain?request=farm-7", TOKEN, "").await;
    let steps: Vec<String> = answer.json()["lines"]
        .as_array()
        .unwrap()
        .iter()
        .map(|line| line["step"].as_str().unwrap().to_owned())
        .collect();
    assert!(steps.iter().any(|step| step == "place"), "{answer:?}");
    assert!(steps.iter().any(|step| step == "end"), "{answer:?}");
}

#[rstest]
#[tokio::test]
async fn metrics_show_requests_and_targets() {
    let site = Site::start(1).await;
    site.assert_serves().await;
    let text = http::get(site.daemon.admin, "/metrics").await.body;
    for line in [
        "waxwing_requests_total{outcome=\"answered\"} 1",
        "waxwing_table_generation 1",
        "waxwing_first_token_seconds_count 1",
        "waxwing_token_gap_seconds_count 1",
        "waxwing_frames_rejected_total",
    ] {
        assert!(text.contains(line), "no {line} in {text}");
    }
}
