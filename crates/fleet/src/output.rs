//! What a step puts out.

use ident::Instance;

use crate::Member;
use crate::Message;
use crate::member::State;

/// One output.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send `message` to `to`; it may be lost, duplicated or reordered.
    Send {
        /// The receiver.
        to: Instance,
        /// The message.
        message: Message,
    },
    /// A member appeared, its state changed, or (both states `Suspect`) it went out of reach
    /// without being declared dead.
    Changed {
        /// The member with its new state.
        member: Member,
        /// Its state before; `None` if it was not known.
        before: Option<State>,
    },
}
