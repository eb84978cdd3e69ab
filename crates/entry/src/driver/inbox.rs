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
const MAX_INPUTS: usize = 8_192;
/// Tells that may wait for one caller; one that reads too slowly loses its connection.
const MAX_MESSAGES: usize = 4_096;

/// What a caller or operator wants.
#[derive(Debug)]
pub enum Operation {
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
pub enum StateQuery {
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
        operation: Operation,
        /// Where its answers go.
        replies: mpsc::Sender<CallerMessage>,
    },
    /// A connection closed.
    Closed(CallId),
    /// A question.
    Query(StateQuery),
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
        let (sender, receiver) = mpsc::channel(MAX_INPUTS);
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
    pub async fn open(&self, operation: Operation) -> OpenRequest {
        let call = CallId(self.calls.fetch_add(1, Ordering::Relaxed));
        let (replies, messages) = mpsc::channel(MAX_MESSAGES);
        let open = OpenRequest {
            call,
            messages,
            inbox: self.clone(),
        };
        self.send(Input::Opened {
            call,
            operation,
            replies,
        })
        .await;
        open
    }

    /// Asks the driver; `None` after its end.
    pub async fn query<T>(
        &self,
        query: impl FnOnce(oneshot::Sender<T>) -> StateQuery,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.send(Input::Query(query(sender))).await;
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
pub struct OpenRequest {
    call: CallId,
    messages: mpsc::Receiver<CallerMessage>,
    inbox: Inbox,
}

impl OpenRequest {
    /// The number of the connection.
    pub const fn call(&self) -> CallId {
        self.call
    }

    /// The next thing to tell the caller; `None` if the driver gave the connection up.
    pub async fn next(&mut self) -> Option<CallerMessage> {
        self.messages.recv().await
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.inbox.close(self.call);
    }
}
