//! Bodies of responses to callers.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc::Receiver;

use crate::guard::OpenRequest;
use crate::phase::BusyGuard;

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
}

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    Parts(Receiver<Part>),
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
        }
    }

    /// A streamed body. It is complete after [`Part::End`], and aborted if the sender is dropped
    /// before: if the sending task dies, the caller must not take the response for complete.
    pub const fn parts(parts: Receiver<Part>) -> Self {
        Self {
            content: Content::Parts(parts),
            open: None,
            busy: None,
        }
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
        busy.set_unfinished(matches!(self.content, Content::Parts(_)));
        self.busy = Some(busy);
        self
    }
}

impl Drop for Body {
    /// The body is handed over before its bytes have left.
    fn drop(&mut self) {
        if let (Some(busy), Some(open)) = (&self.busy, self.open.take()) {
            busy.keep_until_sent(open);
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
            Content::Parts(parts) => match ready!(parts.poll_recv(context)) {
                Some(Part::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
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
            Content::Parts(_) => SizeHint::default(),
        }
    }
}
