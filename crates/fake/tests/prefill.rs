//! Prefills, exports and orders of the model engine stand-in.

mod common;

use std::time::Duration;
use std::time::Instant;

use engine::Client;
use engine::Error;
use engine::order;
use engine::prefill;
use engine::state;
use fake::control;
use fake::engine::Role;
use fake::engine::Settings;
use rstest::rstest;
use serde_json::json;

use common::ANY;
use common::claim;
use common::decode;
use common::prefill;
use common::settings;
use common::start;

#[rstest]
#[tokio::test]
async fn result_expires_and_its_cached_blocks_shorten_the_next_prefill() {
    let (source, target) = (start(Role::Prefill).await, start(Role::Decode).await);
    let client = Client::new();
    client.prefill(source, &prefill(claim(3, 1))).await.unwrap();
    tokio::time::sleep(Duration::from_millis(900)).await;
    let gone = client.decode(target, &decode(claim(3, 1), source, 0)).await;
    assert!(
        matches!(gone, Err(Error::Refused { status: 410, .. })),
        "{gone:?}"
    );
    let record = control::record(source).await.unwrap();
    assert_eq!(
        (&record["prefills_wasted"], &record["held"]),
        (&json!(1), &json!([]))
    );
    assert_eq!(control::record(target).await.unwrap()["held"], json!([]));

    let again = client.prefill(source, &prefill(claim(4, 1))).await.unwrap();
    assert_eq!((again.computed, again.cached), (0, 400));
    let state = client.state(source, 0).await.unwrap();
    assert_eq!((state.events.len(), state.last_seq), (10, 10));
    assert_eq!(state.works[0].phase, state::Phase::Kept);
}

#[rstest]
#[case::enforced(true)]
#[case::ignored(false)]
#[tokio::test]
async fn lower_fence_is_refused_only_if_fences_are_enforced(#[case] fences: bool) {
    let settings = Settings {
        fences,
        ..settings(Role::Prefill)
    };
    let peer = fake::engine::start(settings, ANY).await.unwrap();
    let client = Client::new();
    client.prefill(peer, &prefill(claim(8, 5))).await.unwrap();
    let stale = client.cancel(peer, &claim(8, 4)).await;
    let order = |fence| order::Request {
        fence,
        ..order::Request::default()
    };
    client.order(peer, &order(9)).await.unwrap();
    let old = client.order(peer, &order(8)).await;
    if fences {
        assert_eq!(engine::error::fence(&stale.unwrap_err()), Some(5));
        assert_eq!(engine::error::fence(&old.unwrap_err()), Some(9));
    } else {
        assert!(stale.unwrap().released);
        old.unwrap();
    }
}

#[rstest]
#[tokio::test]
async fn full_engine_refuses_and_role_can_be_changed() {
    let (source, target) = (start(Role::Prefill).await, start(Role::Decode).await);
    let client = Client::new();
    let role = Some(state::Role::Decode);
    let wrong = client.prefill(target, &prefill(claim(9, 1))).await;
    assert!(
        matches!(wrong, Err(Error::Refused { status: 421, .. })),
        "{wrong:?}"
    );
    let small = Settings {
        slots: 1,
        ..settings(Role::Prefill)
    };
    let small = fake::engine::start(small, ANY).await.unwrap();
    let request = order::Request {
        fence: 1,
        role,
        ..order::Request::default()
    };
    assert_eq!(
        client.order(small, &request).await.unwrap().role,
        state::Role::Decode
    );
    for sequence in [10, 11] {
        client
            .prefill(source, &prefill(claim(sequence, 1)))
            .await
            .unwrap();
    }
    let _held = client
        .decode(small, &decode(claim(10, 1), source, 0))
        .await
        .unwrap();
    let full = client.decode(small, &decode(claim(11, 1), source, 0)).await;
    assert!(
        matches!(full, Err(Error::Refused { status: 429, .. })),
        "{full:?}"
    );
}

#[rstest]
#[tokio::test]
async fn stalled_transfer_holds_its_slot_until_cancelled() {
    let (source, target) = (start(Role::Prefill).await, start(Role::Decode).await);
    let client = Client::new();
    let stall = json!({ "mode": "stall_transfer" });
    control::post(source, "/control/fault", &stall)
        .await
        .unwrap();
    client
        .prefill(source, &prefill(claim(12, 1)))
        .await
        .unwrap();
    let _stream = client
        .decode(target, &decode(claim(12, 1), source, 0))
        .await
        .unwrap();
    let state = client.state(target, 0).await.unwrap();
    assert_eq!(state.works[0].phase, state::Phase::Import);
    client.cancel(target, &claim(12, 1)).await.unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    for peer in [source, target] {
        assert_eq!(control::record(peer).await.unwrap()["held"], json!([]));
    }
}

#[rstest]
#[tokio::test]
async fn prefills_run_one_at_a_time_by_priority_and_load_report_lags() {
    let slow = Settings {
        prefill_fixed: Duration::from_millis(100),
        ..settings(Role::Prefill)
    };
    let peer = fake::engine::start(slow, ANY).await.unwrap();
    let client = Client::new();
    let begin = Instant::now();
    let run = |sequence, priority, wait| {
        let client = client.clone();
        let request = prefill::Request {
            priority,
            blocks: vec![],
            ..prefill(claim(sequence, 1))
        };
        async move {
            tokio::time::sleep(Duration::from_millis(wait)).await;
            client.prefill(peer, &request).await.unwrap();
            begin.elapsed()
        }
    };
    let report = async {
        tokio::time::sleep(Duration::from_millis(60)).await;
        let early = client.state(peer, 0).await.unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        (early, client.state(peer, 0).await.unwrap())
    };
    let (first, low, high, (early, late)) =
        tokio::join!(run(20, 0, 0), run(21, 9, 20), run(22, 1, 40), report);
    assert!(first < high && high < low, "{first:?} {high:?} {low:?}");
    assert!(low >= Duration::from_millis(300), "{low:?}");
    assert_eq!((early.running, early.waiting, early.works.len()), (0, 0, 3));
    assert_eq!(
        (late.running, late.waiting, late.queued_tokens),
        (1, 2, 1_200)
    );
}

#[rstest]
#[tokio::test]
async fn transfers_share_the_link_and_unconfirmed_ones_count_as_wasted() {
    let slow = Settings {
        link_rate: 400.0 * 130_000.0 / 0.2,
        ..settings(Role::Prefill)
    };
    let source = fake::engine::start(slow, ANY).await.unwrap();
    let client = Client::new();
    for sequence in [30, 31] {
        client
            .prefill(source, &prefill(claim(sequence, 1)))
            .await
            .unwrap();
    }
    let begin = Instant::now();
    let pull = |sequence| {
        let path = format!("/v1/kv/{}", claim(sequence, 1).handle);
        let request = engine::call::Request::new(http::Method::GET, &path);
        client.call(source, request)
    };
    let (first, second) = tokio::join!(pull(30), pull(31));
    assert_eq!((first.unwrap().status, second.unwrap().status), (200, 200));
    assert!(
        begin.elapsed() >= Duration::from_millis(380),
        "{:?}",
        begin.elapsed()
    );
    tokio::time::sleep(Duration::from_millis(900)).await;
    let record = control::record(source).await.unwrap();
    assert_eq!(
        (&record["prefills_wasted"], &record["held"]),
        (&json!(2), &json!([]))
    );
}
