//! The stand-in for a model engine.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use engine::Claim;
use engine::Client;
use engine::Error;
use engine::Stream;
use engine::attach;
use engine::decode;
use engine::order;
use engine::prefill;
use engine::state;
use engine::stream::Event;
use engine::stream::Reason;
use fake::control;
use fake::engine::Role;
use fake::engine::Settings;
use fake::text;
use ident::Handle;
use ident::Incarnation;
use rstest::rstest;
use serde_json::json;

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const OWNER: Incarnation = Incarnation(7);
const PROMPT: &str = "reorder for the sow unit at Vinkovci";
const MAX_TOKENS: u32 = 40;

fn settings(role: Role) -> Settings {
    Settings {
        role,
        prefill_fixed: Duration::from_millis(5),
        decode_base: Duration::from_millis(2),
        decode_each: Duration::from_micros(100),
        event_gap: 0.0,
        event_lag: Duration::from_millis(50),
        ..Settings::default()
    }
}

async fn start(role: Role) -> SocketAddr {
    fake::engine::start(settings(role), ANY).await.unwrap()
}

fn claim(sequence: u64, fence: u64) -> Claim {
    Claim::new(Handle::new(OWNER, sequence), OWNER, fence)
}

fn prefill(claim: Claim) -> prefill::Request {
    prefill::Request {
        claim,
        prompt: PROMPT.to_owned(),
        generated: Vec::new(),
        prompt_tokens: 400,
        max_tokens: MAX_TOKENS,
        priority: 0,
        blocks: (1..=10).collect(),
    }
}

fn decode(claim: Claim, source: SocketAddr, offset: u32) -> decode::Request {
    decode::Request {
        claim,
        source,
        max_tokens: MAX_TOKENS,
        priority: 0,
        offset,
    }
}

/// Reads a stream to its end: its tokens, checked to be in order from `offset` on.
async fn read(stream: &mut Stream, offset: u32) -> (Vec<String>, Event) {
    let mut tokens = Vec::new();
    loop {
        match stream.next().await.unwrap().unwrap() {
            Event::Imported => {}
            Event::Tokens { offset: at, text } => {
                assert_eq!(at, offset + tokens.len() as u32);
                tokens.push(text);
            }
            last => return (tokens, last),
        }
    }
}

fn whole() -> Vec<String> {
    text::expected(PROMPT, MAX_TOKENS as usize)
}

#[rstest]
#[tokio::test]
async fn a_request_is_answered_in_full_and_leaves_nothing_held() {
    let (source, target) = (start(Role::Prefill).await, start(Role::Decode).await);
    let client = Client::new();
    let reply = client.prefill(source, &prefill(claim(1, 1))).await.unwrap();
    assert_eq!((reply.computed, reply.cached), (400, 0));
    let mut stream = client
        .decode(target, &decode(claim(1, 1), source, 0))
        .await
        .unwrap();
    let (tokens, end) = read(&mut stream, 0).await;
    assert_eq!(tokens, whole());
    assert_eq!(
        end,
        Event::End {
            offset: whole().len() as u32,
            reason: Reason::Stop
        }
    );
    for peer in [source, target] {
        let record = control::record(peer).await.unwrap();
        assert_eq!(
            (&record["held"], &record["prefills_wasted"]),
            (&json!([]), &json!(0))
        );
        assert_eq!(record["runs"], json!({ "0000000000000007-1": 1 }));
    }
}

#[rstest]
#[tokio::test]
async fn another_engine_continues_an_answer() {
    let (source, target) = (start(Role::Prefill).await, start(Role::Decode).await);
    let client = Client::new();
    let request = prefill::Request {
        generated: whole()[..9].to_vec(),
        ..prefill(claim(2, 1))
    };
    client.prefill(source, &request).await.unwrap();
    let mut stream = client
        .decode(target, &decode(claim(2, 1), source, 9))
        .await
        .unwrap();
    let (tokens, _) = read(&mut stream, 9).await;
    assert_eq!(tokens, whole()[9..]);
}

#[rstest]
#[tokio::test]
async fn a_result_is_wasted_after_its_time_and_shortens_the_next_prefill() {
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
#[tokio::test]
async fn a_decode_goes_on_without_a_reader_and_a_new_one_supersedes() {
    let (source, target) = (start(Role::Prefill).await, start(Role::Decode).await);
    let client = Client::new();
    client.prefill(source, &prefill(claim(5, 1))).await.unwrap();
    let mut first = client
        .decode(target, &decode(claim(5, 1), source, 0))
        .await
        .unwrap();
    assert_eq!(first.next().await.unwrap().unwrap(), Event::Imported);
    let request = attach::Request {
        claim: claim(5, 2),
        offset: 3,
    };
    let mut second = client.attach(target, &request).await.unwrap();
    assert_eq!(read(&mut first, 0).await.1, Event::Superseded);
    assert!(first.next().await.is_none());
    drop(second.next().await);
    drop(second);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut third = client.attach(target, &request).await.unwrap();
    assert_eq!(read(&mut third, 3).await.0, whole()[3..]);
}

#[rstest]
#[tokio::test]
async fn a_cancel_frees_the_slot_and_bars_the_handle() {
    let (source, target) = (start(Role::Prefill).await, start(Role::Decode).await);
    let client = Client::new();
    client.prefill(source, &prefill(claim(6, 1))).await.unwrap();
    let mut stream = client
        .decode(target, &decode(claim(6, 1), source, 0))
        .await
        .unwrap();
    stream.next().await.unwrap().unwrap();
    assert!(client.cancel(target, &claim(6, 1)).await.unwrap().released);
    let (_, end) = read(&mut stream, 0).await;
    assert!(matches!(
        end,
        Event::End {
            reason: Reason::Cancelled,
            ..
        }
    ));
    assert_eq!(control::record(target).await.unwrap()["held"], json!([]));

    assert!(!client.cancel(source, &claim(7, 1)).await.unwrap().released);
    let barred = client.prefill(source, &prefill(claim(7, 1))).await;
    assert!(
        matches!(barred, Err(Error::Refused { status: 409, .. })),
        "{barred:?}"
    );
}

#[rstest]
#[case::enforced(true)]
#[case::ignored(false)]
#[tokio::test]
async fn a_lower_fence_is_refused_only_by_an_engine_with_fences(#[case] fences: bool) {
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
        assert_eq!(stale.unwrap_err().fence(), Some(5));
        assert_eq!(old.unwrap_err().fence(), Some(9));
    } else {
        assert!(stale.unwrap().released);
        old.unwrap();
    }
}

#[rstest]
#[tokio::test]
async fn a_full_engine_refuses_and_a_role_can_be_changed() {
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
async fn a_stalled_transfer_holds_and_a_cancel_ends_it() {
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
async fn prefills_run_one_at_a_time_by_priority_and_load_lags() {
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
