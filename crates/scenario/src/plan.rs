//! What a fleet consists of.

/// Daemons, replicas and links to start. Everything is named; names are unique over the plan.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Entry daemons.
    pub daemons: Vec<Daemon>,
    /// Model engines and plain applications.
    pub replicas: Vec<Replica>,
    /// Routes that lead through a controllable forwarder.
    pub links: Vec<Link>,
    /// Settings of the daemons that tests shorten.
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
    /// What it does.
    pub role: Role,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it refuses old fencing numbers.
    pub fences: bool,
    /// Further arguments for the stand-in program.
    pub args: Vec<String>,
}

/// What a replica does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Computes prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Answers ordinary calls.
    Plain,
}

/// A route from a daemon to another daemon, to a replica, or to the platform, which can be cut.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Link {
    /// The daemon that connects.
    pub from: String,
    /// Whom it connects to; [`PLATFORM`] names the platform.
    pub to: String,
}

/// The platform's name in a [`Link`] and in the fleet's calls.
pub const PLATFORM: &str = "platform";

/// Times in the daemons' settings, in milliseconds unless the name says otherwise.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// How long a table may be decided by without proof that it is the newest.
    pub lease_ms: u64,
    /// How long keys are remembered, in seconds.
    pub window_s: u64,
    /// How long callers may keep an address answer.
    pub address_ttl_ms: u64,
    /// How long an attempt may be without a live owner.
    pub orphan_grace_ms: u64,
    /// Time between two inspections of a replica.
    pub inspect_ms: u64,
    /// Time between two reads of the store.
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
    /// The word used in the platform's list and on the stand-ins' command lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Plain => "plain",
        }
    }
}

impl Replica {
    /// A replica with the slots usual for its role, which checks fencing numbers.
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

    /// The same with `slots` slots.
    #[must_use]
    pub const fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// The same, checking fencing numbers or ignoring them.
    #[must_use]
    pub const fn with_fences(mut self, fences: bool) -> Self {
        self.fences = fences;
        self
    }

    /// The same with a further argument for the stand-in program.
    #[must_use]
    pub fn with_arg(mut self, arg: &str) -> Self {
        self.args.push(arg.to_owned());
        self
    }
}

impl Plan {
    /// A plan with nothing but the platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// The same with a daemon.
    #[must_use]
    pub fn with_daemon(mut self, name: &str, data_centre: &str) -> Self {
        self.daemons.push(Daemon {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
        });
        self
    }

    /// The same with a replica.
    #[must_use]
    pub fn with_replica(mut self, replica: Replica) -> Self {
        self.replicas.push(replica);
        self
    }

    /// The same with a controllable route from daemon `from` to `to`.
    #[must_use]
    pub fn with_link(mut self, from: &str, to: &str) -> Self {
        self.links.push(Link {
            from: from.to_owned(),
            to: to.to_owned(),
        });
        self
    }

    /// The same with other times in the daemons' settings.
    #[must_use]
    pub const fn with_timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }
}
