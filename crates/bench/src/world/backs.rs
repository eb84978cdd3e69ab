//! Replicas, as the cores see them: they carry every order out after a fixed time.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use ident::Handle;
use ident::Incarnation;
use ident::Replica;
use ident::Time;
use node::action::Task;
use node::event::Event;
use node::event::HeldAttempt;
use node::event::Inspection;
use node::event::Piece;
use node::event::Reply;
use node::ids::OrderId;
use route::replica::Report;

use crate::world::list;
use crate::world::size::Size;

/// Time of a prefill.
const PREFILL: Duration = Duration::from_millis(60);
/// Time of a transfer.
const IMPORT: Duration = Duration::from_millis(10);
/// Time between two tokens.
const TOKEN: Duration = Duration::from_millis(5);
/// Time of an answer to a question.
pub(super) const ANSWER: Duration = Duration::from_millis(1);

/// All replicas.
#[derive(Debug)]
pub struct Backs {
    works: BTreeMap<Replica, BTreeMap<Handle, Work>>,
}

/// What a replica holds for an attempt, and when that is over.
#[derive(Debug, Clone, Copy)]
struct Work {
    held: HeldAttempt,
    end: Time,
}

impl Backs {
    /// The replicas of a world of `size`, all idle.
    pub(super) fn new(size: &Size) -> Self {
        let replicas = (0..size.replicas).map(|index| Replica::new(&list::replica_name(index)));
        Self {
            works: replicas.map(|replica| (replica, BTreeMap::new())).collect(),
        }
    }

    /// The state of `replica`.
    pub(super) fn inspect(&self, now: Time, replica: Replica) -> Inspection {
        let works = self.works.get(&replica).into_iter().flatten();
        let held = |work: &Work| HeldAttempt {
            done: now >= work.end,
            ..work.held
        };
        let works: Vec<HeldAttempt> = works.map(|(_, work)| held(work)).collect();
        let running = works.iter().filter(|held| !held.done).count() as u32;
        Inspection {
            report: Report {
                age: Duration::ZERO,
                boot: 1,
                running,
                waiting: 0,
                queued_tokens: 0,
                works: running,
                events: Vec::new(),
            },
            works,
        }
    }

    /// What follows from an order, and after what time each.
    pub(super) fn order(
        &mut self,
        now: Time,
        order: OrderId,
        replica: Replica,
        handle: Handle,
        owner: Incarnation,
        task: &Task,
    ) -> Vec<(Duration, Event)> {
        let answered = |reply| Event::Answered { order, reply };
        match task {
            Task::Prefill { prompt_tokens, .. } => {
                self.hold(replica, handle, owner, Time::NEVER);
                let reply = Reply::Prefilled {
                    computed: *prompt_tokens,
                    cached: 0,
                    boot: 1,
                };
                vec![(PREFILL, answered(reply))]
            }
            Task::Decode {
                source, max_tokens, ..
            } => {
                self.release(*source, handle);
                let end = now + IMPORT + TOKEN * *max_tokens;
                self.hold(replica, handle, owner, end);
                stream(order, *max_tokens)
            }
            Task::Cancel => {
                self.release(replica, handle);
                vec![(ANSWER, answered(Reply::Cancelled))]
            }
            Task::Attach { .. } | Task::Plain { .. } => {
                let reply = Reply::Plain {
                    status: 200,
                    body: Bytes::new(),
                };
                vec![(ANSWER, answered(reply))]
            }
        }
    }

    fn release(&mut self, replica: Replica, handle: Handle) {
        if let Some(works) = self.works.get_mut(&replica) {
            works.remove(&handle);
        }
    }

    fn hold(&mut self, replica: Replica, handle: Handle, owner: Incarnation, end: Time) {
        let held = HeldAttempt {
            handle,
            owner,
            fence: 1,
            done: false,
        };
        let work = Work { held, end };
        self.works.entry(replica).or_default().insert(handle, work);
    }
}

/// The pieces of a stream: its first token, the others at once at their end, and the end.
fn stream(order: OrderId, tokens: u32) -> Vec<(Duration, Event)> {
    let run = |offset, count| Piece::Tokens {
        offset,
        count,
        text: Bytes::from_static(b" w"),
    };
    let pieces = [
        (IMPORT, Piece::Imported),
        (IMPORT + TOKEN, run(0, 1)),
        (IMPORT + TOKEN * tokens, run(1, tokens - 1)),
        (IMPORT + TOKEN * tokens, Piece::End { offset: tokens }),
    ];
    let events = pieces.map(|(after, piece)| (after, Event::Streamed { order, piece }));
    let reply = Reply::StreamEnded;
    let end = (IMPORT + TOKEN * tokens, Event::Answered { order, reply });
    events.into_iter().chain([end]).collect()
}
