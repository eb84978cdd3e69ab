//! The configuration in force: routes, services and limits.

use std::collections::HashMap;
use std::time::Duration;

use customer::digest::Digest;
use customer::list::Customer;
use customer::list::CustomerList;
use serde::Deserialize;
use serde::Serialize;

/// One version of the configuration, complete.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Rises with each version.
    pub version: u64,
    /// All routes; looked up by [`Plan::route`].
    pub routes: Vec<Route>,
    /// All services, by name.
    pub services: HashMap<String, Service>,
    /// Bounds on what a caller may send.
    pub limits: Limits,
    /// The customers; `None` where callers need no API key.
    pub customers: Option<CustomerList>,
    /// Indices of the routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
}

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Host that callers name, in lower case.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub mode: Mode,
    /// Longest time that a caller is kept waiting for a complete answer.
    pub timeout: Duration,
    /// Time within which an answer is on time; for streams, its first event.
    pub objective: Duration,
    /// Longest pause between two events with which a stream is on time; `None` if any is.
    pub pause: Option<Duration>,
    /// Rank among routes of one service; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the route, by weight.
    pub targets: Vec<Target>,
    /// Replicas that may run one request.
    pub max_attempts: u32,
    /// Whether callers need no API key, though there are customers.
    pub public: bool,
}

/// Whose a request is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Caller<'a> {
    /// Nobody's in particular: there are no customers.
    Anyone,
    /// Nobody's in particular: its route is public.
    Public,
    /// A customer's.
    Customer(&'a Customer),
}

/// Why a request is nobody's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// It has no API key, or not just one.
    NoKey,
    /// No customer holds its API key.
    UnknownKey,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// Runs any number of times with the same effect.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Answers with events; goes on at another replica after an event if `resumable`, else runs
    /// at most once.
    Stream {
        /// Whether another replica may go on after the last event.
        resumable: bool,
    },
}

impl Mode {
    /// Whether a request that may have run may be sent again.
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a series of events.
    pub const fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One of the services of a route.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Its share of the requests, against the sum of the weights.
    pub weight: u32,
}

/// A set of replicas with one job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Service {
    /// Figures of its model engines; `None` for a plain application.
    pub engine: Option<Engine>,
}

/// Figures of the model engines of a service.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Engine {
    /// Tokens that the memory of one replica holds.
    pub memory_tokens: u64,
    /// Time that a replica takes to change its stage.
    pub stage_change: Duration,
    /// Longest time for which memory can be reserved; zero where it cannot.
    pub max_reservation: Duration,
    /// Whether the memory of a run can be moved to another engine.
    pub moves: bool,
    /// Tokens in one event of a stream; the last one may have fewer.
    pub event_tokens: u64,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head, from its first byte.
    pub header_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Bounds for the time before a plan is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Plan {
    /// A plan of `routes` and `services`.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<String, Service>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        Self {
            version,
            routes,
            services,
            limits,
            customers: None,
            by_host,
        }
    }

    /// The same with `customers`, whose API keys callers need.
    #[must_use]
    pub fn with_customers(self, customers: CustomerList) -> Self {
        Self {
            customers: Some(customers),
            ..self
        }
    }

    /// Whose request on `route` with `key` is.
    ///
    /// # Errors
    /// [`Denied`] if no customer holds the key that the route needs.
    pub fn caller(&self, route: &Route, key: Option<Digest>) -> Result<Caller<'_>, Denied> {
        match (&self.customers, key) {
            (None, _) => Ok(Caller::Anyone),
            (Some(_), _) if route.public => Ok(Caller::Public),
            (Some(customers), Some(key)) => {
                let holder = customers.holder(key);
                holder.map(Caller::Customer).ok_or(Denied::UnknownKey)
            }
            (Some(_), None) => Err(Denied::NoKey),
        }
    }

    /// The route of `path` at `host`: the longest prefix that begins the path.
    ///
    /// `host` may carry a port and capitals; neither counts.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let indices = self.by_host.get(&name)?;
        let mut routes = indices.iter().map(|index| &self.routes[*index]);
        routes.find(|route| path.starts_with(&route.prefix))
    }
}

impl Route {
    /// The service for a request that drew `draw`, evenly distributed in `0.0..1.0`.
    pub fn target(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| target.service.as_str())
    }
}
