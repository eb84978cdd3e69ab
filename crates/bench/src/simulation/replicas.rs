//! Models the replicas, which carry out every order after a fixed time.

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

use crate::simulation::list;
use crate::simulation::size::Size;

/// Duration of a prefill.
const PREFILL_TIME: Duration = Duration::from_millis(60);
/// Duration of a KV cache transfer.
const IMPORT_TIME: Duration = Duration::from_millis(10);
/// Time between two tokens.
const TOKEN_TIME: Duration = Duration::from_millis(5);
/// Duration of a control call, such as an inspection.
pub(super) const CONTROL_TIME: Duration = Duration::from_millis(1);

/// All replicas and the attempts that they hold.
#[derive(Debug)]
pub struct Replicas {
    works: BTreeMap<Replica, BTreeMap<Handle, Attempt>>,
}

/// An attempt at a replica, and when it is done.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    held: HeldAttempt,
    end: Time,
}

impl Replicas {
    /// The replicas of a simulation of `size`, all idle.
    pub(super) fn new(size: &Size) -> Self {
        let replicas = (0..size.replicas).map(|index| Replica::new(&list::replica_name(index)));
        Self {
            works: replicas.map(|replica| (replica, BTreeMap::new())).collect(),
        }
    }

    /// The state of `replica`.
    pub(super) fn inspect(&self, now: Time, replica: Replica) -> Inspection {
        let works = self.works.get(&replica).into_iter().flatten();
        let held = |attempt: &Attempt| HeldAttempt {
            done: now >= attempt.end,
            ..attempt.held
        };
        let works: Vec<HeldAttempt> = works.map(|(_, attempt)| held(attempt)).collect();
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

    /// Carries out an order; returns the resulting events with their delays.
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
                self.insert(replica, handle, owner, Time::NEVER);
                let reply = Reply::Prefilled {
                    computed: *prompt_tokens,
                    cached: 0,
                    boot: 1,
                };
                vec![(PREFILL_TIME, answered(reply))]
            }
            Task::Decode {
                source, max_tokens, ..
            } => {
                self.remove(*source, handle);
                let end = now + IMPORT_TIME + TOKEN_TIME * *max_tokens;
                self.insert(replica, handle, owner, end);
                stream(order, *max_tokens)
            }
            Task::Cancel => {
                self.remove(replica, handle);
                vec![(CONTROL_TIME, answered(Reply::Cancelled))]
            }
            Task::Attach { .. } | Task::Plain { .. } => {
                let reply = Reply::Plain {
                    status: 200,
                    body: Bytes::new(),
                };
                vec![(CONTROL_TIME, answered(reply))]
            }
        }
    }

    fn remove(&mut self, replica: Replica, handle: Handle) {
        if let Some(works) = self.works.get_mut(&replica) {
            works.remove(&handle);
        }
    }

    fn insert(&mut self, replica: Replica, handle: Handle, owner: Incarnation, end: Time) {
        let held = HeldAttempt {
            handle,
            owner,
            fence: 1,
            done: false,
        };
        let attempt = Attempt { held, end };
        self.works
            .entry(replica)
            .or_default()
            .insert(handle, attempt);
    }
}

/// Events of a stream: the import, the first token, all other tokens when the last is due, and the end.
fn stream(order: OrderId, tokens: u32) -> Vec<(Duration, Event)> {
    let run = |offset, count| Piece::Tokens {
        offset,
        count,
        text: Bytes::from_static(b" w"),
    };
    let pieces = [
        (IMPORT_TIME, Piece::Imported),
        (IMPORT_TIME + TOKEN_TIME, run(0, 1)),
        (IMPORT_TIME + TOKEN_TIME * tokens, run(1, tokens - 1)),
        (
            IMPORT_TIME + TOKEN_TIME * tokens,
            Piece::End { offset: tokens },
        ),
    ];
    let events = pieces.map(|(after, piece)| (after, Event::Streamed { order, piece }));
    let reply = Reply::StreamEnded;
    let end = (
        IMPORT_TIME + TOKEN_TIME * tokens,
        Event::Answered { order, reply },
    );
    events.into_iter().chain([end]).collect()
}
