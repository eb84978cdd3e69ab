//! Reads the state of a replica.

use std::net::SocketAddr;
use std::time::Duration;

use engine::Client;
use engine::state;
use engine::state::Phase;
use engine::state::State;
use engine::state::Work;
use node::event::HeldAttempt;
use node::event::Inspection;
use route::replica::CacheEvent;
use route::replica::Report;

/// Reads the state of the replica at `address`; `None` if it does not answer in time.
pub(super) async fn inspect(
    client: &Client,
    address: SocketAddr,
    after: u64,
) -> Option<Inspection> {
    let state = client.state(address, after).await.ok()?;
    let works: Vec<HeldAttempt> = state.works.iter().map(held).collect();
    Some(Inspection {
        report: report(state, &works),
        works,
    })
}

fn report(state: State, works: &[HeldAttempt]) -> Report {
    Report {
        // Replicas do not report the age of their load figures.
        age: Duration::ZERO,
        boot: state.boot,
        running: state.running,
        waiting: state.waiting,
        queued_tokens: u64::from(state.queued_tokens),
        works: works.iter().filter(|held| !held.done).count() as u32,
        events: state.events.into_iter().map(cache_event).collect(),
    }
}

const fn cache_event(event: state::Event) -> CacheEvent {
    CacheEvent {
        seq: event.seq,
        block: event.block,
        stored: event.stored,
    }
}

fn held(work: &Work) -> HeldAttempt {
    HeldAttempt {
        handle: work.handle,
        owner: work.owner,
        fence: work.fence,
        done: work.phase == Phase::Done,
    }
}
