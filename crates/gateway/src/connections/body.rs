//! The body of a message that is being received.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::progress::Meter;

/// The unread body of a message.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    meter: Meter,
}

impl Body {
    /// The body that the HTTP client or server reads from a connection with `meter`.
    pub const fn new(incoming: Incoming, meter: Meter) -> Self {
        Self { incoming, meter }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && frame.data_ref().is_some_and(|data| !data.is_empty())
        {
            self.meter.note_part();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
