//! Orders to replicas: model engines and plain applications.
//!
//! Each order runs in its own task and ends with exactly one `Event::Answered` or `Event::Failed`,
//! even if it is aborted. An order that is aborted before its task runs has sent nothing.

mod inspect;
mod prepare;
mod run;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use engine::Claim;
use engine::Client;
use ident::Handle;
use ident::Replica;
use ident::Time;
use node::action::Task;
use node::event::Event;
use node::event::Failure;
use node::ids::OrderId;
use tokio::sync::oneshot;

use crate::backends::prepare::PreparedOrder;
use crate::directory::Directory;
use crate::driver::content::ContentStore;
use crate::driver::inbox::Inbox;
use crate::metrics::Metrics;

/// Longest answer of a plain call, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Timeout for a cancel or an inspection.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// An order whose end has not reached the core yet.
#[derive(Debug)]
struct RunningOrder {
    handle: Handle,
    abort: Option<oneshot::Sender<()>>,
}

/// Runs the orders of the core.
#[derive(Debug)]
pub struct Backends {
    client: Client,
    directory: Arc<Directory>,
    inbox: Inbox,
    metrics: Arc<Metrics>,
    running: HashMap<OrderId, RunningOrder>,
}

impl Backends {
    /// Creates a runner that looks replicas up in `directory` and sends events to `inbox`.
    pub fn new(directory: Arc<Directory>, inbox: Inbox, metrics: Arc<Metrics>) -> Self {
        let client = Client::new()
            .with_control_timeout(CONTROL_TIMEOUT)
            .with_body_limit(MAX_ANSWER_BYTES);
        Self {
            client,
            directory,
            inbox,
            metrics,
            running: HashMap::new(),
        }
    }

    /// Starts `task` on `replica`; request bodies come from `contents`.
    pub fn start(
        &mut self,
        order: OrderId,
        replica: Replica,
        claim: Claim,
        task: &Task,
        contents: &ContentStore,
    ) {
        let kind = prepare::kind(task);
        let prepared = PreparedOrder::new(&self.directory, replica, claim, task, contents);
        let (sender, mut abort) = oneshot::channel();
        self.running.insert(
            order,
            RunningOrder {
                handle: claim.handle,
                abort: Some(sender),
            },
        );
        let client = self.client.clone();
        let inbox = self.inbox.clone();
        let metrics = Arc::clone(&self.metrics);
        tokio::spawn(async move {
            let mut started = false;
            let work = async {
                started = true;
                run::run(&client, &inbox, order, claim.handle, prepared).await
            };
            let event = tokio::select! {
                biased;
                Ok(()) = &mut abort => None,
                event = work => Some(event),
            };
            let event = event.unwrap_or_else(|| aborted(order, started));
            metrics.record_order(kind, result(&event));
            inbox.event(event).await;
        });
    }

    /// Aborts `order`, unless it has ended.
    pub fn abort(&mut self, order: OrderId) {
        let abort = self
            .running
            .get_mut(&order)
            .and_then(|running| running.abort.take());
        if let Some(abort) = abort {
            // The send fails if the task has just ended.
            let _ = abort.send(());
        }
    }

    /// Reads the state of `replica`; the resulting `Event::Inspected` carries `asked`.
    pub fn inspect(&self, replica: Replica, after: u64, asked: Time) {
        let address = self
            .directory
            .backend(replica)
            .map(|backend| backend.address);
        let client = self.client.clone();
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            let state = match address {
                Some(address) => inspect::inspect(&client, address, after).await,
                None => None,
            };
            inbox
                .event(Event::Inspected {
                    replica,
                    asked,
                    state,
                })
                .await;
        });
    }

    /// The attempt of `order`, until its end reaches the core.
    pub fn handle(&self, order: OrderId) -> Option<Handle> {
        self.running.get(&order).map(|running| running.handle)
    }

    /// Removes `order`, whose end has reached the core.
    pub fn mark_ended(&mut self, order: OrderId) {
        self.running.remove(&order);
    }
}

fn aborted(order: OrderId, started: bool) -> Event {
    let failure = if started {
        Failure::Lost
    } else {
        Failure::NotSent
    };
    Event::Failed { order, failure }
}

/// The result of an order, as a metrics label.
fn result(event: &Event) -> &'static str {
    match event {
        Event::Answered { .. } => "answered",
        Event::Failed {
            failure: Failure::NotSent,
            ..
        } => "not_sent",
        Event::Failed {
            failure: Failure::Refused { .. },
            ..
        } => "refused",
        _ => "lost",
    }
}
