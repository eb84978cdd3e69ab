//! Answers that replicas are writing, by the shared parts of their prompts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use relay::fingerprint::Content;
use relay::fingerprint::Fingerprint;
use relay::server::Key;
use slotmap::DefaultKey;
use slotmap::SlotMap;

/// An answer that a replica is writing.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The replica.
    pub key: Key,
    /// When its first event arrived.
    begun: Instant,
    parts: Vec<Fingerprint>,
}

/// All answers that replicas are writing.
#[derive(Debug, Default)]
pub struct Answers {
    answers: RefCell<SlotMap<DefaultKey, Answer>>,
}

impl Answers {
    /// No answers.
    pub fn new() -> Self {
        Self::default()
    }

    /// An answer to a prompt with `part` that began at least `age` ago.
    pub fn find(&self, part: Fingerprint, age: Duration) -> Option<(DefaultKey, Key)> {
        let answers = self.answers.borrow();
        let has_part = |answer: &Answer| answer.parts.contains(&part);
        let mut old = answers
            .iter()
            .filter(|(_, answer)| answer.begun.elapsed() >= age);
        let found = old.find(|(_, answer)| has_part(answer));
        found.map(|(id, answer)| (id, answer.key))
    }

    /// Whether the answer is still being written.
    pub fn contains(&self, id: DefaultKey) -> bool {
        self.answers.borrow().contains_key(id)
    }
}

/// An answer that is being written; no longer when this is dropped.
#[derive(Debug)]
pub struct OpenAnswer {
    answers: Rc<Answers>,
    id: DefaultKey,
}

impl OpenAnswer {
    /// Adds to `answers` that of the replica `key` to a request with `content`; its first event has
    /// arrived.
    pub fn new(answers: &Rc<Answers>, key: Key, content: &Content) -> Self {
        let parts = content.parts.iter().map(|part| part.fingerprint);
        let answer = Answer {
            key,
            begun: Instant::now(),
            parts: parts.collect(),
        };
        Self {
            answers: Rc::clone(answers),
            id: answers.answers.borrow_mut().insert(answer),
        }
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.answers.answers.borrow_mut().remove(self.id);
    }
}
