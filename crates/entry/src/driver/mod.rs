//! The task that owns the core.
//!
//! It receives events through one bounded channel, steps the core and dispatches the actions. It
//! waits only for the channel and the core's next wake-up.

pub mod content;
pub mod inbox;
mod response_channels;

use std::sync::Arc;

use boottime::timer::sleep;
use engine::Claim;
use node::Node;
use node::action::Action;
use node::action::CallerMessage;
use node::action::Task;
use node::event::Event;
use node::event::Piece;
use node::ids::CallId;
use tokio::sync::mpsc;

use crate::backends::Backends;
use crate::clock::Clock;
use crate::directory::Directory;
use crate::driver::content::ContentStore;
use crate::driver::inbox::Input;
use crate::driver::inbox::Operation;
use crate::driver::inbox::StateQuery;
use crate::driver::response_channels::ResponseChannels;
use crate::logs::RecentDecisions;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::platform::Platform;
use crate::platform::list;
use crate::stop::Stop;

/// Most inputs handled before the next wake-up is checked.
const MAX_BATCH: usize = 64;

/// The components that execute actions.
#[derive(Debug)]
pub struct Outputs {
    /// Executes orders to replicas.
    pub backends: Backends,
    /// Sends frames to peers.
    pub peers: Peers,
    /// Executes store requests.
    pub platform: Platform,
    /// Recent decision lines.
    pub recent: Arc<RecentDecisions>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Addresses of peers and replicas.
    pub directory: Arc<Directory>,
    /// The planned stop.
    pub stop: Stop,
}

/// Owns the core and the data kept on its behalf.
#[derive(Debug)]
pub struct Driver {
    clock: Clock,
    node: Node,
    outputs: Outputs,
    contents: ContentStore,
    response_channels: ResponseChannels,
    actions: Vec<Action>,
}

impl Driver {
    /// A driver of `node`.
    pub fn new(clock: Clock, node: Node, outputs: Outputs) -> Self {
        Self {
            clock,
            node,
            outputs,
            contents: ContentStore::new(),
            response_channels: ResponseChannels::default(),
            actions: Vec::new(),
        }
    }

    /// Runs until every sender of `inputs` is gone.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut batch = Vec::with_capacity(MAX_BATCH);
        loop {
            let pause = self.clock.until(self.node.next_wake());
            tokio::select! {
                count = inputs.recv_many(&mut batch, MAX_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    for input in batch.drain(..) {
                        self.handle(input);
                    }
                }
                () = sleep(pause) => {}
            }
            if self.clock.now() >= self.node.next_wake() {
                self.step(Event::Tick);
            }
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                self.record_event(&event);
                self.step(event);
            }
            Input::Opened {
                call,
                operation,
                replies,
            } => {
                self.response_channels.insert(call, replies);
                self.open(call, operation);
            }
            Input::Closed(call) => self.close(call),
            Input::Query(query) => self.answer_query(query),
        }
    }

    fn open(&mut self, call: CallId, operation: Operation) {
        let event = match operation {
            Operation::Request {
                request,
                content,
                grant,
            } => {
                self.contents.insert(call, *content, grant);
                Event::Arrived {
                    call,
                    request: *request,
                }
            }
            Operation::Resume {
                customer,
                token,
                offset,
            } => Event::Resumed {
                call,
                customer,
                token,
                offset,
            },
            Operation::Edit(edit) => Event::Edited { call, edit },
        };
        self.step(event);
    }

    fn close(&mut self, call: CallId) {
        // The core already knows that a call with its last answer has ended.
        if self.response_channels.remove(call) {
            self.contents.close(call);
            self.step(Event::Disconnected { call });
        }
    }

    fn record_event(&mut self, event: &Event) {
        match event {
            Event::Streamed {
                order,
                piece: Piece::Tokens { offset, text, .. },
            } => {
                if let Some(handle) = self.outputs.backends.handle(*order) {
                    self.contents.append(handle, *offset, text);
                }
            }
            Event::Answered { order, .. } | Event::Failed { order, .. } => {
                self.outputs.backends.mark_ended(*order);
            }
            _ => {}
        }
    }

    fn step(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.node.step(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.dispatch(action);
        }
        self.actions = actions;
    }

    fn dispatch(&mut self, action: Action) {
        match action {
            Action::Order {
                order,
                replica,
                handle,
                owner,
                fence,
                task,
            } => {
                let claim = Claim::new(handle, owner, fence);
                self.outputs
                    .backends
                    .start(order, replica, claim, &task, &self.contents);
                if let Task::Prefill { call, .. } = task {
                    self.contents.add_attempt(handle, call);
                }
            }
            Action::Abort { order } => self.outputs.backends.abort(order),
            Action::Inspect {
                replica,
                after,
                asked,
            } => self.outputs.backends.inspect(replica, after, asked),
            Action::SendToCaller { call, message } => self.send_to_caller(call, message),
            Action::Send { to, frame } => self.outputs.peers.send(to, &frame),
            Action::Query { query, request } => self.outputs.platform.query(query, request),
            Action::UseList(copy) => self.use_list(&copy),
            Action::Log(decision) => self.outputs.recent.record(&decision),
            Action::Fault { cause } => {
                log::error!(kind = "fault"; "{cause}");
                self.outputs.metrics.fault();
            }
            Action::Count(count) => self.outputs.metrics.count(count),
            Action::Finished => self.outputs.stop.finish(),
        }
    }

    fn use_list(&mut self, copy: &[u8]) {
        match list::apply_copy(&self.outputs.directory, copy) {
            Some(event) => self.step(event),
            None => log::warn!(step = "list"; "a peer's copy of the list is damaged"),
        }
    }

    fn send_to_caller(&mut self, call: CallId, message: CallerMessage) {
        if let CallerMessage::Head { handle, .. } = &message {
            self.contents.add_reader(call, *handle);
        }
        if self.response_channels.send(call, message) {
            self.contents.close(call);
        }
    }

    fn answer_query(&self, query: StateQuery) {
        let now = self.clock.now();
        // A send fails if the requester is gone, which is harmless.
        match query {
            StateQuery::Status(sender) => drop(sender.send(self.node.status(now))),
            StateQuery::Table(sender) => drop(sender.send(self.node.table().cloned())),
            StateQuery::Addresses(zone, sender) => {
                drop(sender.send(self.node.addresses(now, zone)));
            }
            StateQuery::Force(generation, sender) => {
                drop(sender.send(self.node.rollout(now, generation)));
            }
        }
    }
}
