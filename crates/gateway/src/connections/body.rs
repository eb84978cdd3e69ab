//! The body of an answer.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

/// The unread body of an answer.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
}

impl Body {
    /// The body that the HTTP client reads.
    pub const fn new(incoming: Incoming) -> Self {
        Self { incoming }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.incoming).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
