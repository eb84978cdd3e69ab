//! Unit tests of the budget for the memory of requests and answers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gateway::body::Body;
use gateway::body::Part;
use gateway::memory::ALLOWANCE;
use gateway::memory::Budget;
use gateway::memory::Charge;
use gateway::memory::answer;
use gateway::memory::answer::Error;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

/// Bytes of the budget.
const LIMIT: usize = 1_000_000;
/// Largest answer.
const MAX_BYTES: usize = 900_000;
/// Time after which something has not happened.
const SHORT: Duration = Duration::from_millis(100);
/// Time within which something has to happen.
const LONG: Duration = Duration::from_secs(10);

fn budget() -> Rc<Budget> {
    Rc::new(Budget::new(LIMIT))
}

/// A body with a length.
fn whole(length: usize) -> Full<Bytes> {
    Full::new(Bytes::from(vec![b'x'; length]))
}

/// A body without a length that consists of `parts` of `length` bytes each, and ends if `ends` is set.
fn parts(length: usize, parts: usize, ends: bool) -> (mpsc::Sender<Part>, Body) {
    let (sender, receiver) = mpsc::channel(parts + 1);
    for _ in 0..parts {
        let part = Part::Data(Bytes::from(vec![b'x'; length]));
        sender.try_send(part).unwrap();
    }
    if ends {
        sender.try_send(Part::End).unwrap();
    }
    (sender, Body::parts(receiver))
}

#[test]
fn a_charge_grows_up_to_the_limit_and_is_freed() {
    let budget = budget();
    let (one, two) = (Charge::new(&budget), Charge::new(&budget));
    assert!(one.try_grow(600_000));
    assert!(!two.try_grow(400_001));
    assert!(two.try_grow(400_000));
    assert_eq!(budget.held(), LIMIT);
    one.shrink(100_000);
    assert_eq!((one.bytes(), budget.held()), (500_000, 900_000));
    drop((one, two));
    assert_eq!(budget.held(), 0);
}

#[test]
fn large_bodies_leave_a_part_to_other_requests() {
    let budget = budget();
    let body = Charge::new(&budget);
    let mut length = 0;
    while body.try_grow_to_body(length) {
        length += 10_000;
    }
    assert!(body.bytes() <= budget.limit_for_bodies());
    assert!(Charge::new(&budget).try_grow(ALLOWANCE));
}

#[tokio::test]
async fn a_small_answer_needs_no_room() {
    let budget = budget();
    let all = Charge::new(&budget);
    assert!(all.try_grow(LIMIT));
    let answer = answer::read(&budget, whole(ALLOWANCE), MAX_BYTES)
        .await
        .unwrap();
    assert_eq!((answer.bytes.len(), answer.charge.bytes()), (ALLOWANCE, 0));
}

#[tokio::test]
async fn an_answer_with_a_length_waits_for_room_and_passes_whole() {
    let budget = budget();
    let sent = Charge::new(&budget);
    assert!(sent.try_grow(500_000));
    let read = answer::read(&budget, whole(800_000), MAX_BYTES);
    let mut read = Box::pin(read);
    assert!(timeout(SHORT, &mut read).await.is_err());
    drop(sent);
    let answer = timeout(LONG, read).await.unwrap().unwrap();
    assert_eq!(answer.bytes.len(), 800_000);
    assert!(budget.held() >= 800_000 - ALLOWANCE);
    drop(answer);
    assert_eq!(budget.held(), 0);
}

#[tokio::test]
async fn the_largest_answer_without_a_length_gives_way() {
    let budget = budget();
    let (_small_sender, small) = parts(50_000, 4, true);
    let (_large_sender, large) = parts(50_000, 17, false);
    let read_small = async {
        sleep(SHORT).await;
        answer::read(&budget, small, MAX_BYTES).await
    };
    let read_large = answer::read(&budget, large, MAX_BYTES);
    let (small, large) = timeout(LONG, async { tokio::join!(read_small, read_large) })
        .await
        .unwrap();
    assert_eq!(small.unwrap().bytes.len(), 200_000);
    assert!(matches!(large, Err(Error::OverBudget { .. })), "{large:?}");
    assert_eq!(budget.held(), 0);
}

#[tokio::test]
async fn an_answer_with_a_length_that_stalls_gives_way() {
    let budget = budget();
    let (sender, receiver) = mpsc::channel(2);
    let start = Part::Data(Bytes::from(vec![b'x'; 20_000]));
    sender.try_send(start).unwrap();
    let reading = answer::Reading::new(&budget, Some(800_000), MAX_BYTES);
    let read_stalled = async move {
        let (mut stalled, mut body) = (reading, Body::parts(receiver));
        while let Some(frame) = stalled.wait_for(body.frame()).await? {
            stalled.push(&frame.unwrap().into_data().unwrap()).await?;
        }
        Ok::<_, Error>(())
    };
    let read_other = async {
        sleep(SHORT).await;
        answer::read(&budget, whole(700_000), MAX_BYTES).await
    };
    let both = async { tokio::join!(read_stalled, read_other) };
    let (ended, other) = timeout(LONG, both).await.unwrap();
    assert!(matches!(ended, Err(Error::OverBudget { .. })), "{ended:?}");
    assert_eq!(other.unwrap().bytes.len(), 700_000);
    drop(sender);
}

#[tokio::test]
async fn an_answer_that_states_too_many_bytes_is_not_read() {
    let budget = budget();
    let read = answer::read(&budget, whole(MAX_BYTES + 1), MAX_BYTES).await;
    assert!(matches!(read, Err(Error::TooLong { limit: MAX_BYTES })));
}

#[tokio::test]
async fn a_queue_holds_few_bytes_and_fewer_without_room() {
    let budget = budget();
    let (sender, mut body) = Body::queue(&budget);
    let send = async { while sender.send(Bytes::from(vec![b'x'; 10_000])).await {} };
    assert!(timeout(SHORT, send).await.is_err());
    let with_room = budget.held();
    assert!(with_room < 200_000, "{with_room}");
    while timeout(SHORT, body.frame()).await.is_ok() {}
    let all = Charge::new(&budget);
    assert!(all.try_grow(LIMIT - budget.held()));
    let send = async { while sender.send(Bytes::from(vec![b'x'; 10_000])).await {} };
    assert!(timeout(SHORT, send).await.is_err());
    // Small parts pass nevertheless.
    let without_room = budget.held() - all.bytes();
    assert!((1..50_000).contains(&without_room), "{without_room}");
    drop((sender, body, all));
    assert_eq!(budget.held(), 0);
}
