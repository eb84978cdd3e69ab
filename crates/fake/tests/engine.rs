//! Decodes and streams of the model engine stand-in.

mod common;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use engine::Client;
use engine::Error;
use engine::attach;
use engine::prefill;
use engine::stream::Event;
use engine::stream::Reason;
use fake::control;
use fake::engine::Role;
use fake::engine::Settings;
use fake::link;
use fake::link::Route;
use rstest::rstest;
use serde_json::json;

use common::ANY;
use common::claim;
use common::decode;
use common::expected_answer;
use common::prefill;
use common::read_to_end;
use common::settings;
use common::start;

#[rstest]
#[tokio::test]
async fn request_is_answered_in_full_and_releases_everything() {
    let (source, target) = (start(Role::Prefill).await, start(Role::Decode).await);
    let client = Client::new();
    let reply = client.prefill(source, &prefill(claim(1, 1))).await.unwrap();
    assert_eq!((reply.computed, reply.cached), (400, 0));
    let mut stream = client
        .decode(target, &decode(claim(1, 1), source, 0))
        .await
        .unwrap();
    let (tokens, end) = read_to_end(&mut stream, 0).await;
    assert_eq!(tokens, expected_answer());
    assert_eq!(
        end,
        Event::End {
            offset: expected_answer().len() as u32,
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
        generated: expected_answer()[..9].to_vec(),
        ..prefill(claim(2, 1))
    };
    client.prefill(source, &request).await.unwrap();
    let mut stream = client
        .decode(target, &decode(claim(2, 1), source, 9))
        .await
        .unwrap();
    let (tokens, _) = read_to_end(&mut stream, 9).await;
    assert_eq!(tokens, expected_answer()[9..]);
}

#[rstest]
#[tokio::test]
async fn decode_continues_without_a_reader_and_a_new_reader_supersedes() {
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
    assert_eq!(read_to_end(&mut first, 0).await.1, Event::Superseded);
    assert!(first.next().await.is_none());
    drop(second.next().await);
    drop(second);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut third = client.attach(target, &request).await.unwrap();
    assert_eq!(read_to_end(&mut third, 3).await.0, expected_answer()[3..]);
}

#[rstest]
#[tokio::test]
async fn cancel_frees_the_slot_and_blocks_the_handle() {
    let (source, target) = (start(Role::Prefill).await, start(Role::Decode).await);
    let client = Client::new();
    client.prefill(source, &prefill(claim(6, 1))).await.unwrap();
    let mut stream = client
        .decode(target, &decode(claim(6, 1), source, 0))
        .await
        .unwrap();
    stream.next().await.unwrap().unwrap();
    assert!(client.cancel(target, &claim(6, 1)).await.unwrap().released);
    let (_, end) = read_to_end(&mut stream, 0).await;
    assert!(matches!(
        end,
        Event::End {
            reason: Reason::Cancelled,
            ..
        }
    ));
    assert_eq!(control::record(target).await.unwrap()["held"], json!([]));

    assert!(!client.cancel(source, &claim(7, 1)).await.unwrap().released);
    let blocked = client.prefill(source, &prefill(claim(7, 1))).await;
    assert!(
        matches!(blocked, Err(Error::Refused { status: 409, .. })),
        "{blocked:?}"
    );
}

#[rstest]
#[tokio::test]
async fn time_between_tokens_grows_with_the_batch() {
    const BATCH: u64 = 20;
    let each = Duration::from_millis(1);
    let settings = Settings {
        decode_each: each,
        ..settings(Role::Decode)
    };
    let target = fake::engine::start(settings, ANY).await.unwrap();
    let source = start(Role::Prefill).await;
    let client = Client::new();
    let mut spans = Vec::new();
    for sequences in [100..101, 101..101 + BATCH] {
        let mut streams = Vec::new();
        for sequence in sequences {
            client
                .prefill(source, &prefill(claim(sequence, 1)))
                .await
                .unwrap();
            let request = decode(claim(sequence, 1), source, 0);
            streams.push(client.decode(target, &request).await.unwrap());
        }
        let last = streams.last_mut().unwrap();
        assert_eq!(last.next().await.unwrap().unwrap(), Event::Imported);
        let begin = Instant::now();
        read_to_end(last, 0).await;
        spans.push(begin.elapsed());
    }
    assert!(spans[1] > spans[0] * 2, "{spans:?}");
}

#[rstest]
#[tokio::test]
async fn decode_can_be_read_after_its_caller_timed_out() {
    let (source, target) = (start(Role::Prefill).await, start(Role::Decode).await);
    let routes = [Route {
        port: 0,
        target: source,
    }];
    let link = link::start(&routes, ANY).await.unwrap();
    let record = control::record(link).await.unwrap();
    let port = record["routes"][0]["port"].as_u64().unwrap() as u16;
    let set_mode = |mode: &str| {
        let body = json!({ "port": port, "mode": mode });
        async move { control::post(link, "/control/link", &body).await.unwrap() }
    };
    let client = Client::new().with_work_timeout(Duration::from_millis(150));
    client
        .prefill(source, &prefill(claim(40, 1)))
        .await
        .unwrap();
    set_mode("hang").await;
    let link_address = SocketAddr::new(link.ip(), port);
    let lost = client
        .decode(target, &decode(claim(40, 1), link_address, 0))
        .await;
    assert!(matches!(lost, Err(Error::Lost { .. })), "{lost:?}");
    set_mode("pass").await;
    let request = attach::Request {
        claim: claim(40, 2),
        offset: 0,
    };
    let mut stream = client.attach(target, &request).await.unwrap();
    assert_eq!(read_to_end(&mut stream, 0).await.0, expected_answer());
}
