//! Who goes first among those that wait.

use relay::wait_queue::WaitQueue;

#[test]
fn the_first_come_is_first_until_it_leaves() {
    let mut line = WaitQueue::new();
    let tickets: Vec<_> = (0..3).map(|_| line.join("llm", 1, false)).collect();
    assert!(line.is_first("llm", tickets[0]));
    assert!(!line.is_first("llm", tickets[1]));
    line.leave("llm", tickets[0]);
    assert!(line.is_first("llm", tickets[1]));
}

#[test]
fn one_that_leaves_from_the_midst_holds_up_nobody() {
    let mut line = WaitQueue::new();
    let tickets: Vec<_> = (0..3).map(|_| line.join("llm", 1, false)).collect();
    line.leave("llm", tickets[1]);
    line.leave("llm", tickets[0]);
    assert!(line.is_first("llm", tickets[2]));
}

#[test]
fn services_have_lines_of_their_own() {
    let mut line = WaitQueue::new();
    line.join("llm", 1, false);
    let other = line.join("other", 1, false);
    assert!(line.is_first("other", other));
    assert!(!line.is_first("third", other));
}

#[test]
fn late_ones_go_after_those_that_are_not() {
    let mut line = WaitQueue::new();
    let late = line.join("llm", 1, true);
    let timely = line.join("llm", 1, false);
    assert!(line.is_first("llm", timely));
    assert!(!line.is_first("llm", late));
    line.leave("llm", timely);
    assert!(line.is_first("llm", late));
}

#[test]
fn the_more_urgent_go_first_whoever_came_before() {
    let mut line = WaitQueue::new();
    let usual = line.join("llm", 1, false);
    let urgent_and_late = line.join("llm", 0, true);
    assert!(line.is_first("llm", urgent_and_late));
    assert!(!line.is_first("llm", usual));
    let urgent = line.join("llm", 0, false);
    assert!(line.is_first("llm", urgent));
}
