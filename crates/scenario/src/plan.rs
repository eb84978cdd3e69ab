//! Describes the processes of a fleet and the links between them.

/// Daemons, replicas and links to start. All names in a plan are unique.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Entry daemons.
    pub daemons: Vec<Daemon>,
    /// Model engines and plain applications.
    pub replicas: Vec<Replica>,
    /// Routes that pass through a controllable forwarder.
    pub links: Vec<Link>,
    /// Time settings of the daemons.
    pub timing: Timing,
}

/// An entry daemon.
#[derive(Debug, Clone)]
pub struct Daemon {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
}

/// A stand-in for a backend server.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The model or plain application it serves.
    pub service: String,
    /// Its role.
    pub role: Role,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it refuses lower fencing numbers.
    pub fences: bool,
    /// Additional arguments of the stand-in program.
    pub args: Vec<String>,
}

/// Role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Prefills prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Answers ordinary calls.
    Plain,
}

/// A controllable route from a daemon to another daemon, to a replica, or to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Link {
    /// The daemon that connects.
    pub from: String,
    /// Name of the target; [`PLATFORM`] is the platform.
    pub to: String,
}

/// Name of the platform in a [`Link`] and in methods of the fleet.
pub const PLATFORM: &str = "platform";

/// Times in the daemons' settings, in milliseconds unless the name says otherwise.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Time for which a table may be used without proof that it is the newest.
    pub lease_ms: u64,
    /// Time for which keys are remembered, in seconds.
    pub window_s: u64,
    /// Time for which callers may cache addresses.
    pub address_ttl_ms: u64,
    /// Time for which an attempt may run without a live owner.
    pub orphan_grace_ms: u64,
    /// Interval between two inspections of a replica.
    pub inspect_ms: u64,
    /// Interval between two reads of the store.
    pub poll_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            window_s: 600,
            address_ttl_ms: 5_000,
            orphan_grace_ms: 4_000,
            inspect_ms: 250,
            poll_ms: 500,
        }
    }
}

impl Role {
    /// Returns the name used in the platform's list and on command lines of stand-ins.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Plain => "plain",
        }
    }
}

impl Replica {
    /// Creates a replica with the default slots of its role, which enforces fencing numbers.
    pub fn new(name: &str, data_centre: &str, service: &str, role: Role) -> Self {
        let slots = match role {
            Role::Prefill => 8,
            Role::Decode => 20,
            Role::Plain => 32,
        };
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            service: service.to_owned(),
            role,
            slots,
            fences: true,
            args: Vec::new(),
        }
    }

    /// Sets the number of slots.
    #[must_use]
    pub const fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets whether fencing numbers are enforced.
    #[must_use]
    pub const fn with_fences(mut self, fences: bool) -> Self {
        self.fences = fences;
        self
    }

    /// Adds an argument of the stand-in program.
    #[must_use]
    pub fn with_arg(mut self, arg: &str) -> Self {
        self.args.push(arg.to_owned());
        self
    }
}

impl Plan {
    /// Creates a plan with only the platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a daemon.
    #[must_use]
    pub fn with_daemon(mut self, name: &str, data_centre: &str) -> Self {
        self.daemons.push(Daemon {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
        });
        self
    }

    /// Adds a replica.
    #[must_use]
    pub fn with_replica(mut self, replica: Replica) -> Self {
        self.replicas.push(replica);
        self
    }

    /// Adds a controllable route from daemon `from` to `to`.
    #[must_use]
    pub fn with_link(mut self, from: &str, to: &str) -> Self {
        self.links.push(Link {
            from: from.to_owned(),
            to: to.to_owned(),
        });
        self
    }

    /// Sets the time settings of the daemons.
    #[must_use]
    pub const fn with_timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }
}
