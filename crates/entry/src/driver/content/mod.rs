//! Request bodies and generated text, which the core does not see.

mod text;

use std::collections::HashMap;
use std::collections::VecDeque;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use ident::Handle;
use node::ids::CallId;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::budget::Grant;
use crate::driver::content::text::GeneratedText;

/// Most bytes kept for requests whose caller has been answered or has left.
const MAX_CLOSED_BYTES: usize = 32 << 20;
/// Most such requests.
const MAX_CLOSED_COUNT: usize = 4_096;

new_key_type! {
    /// A text that is being generated.
    struct TextKey;
}

/// The body of a plain call.
#[derive(Debug, Clone)]
pub struct Plain {
    /// The method.
    pub method: Method,
    /// Path and query, as the application gets them.
    pub path: String,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The idempotency key, if the caller gave one.
    pub key: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// What a caller sent.
#[derive(Debug, Clone)]
pub enum Content {
    /// A prompt.
    Prompt(String),
    /// A plain call.
    Plain(Plain),
}

impl Content {
    fn len(&self) -> usize {
        match self {
            Self::Prompt(text) => text.len(),
            Self::Plain(plain) => plain.body.len() + plain.path.len(),
        }
    }
}

/// What is kept under one call.
#[derive(Debug)]
struct StoredContent {
    content: Content,
    text: Option<TextKey>,
    // Gives the bytes back to the budget when the record is dropped.
    _grant: Grant,
}

/// Everything kept for the core under the numbers of calls.
///
/// A request may go on after its caller left, so its content is not dropped then; it joins a queue
/// of bounded size and is dropped when newer ones push it out. An order whose content is gone
/// fails as not sent.
///
/// The text generated for a request belongs to all calls that ask for the same answer: the first
/// one, whose prompt was prefilled, and repeats, which are told the head of the same attempt.
#[derive(Debug, Default)]
pub struct ContentStore {
    records: HashMap<CallId, StoredContent>,
    texts: SlotMap<TextKey, GeneratedText>,
    handles: HashMap<Handle, TextKey>,
    closed: VecDeque<(CallId, usize)>,
    closed_bytes: usize,
}

impl ContentStore {
    /// An empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps `content` under `call`.
    pub fn insert(&mut self, call: CallId, content: Content, grant: Grant) {
        self.records.insert(
            call,
            StoredContent {
                content,
                text: None,
                _grant: grant,
            },
        );
    }

    /// The caller of `call` needs no more answers; its content may go when space is short.
    pub fn close(&mut self, call: CallId) {
        let Some(len) = self.len(call) else {
            return;
        };
        self.closed.push_back((call, len));
        self.closed_bytes += len;
        while self.closed_bytes > MAX_CLOSED_BYTES || self.closed.len() > MAX_CLOSED_COUNT {
            self.evict_oldest();
        }
    }

    /// The content kept under `call`.
    pub fn content(&self, call: CallId) -> Option<&Content> {
        self.records.get(&call).map(|record| &record.content)
    }

    /// The first `count` tokens generated for `call`, if so many are known.
    pub fn tokens(&self, call: CallId, count: u32) -> Option<Vec<String>> {
        let text = self
            .records
            .get(&call)?
            .text
            .and_then(|key| self.texts.get(key));
        match text {
            Some(text) => text.first_tokens(count),
            None => (count == 0).then(Vec::new),
        }
    }

    /// `handle` is a new attempt at the request kept under `call`.
    pub fn add_attempt(&mut self, handle: Handle, call: CallId) {
        let Some(record) = self.records.get_mut(&call) else {
            return;
        };
        let key = *record
            .text
            .get_or_insert_with(|| self.texts.insert(GeneratedText::with_one_user()));
        self.texts[key].handles.push(handle);
        self.handles.insert(handle, key);
    }

    /// `call` reads the answer that the attempt `handle` generates.
    pub fn add_reader(&mut self, call: CallId, handle: Handle) {
        match (self.records.get_mut(&call), self.handles.get(&handle)) {
            (Some(record), Some(key)) if record.text.is_none() => {
                record.text = Some(*key);
                self.texts[*key].users += 1;
            }
            _ => {}
        }
    }

    /// Appends text that the attempt `handle` generated.
    pub fn append(&mut self, handle: Handle, offset: u32, text: &[u8]) {
        if let Some(key) = self.handles.get(&handle) {
            self.texts[*key].push(offset, text);
        }
    }

    fn len(&self, call: CallId) -> Option<usize> {
        let record = self.records.get(&call)?;
        let text = record.text.map_or(0, |key| self.texts[key].len());
        Some(record.content.len() + text)
    }

    fn evict_oldest(&mut self) {
        let Some((call, len)) = self.closed.pop_front() else {
            return;
        };
        self.closed_bytes -= len;
        if let Some(key) = self.records.remove(&call).and_then(|record| record.text) {
            self.release_text(key);
        }
    }

    fn release_text(&mut self, key: TextKey) {
        self.texts[key].users -= 1;
        if self.texts[key].users > 0 {
            return;
        }
        let handles = self.texts.remove(key).map(|text| text.handles);
        for handle in handles.into_iter().flatten() {
            self.handles.remove(&handle);
        }
    }
}
