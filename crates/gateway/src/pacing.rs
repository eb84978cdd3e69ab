//! Bounds how long one socket may occupy the only thread.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Bytes that a socket reads in a row before other tasks, timers and sockets get their turn. A
/// protocol decoder works on as long as bytes are ready.
const MAX_BYTES_IN_A_ROW: usize = 16 * 1024;

/// A TCP stream that yields after some bytes.
#[derive(Debug)]
pub struct PacedStream {
    stream: TcpStream,
    /// Bytes read since it was last pending.
    in_a_row: usize,
}

impl PacedStream {
    /// Paces `stream`.
    pub const fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            in_a_row: 0,
        }
    }

    /// The stream itself.
    pub const fn get_ref(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads at most `max` bytes.
    fn poll_read_part(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        max: usize,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() <= max {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max));
        let polled = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let length = part.filled().len();
        buffer.advance(length);
        polled
    }
}

impl AsyncRead for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let max = MAX_BYTES_IN_A_ROW.saturating_sub(self.in_a_row);
        if max == 0 {
            self.in_a_row = 0;
            // Wakes the task once the others have run and all sockets were looked at.
            let _ = pin!(yield_now()).poll(context);
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = self.poll_read_part(context, buffer, max);
        self.in_a_row = match polled {
            Poll::Pending => 0,
            Poll::Ready(_) => self.in_a_row + buffer.filled().len() - before,
        };
        polled
    }
}

impl AsyncWrite for PacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
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
