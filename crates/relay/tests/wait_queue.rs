//! Order of waiting generations.

use customer::rank::Rank;
use relay::wait_queue::Ticket;
use relay::wait_queue::WaitQueue;
use rstest::rstest;

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

#[test]
fn a_resumed_stream_goes_before_new_generations_that_were_all_served() {
    let mut queue = WaitQueue::new();
    let new = queue.join("llm", Rank::new(1), false);
    let resumed = queue.join_resumed("llm", Rank::new(1), "v1");
    let returned = queue.join("llm", Rank::new(1), true);
    assert!(queue.is_first("llm", resumed));
    assert!(!queue.is_first("llm", new));
    queue.leave("llm", resumed);
    assert!(queue.is_first("llm", new));
    queue.leave("llm", new);
    assert!(queue.is_first("llm", returned));
}

#[test]
fn more_urgent_generations_go_before_resumed_streams() {
    let mut queue = WaitQueue::new();
    let resumed = queue.join_resumed("llm", Rank::new(1), "v1");
    let urgent = queue.join("llm", Rank::new(0), false);
    assert!(queue.is_first("llm", urgent));
    assert_eq!(queue.reserved("llm", resumed), None);
}

/// Guards against holding up generations that other versions can serve, while streams wait for a version
/// without room.
#[test]
fn resumed_streams_reserve_only_their_own_version() {
    let mut queue = WaitQueue::new();
    let resumed = queue.join_resumed("llm", Rank::new(1), "v1");
    let second = queue.join_resumed("llm", Rank::new(1), "v1");
    let other = queue.join_resumed("llm", Rank::new(1), "v2");
    let new = queue.join("llm", Rank::new(1), false);
    let less_urgent = queue.join("llm", Rank::new(2), false);
    assert!(queue.is_first("llm", resumed));
    assert!(queue.is_first("llm", other));
    assert_eq!(queue.reserved("llm", second), None);
    let versions = ["v1", "v2"].map(str::to_owned).to_vec();
    assert_eq!(queue.reserved("llm", new), Some(versions.clone()));
    assert_eq!(queue.reserved("llm", less_urgent), None);
    queue.leave("llm", new);
    assert_eq!(queue.reserved("llm", less_urgent), Some(versions));
    queue.leave("llm", resumed);
    assert!(queue.is_first("llm", second));
}

/// Guards against counting streams that no replica could serve as refused.
#[test]
fn a_stream_that_left_for_a_time_does_not_count() {
    let mut queue = WaitQueue::new();
    let rank = Rank::new(1);
    let unservable: Vec<_> = (0..50)
        .map(|_| queue.join_resumed("llm", rank, "v1"))
        .collect();
    for ticket in unservable {
        queue.leave("llm", ticket);
    }
    for _ in 0..3 {
        let ticket = queue.join_resumed("llm", rank, "v1");
        queue.leave("llm", ticket);
        queue.record_end("llm", ticket, true);
    }
    for _ in 0..200 {
        let ticket = queue.join("llm", rank, false);
        queue.leave("llm", ticket);
        queue.record_end("llm", ticket, false);
    }
    // All streams went on, and most new generations did not begin.
    let resumed = queue.join_resumed("llm", rank, "v1");
    let new = queue.join("llm", rank, false);
    assert!(queue.is_first("llm", new));
    assert_eq!(queue.reserved("llm", resumed), None);
    queue.leave("llm", new);
    assert!(queue.is_first("llm", resumed));
}

/// How long a new generation and a resumed stream wait, in ms.
const NEW_WAIT_MS: u64 = 200;
const RESUMED_WAIT_MS: u64 = 2_160;

/// A load of one service with one version, in virtual time.
struct Load {
    /// Times between new generations and between slots that become free.
    new_every_ms: u64,
    slot_every_ms: u64,
    /// When callers resume streams, and how many.
    resumed: &'static [(u64, usize)],
}

/// Generations of one class.
#[derive(Debug, Default)]
struct Outcomes {
    joined: usize,
    served: usize,
}

impl Outcomes {
    fn share(&self) -> f64 {
        self.served as f64 / self.joined.max(1) as f64
    }
}

/// A generation in the queue.
struct Waiting {
    ticket: Ticket,
    until_ms: u64,
    is_resumed: bool,
}

impl Load {
    /// Plays 20 s, and returns the outcomes of new and of resumed generations.
    fn play(&self) -> (Outcomes, Outcomes) {
        let mut queue = WaitQueue::new();
        let mut waiting: Vec<Waiting> = Vec::new();
        let (mut new, mut resumed) = (Outcomes::default(), Outcomes::default());
        for now in 0..20_000 {
            let late = waiting.extract_if(.., |entry| entry.until_ms <= now);
            for entry in late {
                queue.leave("llm", entry.ticket);
                queue.record_end("llm", entry.ticket, false);
            }
            if now % self.new_every_ms == 0 {
                new.joined += 1;
                waiting.push(Waiting {
                    ticket: queue.join("llm", Rank::new(1), false),
                    until_ms: now + NEW_WAIT_MS,
                    is_resumed: false,
                });
            }
            let returning = self.resumed.iter().filter(|(at, _)| *at == now);
            for _ in 0..returning.map(|(_, count)| count).sum() {
                resumed.joined += 1;
                waiting.push(Waiting {
                    ticket: queue.join_resumed("llm", Rank::new(1), "v1"),
                    until_ms: now + RESUMED_WAIT_MS,
                    is_resumed: true,
                });
            }
            if now % self.slot_every_ms != 0 {
                continue;
            }
            let first = |entry: &Waiting| queue.is_first("llm", entry.ticket);
            if let Some(place) = waiting.iter().position(first) {
                let entry = waiting.swap_remove(place);
                queue.leave("llm", entry.ticket);
                queue.record_end("llm", entry.ticket, true);
                let outcomes = if entry.is_resumed {
                    &mut resumed
                } else {
                    &mut new
                };
                outcomes.served += 1;
            }
        }
        (new, resumed)
    }
}

/// Guards against refusing most of the streams that many callers resume at once, while new ones begin.
#[rstest]
#[case::all_at_a_start(Load { new_every_ms: 50, slot_every_ms: 60, resumed: &[(0, 30)] })]
#[case::few(Load { new_every_ms: 50, slot_every_ms: 60, resumed: &[(5_000, 3), (9_000, 1)] })]
#[case::beside_overload(Load { new_every_ms: 20, slot_every_ms: 60, resumed: &[(0, 30), (8_000, 30)] })]
#[case::in_waves(Load { new_every_ms: 30, slot_every_ms: 45, resumed: &[(500, 9), (2_000, 9), (3_000, 40), (9_000, 9), (12_000, 9)] })]
#[case::hardly_any_slots(Load { new_every_ms: 50, slot_every_ms: 700, resumed: &[(0, 10), (10_000, 10)] })]
fn resumed_streams_are_served_at_least_as_often_as_new_ones(#[case] load: Load) {
    let (new, resumed) = load.play();
    assert!(resumed.share() >= new.share(), "{resumed:?}, {new:?}");
    assert!(resumed.served > 0 && new.served > 0, "{resumed:?}, {new:?}");
}

/// Guards against serving no new generation until all resumed streams have gone on.
#[test]
fn new_generations_begin_beside_more_resumed_streams_than_can_be_served() {
    let load = Load {
        new_every_ms: 20,
        slot_every_ms: 40,
        resumed: &[
            (4_000, 50),
            (6_000, 50),
            (8_000, 50),
            (10_000, 50),
            (12_000, 50),
        ],
    };
    let (new, resumed) = load.play();
    assert!(resumed.share() < 1.0, "{resumed:?}");
    assert!(resumed.share() >= new.share(), "{resumed:?}, {new:?}");
    assert!(new.share() > 0.5 * resumed.share(), "{new:?}, {resumed:?}");
}
