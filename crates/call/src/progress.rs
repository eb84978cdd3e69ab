//! Bounds the bytes of a connection that are no answer, and detects an end during a request.
//!
//! Heads of interim answers, digits and extensions of a chunk size and the like may go on without
//! end, and the connection layer reads them for as long as any are there.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::bound::Bound;

/// Maximum number of bytes without the head of the answer or data of its body. Above that which a
/// connection reads ahead of its reader: two of its buffers.
const MAX_BYTES: usize = 256 * 1024;

/// Counts the bytes that were read since the last progress of an answer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress(Arc<AtomicUsize>);

impl Progress {
    /// Records the head of the answer, or data of its body.
    pub(crate) fn record(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> usize {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes
    }
}

/// A TCP stream that fails after too many bytes without progress, and if it ends during a request.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    peer: SocketAddr,
    progress: Progress,
    /// Whether bytes of the request are still to be written.
    is_writing: bool,
}

impl Socket {
    /// A socket that counts what it reads from `stream`, which is connected to `peer`.
    pub(crate) const fn new(stream: TcpStream, peer: SocketAddr, progress: Progress) -> Self {
        Self {
            stream,
            peer,
            progress,
            is_writing: false,
        }
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
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read_bytes = buffer.filled().len() - before;
        let bytes = self.progress.add(read_bytes);
        if bytes <= MAX_BYTES {
            return match read {
                Poll::Ready(Ok(())) if read_bytes == 0 && buffer.remaining() > 0 => {
                    Poll::Ready(self.check_end())
                }
                read => read,
            };
        }
        if bytes - read_bytes <= MAX_BYTES {
            Bound::Overhead.record(self.peer, bytes);
        }
        let cause = format!("{bytes} bytes that are no answer");
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_writing = true;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
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
