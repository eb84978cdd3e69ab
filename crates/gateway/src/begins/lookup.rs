//! What this daemon knows of the begins of streams, and its answers to others.

use relay::begins::Begin;
use relay::begins::Stream;

use crate::begins::message::Finding;
use crate::begins::message::Message;
use crate::shared::Shared;

/// What this daemon has recorded of the begin of `stream`.
pub fn find(shared: &Shared, stream: Option<Stream>) -> Finding {
    let now = shared.clock.now();
    let begins = shared.begins.borrow();
    let software = stream.and_then(|stream| begins.find(now, stream));
    software.map_or(Finding::Unknown, |software| {
        Finding::Began(software.to_owned())
    })
}

/// Records a begin that another daemon announced or saved.
pub fn learn(shared: &Shared, begin: &Begin) {
    let now = shared.clock.now();
    if shared.begins.borrow_mut().learn(now, begin).is_err() {
        log::error!(kind = "begin", stream = begin.stream.0, software = begin.software; "a stream is recorded as begun by another software version");
    }
}

/// Handles a message of another daemon; returns the answer to a question.
pub fn receive(shared: &Shared, message: Message) -> Option<Message> {
    match message {
        Message::Begun(begins) => {
            for begin in &begins {
                learn(shared, begin);
            }
            None
        }
        Message::Sent(_) => None,
        Message::Question { number, stream, .. } => {
            let finding = find(shared, stream);
            Some(Message::Answer { number, finding })
        }
        Message::Answer { number, finding } => {
            let questions = shared.begin_questions.borrow();
            if let Some(question) = questions.get(&number) {
                // The question may have been answered just now.
                let _ = question.send(finding);
            }
            None
        }
    }
}
