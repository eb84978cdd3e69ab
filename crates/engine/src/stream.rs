//! The event stream of a decode.

use std::net::SocketAddr;

use bytes::Buf;
use bytes::BytesMut;
use call::bound::Bound;
use call::direct::Answer;
use call::direct::Body;
use call::direct::ConnectionGuard;
use serde::Deserialize;

use crate::error::Error;
use crate::error::Step;

/// Longest line that an engine may send, in bytes; a line holds one token. Each stream holds that
/// much.
const MAX_LINE_BYTES: usize = 16 << 10;

/// Why a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The answer is complete.
    Stop,
    /// The attempt was cancelled.
    Cancelled,
    /// The KV cache did not arrive.
    Lost,
}

/// An event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The KV cache has arrived; tokens follow.
    Imported,
    /// One token.
    Tokens {
        /// Its position in the whole answer.
        offset: u32,
        /// Its text.
        text: String,
    },
    /// The stream has ended.
    End {
        /// Tokens of the whole answer so far.
        offset: u32,
        /// Why it ended.
        reason: Reason,
    },
    /// Another reader has taken over the stream.
    Superseded,
}

#[derive(Debug, Deserialize)]
struct Line {
    #[serde(default)]
    imported: bool,
    #[serde(default)]
    end: bool,
    #[serde(default)]
    superseded: bool,
    offset: Option<u32>,
    text: Option<String>,
    reason: Option<Reason>,
}

/// A stream; dropping it closes its connection.
#[derive(Debug)]
pub struct Stream {
    peer: SocketAddr,
    body: Body,
    buffer: BytesMut,
    ended: bool,
    _guard: ConnectionGuard,
}

impl Stream {
    pub(crate) fn new(peer: SocketAddr, answer: Answer) -> Self {
        Self {
            peer,
            body: answer.body,
            buffer: BytesMut::new(),
            ended: false,
            _guard: answer.guard,
        }
    }

    /// The next event; `None` after the last one or an error.
    ///
    /// A stream that breaks off before its end yields [`Error::Lost`]. Cancel safe: dropping the
    /// returned future loses no event.
    pub async fn next(&mut self) -> Option<Result<Event, Error>> {
        if self.ended {
            return None;
        }
        let event = self.read().await;
        self.ended = matches!(event, Err(_) | Ok(Event::End { .. } | Event::Superseded));
        Some(event)
    }

    async fn read(&mut self) -> Result<Event, Error> {
        loop {
            let line = self.next_line();
            let length = line.as_ref().map_or(self.buffer.len(), BytesMut::len);
            if length > MAX_LINE_BYTES {
                Bound::Line.record(self.peer, length);
                return Err(self.malformed("a line is too long".to_owned()));
            }
            if let Some(line) = line {
                return parse(&line).map_err(|cause| self.malformed(cause));
            }
            match self.body.next().await {
                Some(Ok(data)) => self.buffer.extend_from_slice(&data),
                Some(Err(cause)) => return Err(self.lost(cause)),
                None => return Err(self.lost("broke off before its end".to_owned())),
            }
        }
    }

    fn next_line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        Some(line)
    }

    fn malformed(&self, cause: String) -> Error {
        Error::Malformed {
            step: Step::Stream,
            peer: self.peer,
            cause,
        }
    }

    fn lost(&self, cause: String) -> Error {
        Error::Lost {
            step: Step::Stream,
            peer: self.peer,
            cause,
        }
    }
}

fn parse(line: &[u8]) -> Result<Event, String> {
    let line: Line = serde_json::from_slice(line).map_err(|e| e.to_string())?;
    match line {
        Line {
            superseded: true, ..
        } => Ok(Event::Superseded),
        Line { imported: true, .. } => Ok(Event::Imported),
        Line {
            end: true,
            offset: Some(offset),
            reason: Some(reason),
            ..
        } => Ok(Event::End { offset, reason }),
        Line {
            offset: Some(offset),
            text: Some(text),
            ..
        } => Ok(Event::Tokens { offset, text }),
        _ => Err("a line is no event".to_owned()),
    }
}
