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
    /// Whether bytes of a request are still to be written.
    is_writing: bool,
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
            is_writing: false,
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

    /// Checks the end of the stream. During a request it may be that of a reset whose error a failed
    /// write has taken, and must not look like the end of an answer without a length.
    fn check_end(&self) -> io::Result<()> {
        if self.is_writing {
            let cause = "the connection ended while the request was being written";
            return Err(io::Error::new(io::ErrorKind::ConnectionReset, cause));
        }
        Ok(())
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
            let length = buffer.filled().len() - before;
            self.meter.note_read(length);
            return match polled {
                Poll::Ready(Ok(())) if length == 0 && buffer.remaining() > 0 => {
                    Poll::Ready(self.check_end())
                }
                polled => polled,
            };
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
        self.is_writing = true;
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
        self.is_writing = true;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The client flushes once it has written all that it has.
        self.is_writing = false;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
