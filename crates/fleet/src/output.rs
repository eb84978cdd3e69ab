//! Outputs of a protocol step, for the driver to act on.

use ident::Instance;

use crate::Member;
use crate::Message;
use crate::member::State;

/// A message to send or a change of membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send `message` to `to`; it may be lost, duplicated or reordered.
    Send {
        /// The receiver.
        to: Instance,
        /// The message.
        message: Message,
    },
    /// A member appeared or its state changed. If both states are `Suspect`, it went out of reach
    /// without being declared dead.
    Changed {
        /// The member with its new state.
        member: Member,
        /// Its previous state; `None` if it was unknown.
        before: Option<State>,
    },
}
