//! The socket of a connection, which can be read again from bytes that arrived too early.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Buf;
use bytes::Bytes;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::pacing::PacedStream;
use crate::progress::Meter;

/// A TCP stream, or a replay of one. A replay discards what is written, since its request was sent
/// before, and can be read only after that: the client takes earlier bytes for unsolicited ones.
#[derive(Debug)]
pub struct Socket {
    stream: PacedStream,
    /// Bytes of the stream that are read again.
    read_ahead: Bytes,
    is_replay: bool,
    /// Whether the request of a replay was written.
    is_requested: bool,
    /// Waits for the request of a replay.
    reader: Option<Waker>,
    meter: Meter,
}

impl Socket {
    /// A socket that reads from and writes to `stream`. Fails once `meter` is exceeded.
    pub const fn new(stream: PacedStream, meter: Meter) -> Self {
        Self {
            stream,
            read_ahead: Bytes::new(),
            is_replay: false,
            is_requested: false,
            reader: None,
            meter,
        }
    }

    /// Counts the bytes that are read.
    pub const fn meter(&self) -> &Meter {
        &self.meter
    }

    /// A replay that starts with `unused`, the bytes that were read and not used. `None` if there
    /// are none.
    pub fn into_replay(self, unused: &Bytes) -> Option<Self> {
        let read_ahead = Bytes::from([&unused[..], &self.read_ahead[..]].concat());
        (!read_ahead.is_empty()).then_some(Self {
            read_ahead,
            is_replay: true,
            is_requested: false,
            reader: None,
            ..self
        })
    }

    /// Records the request of a replay, whose answer can be read from now on.
    fn record_request(&mut self) {
        self.is_requested = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_replay && !self.is_requested {
            self.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        self.meter.check()?;
        if self.read_ahead.is_empty() {
            let before = buffer.filled().len();
            let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
            self.meter.note_read(buffer.filled().len() - before);
            return polled;
        }
        let length = self.read_ahead.len().min(buffer.remaining());
        self.meter.note_read(length);
        buffer.put_slice(&self.read_ahead[..length]);
        self.read_ahead.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_replay {
            self.record_request();
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.is_replay {
            self.record_request();
            return Poll::Ready(Ok(slices.iter().map(|slice| slice.len()).sum()));
        }
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
