//! The task that owns the core.
//!
//! Events reach it through one bounded channel. It steps the core and dispatches the actions; it
//! never waits for anything but the channel and the core's next wake-up.

pub mod content;
pub mod inbox;
mod tellers;

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
use crate::driver::content::Store;
use crate::driver::inbox::Input;
use crate::driver::inbox::Question;
use crate::driver::inbox::Wish;
use crate::driver::tellers::Tellers;
use crate::logs::Recent;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::platform::Platform;
use crate::platform::list;
use crate::stop::Stop;

/// Inputs that are handled before the clock is read again.
const BATCH: usize = 64;

/// Where actions go.
#[derive(Debug)]
pub struct Outlets {
    /// Orders to replicas.
    pub backends: Backends,
    /// Frames to peers.
    pub peers: Peers,
    /// Queries to the store.
    pub platform: Platform,
    /// Decision lines.
    pub recent: Arc<Recent>,
    /// Figures.
    pub metrics: Arc<Metrics>,
    /// Addresses of peers and replicas.
    pub directory: Arc<Directory>,
    /// The end of a planned stop.
    pub stop: Stop,
}

/// Owns the core and everything kept for it.
#[derive(Debug)]
pub struct Driver {
    clock: Clock,
    node: Node,
    outlets: Outlets,
    contents: Store,
    tellers: Tellers,
    actions: Vec<Action>,
}

impl Driver {
    /// A driver of `node`.
    pub fn new(clock: Clock, node: Node, outlets: Outlets) -> Self {
        Self {
            clock,
            node,
            outlets,
            contents: Store::new(),
            tellers: Tellers::default(),
            actions: Vec::new(),
        }
    }

    /// Runs until every sender of `inputs` is gone.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            let pause = self.clock.until(self.node.next_wake());
            tokio::select! {
                count = inputs.recv_many(&mut batch, BATCH) => {
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
                self.note(&event);
                self.step(event);
            }
            Input::Opened { call, wish, teller } => {
                self.tellers.insert(call, teller);
                self.open(call, wish);
            }
            Input::Closed(call) => self.close(call),
            Input::Question(question) => self.answer(question),
        }
    }

    fn open(&mut self, call: CallId, wish: Wish) {
        let event = match wish {
            Wish::Request {
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
            Wish::Resume {
                customer,
                token,
                offset,
            } => Event::Resumed {
                call,
                customer,
                token,
                offset,
            },
            Wish::Edit(edit) => Event::Edited { call, edit },
        };
        self.step(event);
    }

    fn close(&mut self, call: CallId) {
        // A call that got its last answer is known to be over; the core isn't told again.
        if self.tellers.remove(call) {
            self.contents.close(call);
            self.step(Event::Disconnected { call });
        }
    }

    fn note(&mut self, event: &Event) {
        match event {
            Event::Streamed {
                order,
                piece: Piece::Tokens { offset, text, .. },
            } => {
                if let Some(handle) = self.outlets.backends.handle(*order) {
                    self.contents.generated(handle, *offset, text);
                }
            }
            Event::Answered { order, .. } | Event::Failed { order, .. } => {
                self.outlets.backends.ended(*order);
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
                self.outlets
                    .backends
                    .order(order, replica, claim, &task, &self.contents);
                if let Task::Prefill { call, .. } = task {
                    self.contents.begin(handle, call);
                }
            }
            Action::Abort { order } => self.outlets.backends.abort(order),
            Action::Inspect {
                replica,
                after,
                asked,
            } => self.outlets.backends.inspect(replica, after, asked),
            Action::SendToCaller { call, message } => self.tell(call, message),
            Action::Send { to, frame } => self.outlets.peers.send(to, &frame),
            Action::Query { query, request } => self.outlets.platform.query(query, request),
            Action::UseList(copy) => self.use_list(&copy),
            Action::Log(decision) => self.outlets.recent.decision(&decision),
            Action::Fault { cause } => {
                log::error!(kind = "fault"; "{cause}");
                self.outlets.metrics.fault();
            }
            Action::Count(count) => self.outlets.metrics.count(count),
            Action::Finished => self.outlets.stop.finish(),
        }
    }

    fn use_list(&mut self, copy: &[u8]) {
        match list::take_copy(&self.outlets.directory, copy) {
            Some(event) => self.step(event),
            None => log::warn!(step = "list"; "a peer's copy of the list is damaged"),
        }
    }

    fn tell(&mut self, call: CallId, tell: CallerMessage) {
        if let CallerMessage::Head { handle, .. } = &tell {
            self.contents.join(call, *handle);
        }
        if self.tellers.tell(call, tell) {
            self.contents.close(call);
        }
    }

    fn answer(&self, question: Question) {
        let now = self.clock.now();
        // An asker that is gone needs no answer.
        match question {
            Question::Status(sender) => drop(sender.send(self.node.status(now))),
            Question::Table(sender) => drop(sender.send(self.node.table().cloned())),
            Question::Addresses(zone, sender) => {
                drop(sender.send(self.node.addresses(now, zone)));
            }
            Question::Force(generation, sender) => {
                drop(sender.send(self.node.rollout(now, generation)));
            }
        }
    }
}
