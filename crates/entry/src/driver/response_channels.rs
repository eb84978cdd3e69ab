//! Sends answers to open connections.

use std::collections::HashMap;

use node::action::CallerMessage;
use node::ids::CallId;
use tokio::sync::mpsc;

/// The response channels of open connections.
#[derive(Debug, Default)]
pub(super) struct ResponseChannels {
    senders: HashMap<CallId, mpsc::Sender<CallerMessage>>,
}

impl ResponseChannels {
    /// Registers `sender` for the answers of `call`.
    pub(super) fn insert(&mut self, call: CallId, sender: mpsc::Sender<CallerMessage>) {
        self.senders.insert(call, sender);
    }

    /// Removes `call`; true if it was open.
    pub(super) fn remove(&mut self, call: CallId) -> bool {
        self.senders.remove(&call).is_some()
    }

    /// Sends `message` to the caller; true if it was the last one of `call`.
    ///
    /// A caller that does not read loses its connection: its full channel is closed without a last
    /// answer, and when the caller's task drops it, the core is notified of the disconnect.
    pub(super) fn send(&mut self, call: CallId, message: CallerMessage) -> bool {
        let last = is_last(&message);
        let Some(sender) = self.senders.get_mut(&call) else {
            return false;
        };
        if sender.try_send(message).is_err() {
            // A closed channel keeps the entry until the connection closes.
            *sender = mpsc::channel(1).0;
        }
        last && self.remove(call)
    }
}

const fn is_last(message: &CallerMessage) -> bool {
    match message {
        CallerMessage::Head { .. } | CallerMessage::Tokens { .. } => false,
        CallerMessage::Done { .. }
        | CallerMessage::Superseded
        | CallerMessage::Answer { .. }
        | CallerMessage::Refusal(_)
        | CallerMessage::Edit(_) => true,
    }
}
