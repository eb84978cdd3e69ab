//! The way into the driver.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use ident::Zone;
use node::action::CallerMessage;
use node::event::Event;
use node::ids::CallId;
use node::request::Request;
use node::status;
use table::Table;
use table::edit::Edit;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::budget::Grant;
use crate::driver::content::Content;

/// Events that may wait for the driver.
const DEPTH: usize = 8_192;
/// Tells that may wait for one caller; one that reads too slowly loses its connection.
const TELLS: usize = 4_096;

/// What a caller or operator wants.
#[derive(Debug)]
pub enum Wish {
    /// A request with its body.
    Request {
        /// Without the body.
        request: Box<Request>,
        /// The body.
        content: Box<Content>,
        /// Memory of the body.
        grant: Grant,
    },
    /// The rest of a stream.
    Resume {
        /// The customer.
        customer: String,
        /// Sealed token.
        token: String,
        /// Tokens already had.
        offset: u32,
    },
    /// An edit of the table.
    Edit(Edit),
}

/// A question about the state of the core.
#[derive(Debug)]
pub enum Question {
    /// The whole state.
    Status(oneshot::Sender<status::Status>),
    /// The table in force.
    Table(oneshot::Sender<Option<Table>>),
    /// Addresses for callers near a data centre.
    Addresses(Zone, oneshot::Sender<Vec<status::Address>>),
    /// How far a generation is in force.
    Force(u64, oneshot::Sender<status::Rollout>),
}

/// What reaches the driver.
#[derive(Debug)]
pub enum Input {
    /// An event for the core.
    Event(Event),
    /// A connection wants something.
    Opened {
        /// Its number.
        call: CallId,
        /// What it wants.
        wish: Wish,
        /// Where its answers go.
        teller: mpsc::Sender<CallerMessage>,
    },
    /// A connection closed.
    Closed(CallId),
    /// A question.
    Question(Question),
}

/// Sends to the driver.
#[derive(Debug, Clone)]
pub struct Inbox {
    sender: mpsc::Sender<Input>,
    calls: Arc<AtomicU64>,
}

impl Inbox {
    /// An inbox and the end that the driver reads.
    pub fn new() -> (Self, mpsc::Receiver<Input>) {
        let (sender, receiver) = mpsc::channel(DEPTH);
        (
            Self {
                sender,
                calls: Arc::new(AtomicU64::new(1)),
            },
            receiver,
        )
    }

    /// Passes `event` to the core, after waiting for space. After the driver's end it is dropped.
    pub async fn event(&self, event: Event) {
        self.send(Input::Event(event)).await;
    }

    /// Passes a wish to the core; answers come out of the receiver.
    pub async fn open(&self, wish: Wish) -> Open {
        let call = CallId(self.calls.fetch_add(1, Ordering::Relaxed));
        let (teller, tells) = mpsc::channel(TELLS);
        let open = Open {
            call,
            tells,
            inbox: self.clone(),
        };
        self.send(Input::Opened { call, wish, teller }).await;
        open
    }

    /// Asks the driver; `None` after its end.
    pub async fn ask<T>(&self, question: impl FnOnce(oneshot::Sender<T>) -> Question) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.send(Input::Question(question(sender))).await;
        receiver.await.ok()
    }

    async fn send(&self, input: Input) {
        // The receiver is gone only when the process is about to end.
        let _ = self.sender.send(input).await;
    }

    fn close(&self, call: CallId) {
        if let Err(mpsc::error::TrySendError::Full(input)) =
            self.sender.try_send(Input::Closed(call))
        {
            let inbox = self.clone();
            tokio::spawn(async move { inbox.send(input).await });
        }
    }
}

/// An open connection; dropping it tells the driver that it closed.
#[derive(Debug)]
pub struct Open {
    call: CallId,
    tells: mpsc::Receiver<CallerMessage>,
    inbox: Inbox,
}

impl Open {
    /// The number of the connection.
    pub const fn call(&self) -> CallId {
        self.call
    }

    /// The next thing to tell the caller; `None` if the driver gave the connection up.
    pub async fn next(&mut self) -> Option<CallerMessage> {
        self.tells.recv().await
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.inbox.close(self.call);
    }
}
