//! A streamed answer, read by a caller.

use serde::Deserialize;
use volo_http::body::Body;
use volo_http::client::sse::SseEvent;
use volo_http::client::sse::SseExt;
use volo_http::client::sse::SseReader;
use volo_http::response::Response;

use crate::error::Error;
use crate::refusal::Refusal;

/// An open stream of tokens.
pub struct Stream {
    reader: SseReader<Body>,
    head: Option<Head>,
    offset: u64,
}

impl std::fmt::Debug for Stream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Stream")
            .field("head", &self.head)
            .field("offset", &self.offset)
            .finish_non_exhaustive()
    }
}

/// The first event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Head {
    /// Handle of the attempt.
    pub request: String,
    /// Token to resume the stream at any instance.
    pub resume: String,
}

/// An event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The head; see also [`Stream::head`].
    Head(Head),
    /// Tokens in order.
    Tokens(Tokens),
    /// The end of the answer, with its total number of tokens.
    Done(u64),
    /// A newer connection has taken over the stream.
    Superseded,
    /// The answer will not be completed.
    Failed(Refusal),
    /// The connection was lost; the stream can be resumed at another instance.
    Cut,
}

/// A run of tokens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Tokens {
    /// Number of tokens before this run.
    pub offset: u64,
    /// Number of tokens in this run.
    pub count: u64,
    /// Their text.
    pub text: String,
}

/// The remainder of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rest {
    /// The text.
    pub text: String,
    /// Number of tokens received.
    pub tokens: u64,
    /// The last event.
    pub end: Event,
    /// Runs of tokens that do not start where the previous one ended.
    pub gaps: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Done {
    tokens: u64,
}

impl Stream {
    /// Opens the stream of `response`, which starts after `offset` tokens.
    pub(crate) fn open(
        response: Response<Body>,
        offset: u64,
        address: &str,
    ) -> Result<Self, Error> {
        let reader = response.into_sse().map_err(|cause| Error::Http {
            step: "read events".to_owned(),
            peer: address.to_owned(),
            cause: cause.to_string(),
        })?;
        Ok(Self {
            reader,
            head: None,
            offset,
        })
    }

    /// Returns the head, if it has been read.
    pub const fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Returns the number of tokens so far, including those before a resume.
    pub const fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns the next event. [`Event::Done`], [`Event::Superseded`], [`Event::Failed`] and
    /// [`Event::Cut`] are final.
    pub async fn next(&mut self) -> Event {
        loop {
            let Ok(Some(event)) = self.reader.read().await else {
                return Event::Cut;
            };
            if let Some(event) = self.parse_event(&event) {
                return event;
            }
        }
    }

    /// Reads the stream to its end.
    pub async fn read_to_end(mut self) -> Rest {
        let mut rest = Rest {
            text: String::new(),
            tokens: 0,
            end: Event::Cut,
            gaps: Vec::new(),
        };
        loop {
            let expected = self.offset;
            match self.next().await {
                Event::Head(_) => {}
                Event::Tokens(tokens) => {
                    rest.text.push_str(&tokens.text);
                    rest.tokens += tokens.count;
                    if tokens.offset != expected {
                        rest.gaps
                            .push(format!("expected {expected}, got {}", tokens.offset));
                    }
                }
                end => {
                    rest.end = end;
                    return rest;
                }
            }
        }
    }

    /// Parses an event. Returns `None` if its kind is unknown or its data is invalid.
    fn parse_event(&mut self, event: &SseEvent) -> Option<Event> {
        let data = event.data().unwrap_or_default();
        match event.event() {
            "head" => {
                let head: Head = serde_json::from_str(data).ok()?;
                self.head = Some(head.clone());
                Some(Event::Head(head))
            }
            "tokens" => {
                let tokens: Tokens = serde_json::from_str(data).ok()?;
                self.offset = tokens.offset + tokens.count;
                Some(Event::Tokens(tokens))
            }
            "done" => serde_json::from_str(data)
                .ok()
                .map(|done: Done| Event::Done(done.tokens)),
            "superseded" => Some(Event::Superseded),
            "error" => Some(Event::Failed(Refusal::with_body(200, data))),
            _ => None,
        }
    }
}
