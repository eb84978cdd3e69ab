//! Bodies of responses to callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;

use crate::guard::OpenRequest;
use crate::memory::Budget;
use crate::memory::Charge;
use crate::phase::BusyGuard;

/// Parts of a streamed body queued for a slow caller.
const MAX_QUEUED_PARTS: usize = 32;
/// Bytes of these parts. A longer part is queued alone.
const MAX_QUEUED_BYTES: usize = 128 * 1024;
/// Bytes that are queued although the budget is used up.
const MIN_QUEUED_BYTES: usize = 16 * 1024;

/// Error of a body that ends before it is complete; the connection is aborted.
#[derive(Debug)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the response was cut off")
    }
}

impl std::error::Error for Aborted {}

impl From<Infallible> for Aborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// A response body; the request counts as open until the body is sent.
#[derive(Debug)]
pub struct Body {
    content: Content,
    open: Option<OpenRequest>,
    busy: Option<BusyGuard>,
    /// Memory of a whole body.
    charge: Option<Charge>,
}

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    /// Queued parts and their memory.
    Parts(Receiver<Part>, Option<Rc<Queued>>),
}

/// The next item of a streamed body.
#[derive(Debug)]
pub enum Part {
    /// Some of its bytes.
    Data(Bytes),
    /// The end of the body; without it, the body is aborted.
    End,
}

impl Body {
    /// A body that is available completely.
    pub const fn whole(bytes: Bytes) -> Self {
        Self {
            content: Content::Whole(Some(bytes)),
            open: None,
            busy: None,
            charge: None,
        }
    }

    /// A streamed body. It is complete after [`Part::End`], and aborted if the sender is dropped
    /// before: if the sending task dies, the caller must not take the response for complete.
    pub const fn parts(parts: Receiver<Part>) -> Self {
        Self {
            content: Content::Parts(parts, None),
            open: None,
            busy: None,
            charge: None,
        }
    }

    /// A streamed body whose queued bytes are charged to `budget`, and the other end of the queue.
    pub fn queue(budget: &Rc<Budget>) -> (PartSender, Self) {
        let (parts, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
        let charge = Charge::new(budget);
        let taken = Notify::new();
        let queued = Rc::new(Queued { charge, taken });
        let mut body = Self::parts(receiver);
        if let Content::Parts(_, of_body) = &mut body.content {
            *of_body = Some(Rc::clone(&queued));
        }
        (PartSender { parts, queued }, body)
    }

    /// Keeps the memory of a whole body charged until the body is sent.
    #[must_use]
    pub fn with_charge(mut self, charge: Charge) -> Self {
        self.charge = Some(charge);
        self
    }

    /// Keeps the request open until the body is sent.
    #[must_use]
    pub fn with_open_request(mut self, open: OpenRequest) -> Self {
        self.open = Some(open);
        self
    }

    /// Keeps the connection busy until the body is sent.
    #[must_use]
    pub fn with_busy(mut self, busy: BusyGuard) -> Self {
        busy.set_unfinished(matches!(self.content, Content::Parts(..)));
        self.busy = Some(busy);
        self
    }
}

/// Queues the parts of a streamed body for its caller.
#[derive(Debug)]
pub struct PartSender {
    parts: Sender<Part>,
    queued: Rc<Queued>,
}

/// Memory of the queued parts of a body.
#[derive(Debug)]
struct Queued {
    charge: Charge,
    /// Notified when a part is taken from the queue.
    taken: Notify,
}

impl PartSender {
    /// Queues `bytes`, waiting while the caller has not read enough; `false` if the caller is gone.
    pub async fn send(&self, bytes: Bytes) -> bool {
        let Queued { charge, taken } = &*self.queued;
        while !self.fits(bytes.len()) {
            tokio::select! {
                () = taken.notified() => {}
                () = self.parts.closed() => return false,
            }
        }
        charge.grow(bytes.len());
        self.parts.send(Part::Data(bytes)).await.is_ok()
    }

    /// Whether a part of `length` bytes may be queued now.
    fn fits(&self, length: usize) -> bool {
        let charge = &self.queued.charge;
        let limit = if charge.fits(length) {
            MAX_QUEUED_BYTES
        } else {
            MIN_QUEUED_BYTES
        };
        charge.bytes() == 0 || charge.bytes() + length <= limit
    }

    /// Ends the body.
    pub async fn end(&self) {
        // The caller may be gone; then the end is not needed.
        let _ = self.parts.send(Part::End).await;
    }

    /// Waits until the caller is gone.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }

    /// Whether the caller is gone.
    pub fn is_closed(&self) -> bool {
        self.parts.is_closed()
    }

    /// Small parts that can be queued without waiting.
    pub fn capacity(&self) -> usize {
        if self.queued.charge.bytes() < MAX_QUEUED_BYTES / 2 {
            self.parts.capacity()
        } else {
            0
        }
    }
}

impl Drop for Body {
    /// The body is handed over before its bytes have left.
    fn drop(&mut self) {
        if let (Some(busy), Some(open)) = (&self.busy, self.open.take()) {
            busy.keep_until_sent(open.with_answer(self.charge.take()));
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match &mut self.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Content::Parts(parts, queued) => match ready!(parts.poll_recv(context)) {
                Some(Part::Data(bytes)) => {
                    if let Some(queued) = queued {
                        queued.charge.shrink(bytes.len());
                        queued.taken.notify_one();
                    }
                    Poll::Ready(Some(Ok(Frame::data(bytes))))
                }
                Some(Part::End) => {
                    self.content = Content::Whole(None);
                    if let Some(busy) = &self.busy {
                        busy.set_unfinished(false);
                    }
                    Poll::Ready(None)
                }
                None => Poll::Ready(Some(Err(Aborted))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Parts(..) => SizeHint::default(),
        }
    }
}
