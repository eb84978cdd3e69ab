//! Types of the processes and links that a scenario starts.

use serde::Deserialize;

use crate::plan;
use crate::plan::Plan;
use crate::plan::Timing;

/// Data centres over which daemons and replicas are spread.
const DATA_CENTRES: [&str; 3] = ["osijek-a", "vinkovci-b", "dakovo-c"];

/// Daemons, stand-ins and the links between them.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Names of the daemons, which are assigned to the data centres in turn.
    pub daemons: Vec<String>,
    /// Backend servers.
    pub replicas: Vec<Replica>,
    /// Routes that pass through the forwarder and can be cut.
    #[serde(default)]
    pub links: Vec<Between>,
    /// Times in the daemons' settings.
    #[serde(default)]
    pub timing: Times,
}

/// A backend server.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Its name.
    pub name: String,
    /// The model or plain application.
    pub service: String,
    /// Its role.
    pub role: Role,
    /// Maximum number of concurrent requests.
    pub slots: Option<u32>,
    /// Whether it refuses lower fencing numbers.
    #[serde(default = "yes")]
    pub fences: bool,
    /// Additional arguments of the stand-in program.
    #[serde(default)]
    pub args: Vec<String>,
}

/// Role of a replica.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefills prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Answers ordinary calls.
    Plain,
}

/// All routes, in both directions, between one daemon and other processes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Between {
    /// A daemon.
    pub between: String,
    /// Daemons, replicas or `platform`.
    pub and: Vec<String>,
}

/// Times that differ from the defaults of scenarios, in milliseconds unless named otherwise.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Times {
    lease_ms: Option<u64>,
    window_s: Option<u64>,
    address_ttl_ms: Option<u64>,
    orphan_grace_ms: Option<u64>,
}

const fn yes() -> bool {
    true
}

impl Start {
    /// Returns the plan of the fleet.
    pub fn plan(&self) -> Plan {
        let mut plan = Plan::new().with_timing(self.timing.timing());
        for (index, name) in self.daemons.iter().enumerate() {
            plan = plan.with_daemon(name, data_centre(index));
        }
        for (index, replica) in self.replicas.iter().enumerate() {
            plan = plan.with_replica(replica.plan(data_centre(index)));
        }
        for (from, to) in self.links.iter().flat_map(|link| self.routes(link)) {
            plan = plan.with_link(&from, &to);
        }
        plan
    }

    /// Returns the routes of `link` that start at a daemon.
    pub fn routes(&self, link: &Between) -> Vec<(String, String)> {
        let near = &link.between;
        let there = link.and.iter().map(|far| (near.clone(), far.clone()));
        let back = link.and.iter().map(|far| (far.clone(), near.clone()));
        there
            .chain(back)
            .filter(|(from, _)| self.daemons.contains(from))
            .collect()
    }
}

impl Replica {
    fn plan(&self, data_centre: &str) -> plan::Replica {
        let role = match self.role {
            Role::Prefill => plan::Role::Prefill,
            Role::Decode => plan::Role::Decode,
            Role::Plain => plan::Role::Plain,
        };
        let usual = plan::Replica::new(&self.name, data_centre, &self.service, role);
        let slots = self.slots.unwrap_or(usual.slots);
        let sized = usual.with_slots(slots).with_fences(self.fences);
        self.args
            .iter()
            .fold(sized, |replica, arg| replica.with_arg(arg))
    }
}

impl Times {
    /// Returns the times of the daemons, shorter than the defaults to keep scenarios short.
    fn timing(&self) -> Timing {
        let usual = Timing::default();
        Timing {
            lease_ms: self.lease_ms.unwrap_or(2_000),
            window_s: self.window_s.unwrap_or(usual.window_s),
            address_ttl_ms: self.address_ttl_ms.unwrap_or(1_000),
            orphan_grace_ms: self.orphan_grace_ms.unwrap_or(1_500),
            ..usual
        }
    }
}

fn data_centre(index: usize) -> &'static str {
    DATA_CENTRES[index % DATA_CENTRES.len()]
}
