//! Answers to open connections.

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
    /// Answers of `call` go to `sender`.
    pub(super) fn insert(&mut self, call: CallId, sender: mpsc::Sender<CallerMessage>) {
        self.senders.insert(call, sender);
    }

    /// Forgets `call`; true if it was open.
    pub(super) fn remove(&mut self, call: CallId) -> bool {
        self.senders.remove(&call).is_some()
    }

    /// Passes `message` on; true if it was the last of `call`.
    ///
    /// A caller that does not read loses its connection: the channel is left full and closed
    /// without a last answer, the caller's task drops it and the core hears that the caller left.
    pub(super) fn send(&mut self, call: CallId, message: CallerMessage) -> bool {
        let last = is_last(&message);
        let Some(sender) = self.senders.get_mut(&call) else {
            return false;
        };
        if sender.try_send(message).is_err() {
            // Replaced by a closed channel, so that the entry stays until the connection closes.
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
