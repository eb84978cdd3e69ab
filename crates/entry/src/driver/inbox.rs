//! The channel into the driver.

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

/// Most inputs queued for the driver.
const MAX_INPUTS: usize = 8_192;
/// Most messages queued for one caller; a caller that reads too slowly loses its connection.
const MAX_MESSAGES: usize = 4_096;

/// An operation requested by a caller or operator.
#[derive(Debug)]
pub enum Operation {
    /// A request with its body.
    Request {
        /// The request without its body.
        request: Box<Request>,
        /// The body.
        content: Box<Content>,
        /// The memory taken by the body.
        grant: Grant,
    },
    /// The rest of a stream.
    Resume {
        /// The customer.
        customer: String,
        /// The sealed resume token.
        token: String,
        /// Number of tokens already received.
        offset: u32,
    },
    /// An edit of the table.
    Edit(Edit),
}

/// A query of the state of the core.
#[derive(Debug)]
pub enum StateQuery {
    /// The full status.
    Status(oneshot::Sender<status::Status>),
    /// The table in force.
    Table(oneshot::Sender<Option<Table>>),
    /// Addresses for callers near a data centre.
    Addresses(Zone, oneshot::Sender<Vec<status::Address>>),
    /// Which instances have a generation in force.
    Force(u64, oneshot::Sender<status::Rollout>),
}

/// An input of the driver.
#[derive(Debug)]
pub enum Input {
    /// An event for the core.
    Event(Event),
    /// A connection requested an operation.
    Opened {
        /// Its number.
        call: CallId,
        /// The requested operation.
        operation: Operation,
        /// The channel for its answers.
        replies: mpsc::Sender<CallerMessage>,
    },
    /// A connection closed.
    Closed(CallId),
    /// A query.
    Query(StateQuery),
}

/// Sends inputs to the driver.
#[derive(Debug, Clone)]
pub struct Inbox {
    sender: mpsc::Sender<Input>,
    calls: Arc<AtomicU64>,
}

impl Inbox {
    /// Creates an inbox and the receiver for the driver.
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

    /// Sends `event` to the core, waiting for space; the event is dropped if the driver has ended.
    pub async fn event(&self, event: Event) {
        self.send(Input::Event(event)).await;
    }

    /// Submits an operation to the core; the returned value receives the answers.
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

    /// Queries the driver; `None` if it has ended.
    pub async fn query<T>(
        &self,
        query: impl FnOnce(oneshot::Sender<T>) -> StateQuery,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.send(Input::Query(query(sender))).await;
        receiver.await.ok()
    }

    async fn send(&self, input: Input) {
        // The receiver is only gone when the process is about to end.
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

/// An open connection; dropping it reports to the driver that it has closed.
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

    /// The next message for the caller; `None` if the driver has closed the connection.
    pub async fn next(&mut self) -> Option<CallerMessage> {
        self.messages.recv().await
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.inbox.close(self.call);
    }
}
