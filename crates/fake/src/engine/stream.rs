//! Streams the tokens of an attempt to a reader.

use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::watch;
use volo_http::response::Response;

use super::attempt::Attempt;
use super::attempt::Progress;
use super::attempt::Text;
use crate::web;

/// Chunks buffered for a slow reader.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// A reader of one attempt.
#[derive(Debug)]
pub(super) struct Reader {
    number: u64,
    next: usize,
    text: Text,
    progress: watch::Receiver<Progress>,
}

impl Reader {
    /// Creates the current reader of `attempt`, starting at token `offset`.
    pub(super) fn new(attempt: &Attempt, offset: usize) -> Self {
        let progress = attempt.progress.subscribe();
        let number = progress.borrow().reader;
        Self {
            number,
            next: offset,
            text: Text::clone(&attempt.text),
            progress,
        }
    }

    /// Returns the streaming response.
    pub(super) fn response(self) -> Response {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        tokio::spawn(self.run(sender));
        web::streaming(receiver)
    }

    async fn run(mut self, out: mpsc::Sender<Bytes>) {
        let mut ready_sent = false;
        loop {
            let now = *self.progress.borrow_and_update();
            let mut lines = Vec::new();
            if now.ready && !ready_sent {
                ready_sent = true;
                push(&mut lines, &json!({ "imported": true }));
            }
            let ended = match now.end {
                _ if now.reader != self.number => {
                    push(&mut lines, &json!({ "superseded": true }));
                    true
                }
                end => {
                    self.push_tokens(&mut lines, now.produced);
                    if let Some(reason) = end {
                        let line = json!({ "end": true, "offset": now.produced, "reason": reason });
                        push(&mut lines, &line);
                    }
                    end.is_some()
                }
            };
            let gone = !lines.is_empty() && out.send(Bytes::from(lines)).await.is_err();
            if gone || ended {
                return;
            }
            tokio::select! {
                changed = self.progress.changed() => if changed.is_err() { return },
                () = out.closed() => return,
            }
        }
    }

    fn push_tokens(&mut self, lines: &mut Vec<u8>, produced: usize) {
        let Some(text) = self.text.get() else {
            return;
        };
        while self.next < produced {
            push(
                lines,
                &json!({ "offset": self.next, "text": text[self.next] }),
            );
            self.next += 1;
        }
    }
}

fn push(lines: &mut Vec<u8>, line: &Value) {
    lines.extend_from_slice(line.to_string().as_bytes());
    lines.push(b'\n');
}
