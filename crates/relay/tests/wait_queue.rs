//! Order of waiting generations.

use customer::rank::Rank;
use relay::wait_queue::WaitQueue;

#[test]
fn the_first_to_join_is_first_until_it_leaves() {
    let mut queue = WaitQueue::new();
    let tickets: Vec<_> = (0..3)
        .map(|_| queue.join("llm", Rank::new(1), false))
        .collect();
    assert!(queue.is_first("llm", tickets[0]));
    assert!(!queue.is_first("llm", tickets[1]));
    queue.leave("llm", tickets[0]);
    assert!(queue.is_first("llm", tickets[1]));
}

#[test]
fn leaving_from_the_middle_does_not_block_others() {
    let mut queue = WaitQueue::new();
    let tickets: Vec<_> = (0..3)
        .map(|_| queue.join("llm", Rank::new(1), false))
        .collect();
    queue.leave("llm", tickets[1]);
    queue.leave("llm", tickets[0]);
    assert!(queue.is_first("llm", tickets[2]));
}

#[test]
fn services_have_separate_queues() {
    let mut queue = WaitQueue::new();
    queue.join("llm", Rank::new(1), false);
    let other = queue.join("other", Rank::new(1), false);
    assert!(queue.is_first("other", other));
    assert!(!queue.is_first("third", other));
}

#[test]
fn late_generations_go_last() {
    let mut queue = WaitQueue::new();
    let late = queue.join("llm", Rank::new(1), true);
    let timely = queue.join("llm", Rank::new(1), false);
    assert!(queue.is_first("llm", timely));
    assert!(!queue.is_first("llm", late));
    queue.leave("llm", timely);
    assert!(queue.is_first("llm", late));
}

#[test]
fn more_urgent_generations_go_first() {
    let mut queue = WaitQueue::new();
    let usual = queue.join("llm", Rank::new(1), false);
    let urgent_and_late = queue.join("llm", Rank::new(0), true);
    assert!(queue.is_first("llm", urgent_and_late));
    assert!(!queue.is_first("llm", usual));
    let urgent = queue.join("llm", Rank::new(0), false);
    assert!(queue.is_first("llm", urgent));
}

/// Guards against losing the place of a generation that no replica could serve for a time.
#[test]
fn a_generation_returns_to_its_place() {
    let mut queue = WaitQueue::new();
    let first = queue.join("llm", Rank::new(1), false);
    let second = queue.join("llm", Rank::new(1), false);
    queue.leave("llm", first);
    assert!(queue.is_first("llm", second));
    queue.rejoin("llm", first);
    assert!(queue.is_first("llm", first));
}
