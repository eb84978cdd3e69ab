//! Holds on replicas are kept until their release is confirmed.

use std::time::Duration;

use ident::Handle;
use ident::Incarnation;
use ident::Replica;
use ident::Time;
use ledger::holds::HoldKey;
use ledger::holds::Holds;
use ledger::ids::OrderId;
use proptest::collection::vec;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

const ME: Incarnation = Incarnation(0x91c5);
const ENGINE: Replica = Replica(1);
const OTHER: Replica = Replica(2);
const START: OrderId = OrderId(1);
const CANCEL: OrderId = OrderId(2);
const NOW: Time = Time::from_millis(1_000);

const fn handle(sequence: u64) -> Handle {
    Handle::new(ME, sequence)
}

fn one_hold() -> (Holds, HoldKey) {
    let mut holds = Holds::new();
    let key = holds.insert(ENGINE, handle(1), ME, 5, START);
    (holds, key)
}

#[test]
fn a_cancel_waits_until_the_starting_order_has_ended() {
    let (mut holds, key) = one_hold();
    assert_eq!(holds.release(NOW, key), Some(START));
    assert!(holds.due(NOW).is_none());
    assert_eq!(holds.next_due(), Time::NEVER);
    holds.start_ended(START);
    let cancel = holds.due(NOW).expect("the start is over");
    assert_eq!(
        (cancel.hold, cancel.replica, cancel.handle),
        (key, ENGINE, handle(1))
    );
    assert_eq!((cancel.owner, cancel.fence), (ME, 5));
}

#[test]
fn a_failed_release_is_repeated_after_growing_pauses() {
    let (mut holds, key) = one_hold();
    holds.start_ended(START);
    assert_eq!(holds.release(NOW, key), None);
    let mut now = NOW;
    let mut former = Duration::ZERO;
    for number in 2..12 {
        let order = OrderId(number);
        assert!(holds.due(now).is_some());
        holds.sent(key, order);
        assert!(holds.due(now + Duration::from_hours(1)).is_none());
        holds.failed(now, order);
        let pause = holds.next_due().since(now);
        assert!(pause >= former && pause > Duration::ZERO);
        assert!(holds.due(now).is_none());
        former = pause;
        now = holds.next_due();
        assert_eq!(holds.len(), 1);
    }
    assert!(former <= Duration::from_secs(2));
    holds.sent(key, OrderId(20));
    assert!(holds.confirmed(OrderId(20)).is_some());
    assert!(holds.is_empty());
}

#[test]
fn answers_to_earlier_cancels_are_ignored() {
    let (mut holds, key) = one_hold();
    holds.start_ended(START);
    holds.release(NOW, key);
    holds.sent(key, CANCEL);
    holds.failed(NOW, CANCEL);
    assert!(holds.confirmed(CANCEL).is_none());
    assert_eq!(holds.len(), 1);
    assert!(holds.due(holds.next_due()).is_some());
}

#[test]
fn a_stream_read_by_a_later_order_is_released_under_that_owner_and_fence() {
    let (mut holds, key) = one_hold();
    let (attach, fresh) = (OrderId(7), Incarnation(0xa5));
    holds.restart(key, attach, fresh, 6);
    // The release no longer waits for the earlier order.
    holds.start_ended(START);
    assert_eq!(holds.release(NOW, key), Some(attach));
    assert!(holds.due(NOW).is_none());
    holds.start_ended(attach);
    let cancel = holds.due(NOW).expect("the reader is gone");
    assert_eq!((cancel.owner, cancel.fence), (fresh, 6));
}

#[test]
fn memory_of_a_replica_that_is_gone_needs_no_release() {
    let (mut holds, key) = one_hold();
    holds.start_ended(START);
    holds.release(NOW, key);
    holds.sent(key, CANCEL);
    let kept = holds.insert(OTHER, handle(2), ME, 5, OrderId(3));
    holds.erase_replica(ENGINE);
    assert!(holds.get(key).is_none() && holds.get(kept).is_some());
    assert!(holds.confirmed(CANCEL).is_none());
    assert!(holds.contains(OTHER, handle(2)) && !holds.contains(ENGINE, handle(1)));
}

#[test]
fn memory_taken_over_by_another_owner_is_not_released() {
    let (mut holds, key) = one_hold();
    holds.start_ended(START);
    holds.release(NOW, key);
    holds.sent(key, CANCEL);
    holds.superseded(CANCEL);
    assert!(holds.is_empty());
    assert_eq!(holds.next_due(), Time::NEVER);
}

#[test]
fn orphaned_memory_is_released_for_its_owner() {
    let mut holds = Holds::new();
    let gone = Incarnation(0xdead);
    holds.insert_orphan(NOW, ENGINE, handle(9), gone, 40);
    let cancel = holds.due(NOW).expect("nothing to wait for");
    assert_eq!((cancel.owner, cancel.fence), (gone, 40));
}

/// An event of one of several holds.
#[derive(Debug, Clone, Copy)]
enum Step {
    Close,
    Release,
    Send,
    Fail,
    Confirm,
    Restart,
}

const STEPS: [Step; 6] = [
    Step::Close,
    Step::Release,
    Step::Send,
    Step::Fail,
    Step::Confirm,
    Step::Restart,
];

/// Expected state of a hold.
#[derive(Debug)]
struct Model {
    key: HoldKey,
    start: OrderId,
    cancel: Option<OrderId>,
}

proptest! {
    /// After any sequence of events, every released hold is erased once its start has ended and a
    /// cancel is confirmed, and never before.
    #[test]
    fn every_hold_ends_with_a_confirmed_cancel(steps in vec((0..STEPS.len(), 0..4_usize), 0..120)) {
        let mut holds = Holds::new();
        let mut next = 0;
        let mut order = move || {
            next += 1;
            OrderId(next)
        };
        let mut models: Vec<Model> = (0..4)
            .map(|number| {
                let start = order();
                let key = holds.insert(ENGINE, handle(number), ME, 1, start);
                Model { key, start, cancel: None }
            })
            .collect();
        let mut now = NOW;
        let mut confirmed = 0;
        for (step, index) in steps {
            now = now + Duration::from_millis(700);
            let model = &mut models[index];
            let alive = holds.get(model.key).is_some();
            match STEPS[step] {
                Step::Close => holds.start_ended(model.start),
                Step::Release => {
                    holds.release(now, model.key);
                }
                Step::Send => {
                    let due = holds.due(now).filter(|cancel| cancel.hold == model.key);
                    if due.is_some() {
                        let cancel = order();
                        holds.sent(model.key, cancel);
                        model.cancel = Some(cancel);
                    }
                }
                Step::Fail => {
                    if let Some(cancel) = model.cancel.take() {
                        holds.failed(now, cancel);
                    }
                }
                Step::Confirm => {
                    if let Some(cancel) = model.cancel.take() {
                        prop_assert!(holds.confirmed(cancel).is_some());
                        confirmed += 1;
                    }
                }
                Step::Restart if alive && model.cancel.is_none() => {
                    model.start = order();
                    holds.restart(model.key, model.start, ME, 2);
                }
                Step::Restart => (),
            }
            prop_assert_eq!(holds.len(), models.len() - confirmed);
        }
        for model in &models {
            holds.start_ended(model.start);
            holds.release(now, model.key);
            if let Some(cancel) = model.cancel {
                holds.failed(now, cancel);
            }
        }
        let late = now + Duration::from_hours(1);
        while let Some(cancel) = holds.due(late) {
            let sent = order();
            holds.sent(cancel.hold, sent);
            prop_assert!(holds.confirmed(sent).is_some());
        }
        prop_assert!(holds.is_empty());
    }
}
