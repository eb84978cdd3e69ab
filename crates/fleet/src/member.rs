//! Records of members.

use std::cmp::Ordering;

use ident::Incarnation;
use ident::Instance;
use ident::Zone;
use serde::Deserialize;
use serde::Serialize;

/// What is known of a member.
///
/// Ordered by how one claim overrides another at the same version of the same incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It answers, takes nothing new and finishes what is in progress.
    Leaving,
    /// It failed to answer and has not refuted that yet; it still counts as present.
    Suspect,
    /// It is gone, or so it was decided; final for the incarnation.
    Dead,
}

/// One run of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: Instance,
    /// The run of the instance.
    pub incarnation: Incarnation,
    /// When the run started, in milliseconds of the Unix clock; orders the runs of an instance.
    pub started: u64,
    /// The data centre.
    pub zone: Zone,
    /// What is known of it.
    pub state: State,
    /// Raised by the member itself each time it refutes a suspicion or begins to leave.
    pub version: u32,
}

impl Member {
    /// An upper bound on the encoded size of a record with `bincode`'s variable-length integers,
    /// in bytes: four 64-bit numbers of 9, the state of 1, the version of 5 at most.
    pub const MAX_ENCODED_BYTES: usize = 4 * 9 + 1 + 5;

    /// A live member at its first version.
    pub const fn new(
        instance: Instance,
        incarnation: Incarnation,
        started: u64,
        zone: Zone,
    ) -> Self {
        Self {
            instance,
            incarnation,
            started,
            zone,
            state: State::Alive,
            version: 0,
        }
    }

    /// The same member in `state`.
    #[must_use]
    pub const fn with_state(mut self, state: State) -> Self {
        self.state = state;
        self
    }

    /// Orders two runs of one instance by their start.
    pub fn run_order(&self, other: &Self) -> Ordering {
        let run = |member: &Self| (member.started, member.incarnation);
        run(self).cmp(&run(other))
    }

    /// Whether this claim overrides `held`, a record of the same incarnation.
    pub fn overrides(&self, held: &Self) -> bool {
        match (self.state, held.state) {
            (_, State::Dead) => false,
            (State::Dead, _) => true,
            _ => (self.version, self.state) > (held.version, held.state),
        }
    }
}
