//! The stream of a decode.

use std::net::SocketAddr;

use bytes::Buf;
use bytes::BytesMut;
use call::direct::Answer;
use call::direct::ConnectionGuard;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::error::Error;
use crate::error::Step;

/// Longest line that an engine may send.
const LINE_LIMIT: usize = 1 << 20;

/// Why a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The text is complete.
    Stop,
    /// The attempt was cancelled.
    Cancelled,
    /// The KV cache did not arrive.
    Lost,
}

/// What a stream delivers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The KV cache has arrived; tokens follow.
    Imported,
    /// One token.
    Tokens {
        /// Its place in the whole answer.
        offset: u32,
        /// Its text.
        text: String,
    },
    /// The stream is over.
    End {
        /// Tokens of the whole answer so far.
        offset: u32,
        /// Why it ended.
        reason: Reason,
    },
    /// Another reader took the stream over.
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
    body: Incoming,
    buffer: BytesMut,
    over: bool,
    _guard: ConnectionGuard,
}

impl Stream {
    pub(crate) fn new(peer: SocketAddr, answer: Answer) -> Self {
        Self {
            peer,
            body: answer.body,
            buffer: BytesMut::new(),
            over: false,
            _guard: answer.guard,
        }
    }

    /// The next event; `None` after the last one or an error.
    ///
    /// A stream that breaks off before its end yields [`Error::Lost`]. Dropping the returned
    /// future loses no event.
    pub async fn next(&mut self) -> Option<Result<Event, Error>> {
        if self.over {
            return None;
        }
        let event = self.read().await;
        self.over = matches!(event, Err(_) | Ok(Event::End { .. } | Event::Superseded));
        Some(event)
    }

    async fn read(&mut self) -> Result<Event, Error> {
        loop {
            if let Some(line) = self.take_line() {
                return parse(&line).map_err(|cause| self.malformed(cause));
            }
            if self.buffer.len() > LINE_LIMIT {
                return Err(self.malformed("a line is too long".to_owned()));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    self.buffer.extend_from_slice(&data);
                }
                Some(Err(e)) => return Err(self.lost(e.to_string())),
                None => return Err(self.lost("broke off before its end".to_owned())),
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
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
