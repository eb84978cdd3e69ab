//! What this daemon knows of the begins of streams, and its answers to others.

use relay::begins::Stream;

use crate::begins::message::Finding;
use crate::begins::message::Message;
use crate::shared::Shared;

/// What this daemon knows of the begin of `stream`, of `service`.
pub fn find(shared: &Shared, stream: Option<Stream>, service: &str) -> Finding {
    let now = shared.clock.now();
    let begins = shared.begins.borrow();
    let known = stream.and_then(|stream| begins.find(now, stream));
    match (known, shared.only_version(service)) {
        (Some(known), _) if known.is_begun => Finding::Began(known.software.to_owned()),
        (Some(known), _) => Finding::Sent {
            software: known.software.to_owned(),
            change: known.change,
        },
        (None, Some(only)) => Finding::Only(only),
        (None, None) => Finding::Unknown,
    }
}

/// Handles a message of another daemon; returns the answer to a question.
pub fn receive(shared: &Shared, message: Message) -> Option<Message> {
    match message {
        Message::Announcement(begins) => {
            let now = shared.clock.now();
            let mut known = shared.begins.borrow_mut();
            for begin in &begins {
                known.learn(now, begin);
            }
            None
        }
        Message::Question {
            number,
            stream,
            service,
        } => {
            let finding = find(shared, stream, &service);
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
