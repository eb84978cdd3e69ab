//! The configuration in force: routes, services and limits.

mod range;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::OnceLock;
use std::time::Duration;

use customer::digest::Digest;
use customer::list::Customer;
use customer::list::CustomerList;
use customer::rank::Rank;
use serde::Deserialize;
use serde::Serialize;

/// A complete version of the configuration.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Increases with each version.
    pub version: u64,
    /// Routes, looked up by [`Plan::route`].
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Limits on requests of callers.
    pub limits: Limits,
    /// Customers; `None` if callers need no API key.
    pub customers: Option<CustomerList>,
    /// Indices of the routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Services whose requests differ in rank. Daemons exchange plans without it.
    #[serde(skip)]
    ranked: OnceLock<HashSet<String>>,
}

/// Maps the requests of one host and path prefix to services.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Host name in lower case.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Which requests may be repeated.
    pub mode: Mode,
    /// Maximum time until a caller has a complete answer.
    pub timeout: Duration,
    /// Time within which an answer is in time; for streams, the first event.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is in time; `None` if pauses are not
    /// limited.
    pub pause: Option<Duration>,
    /// Priority among the routes of one service; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the route, by weight.
    pub targets: Vec<Target>,
    /// Maximum number of replicas that may run one request.
    pub max_attempts: u32,
    /// Whether callers need no API key although there are customers.
    pub public: bool,
    /// Regions in which its requests may be served; empty if they may be served anywhere.
    pub homes: Vec<String>,
}

/// The customer of a request, or why it has none.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Caller<'a> {
    /// There are no customers.
    Anyone,
    /// The route is public.
    Public,
    /// The customer that holds the API key of the request.
    Customer(&'a Customer),
}

/// Why a request is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// It has no API key, or more than one.
    NoKey,
    /// No customer holds its API key.
    UnknownKey,
}

/// Whether and how a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// May run any number of times with the same effect.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Answers with events. If `resumable`, another replica can resume the stream after an event;
    /// otherwise the request runs at most once.
    Stream {
        /// Whether another replica can resume the stream after the last event.
        resumable: bool,
    },
}

impl Mode {
    /// Whether a request that may have run may be sent again.
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub const fn streams(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service of a route.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the sum of the weights.
    pub weight: u32,
}

/// A group of interchangeable replicas.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Service {
    /// What its replicas tolerate while they are cold; `None` if they have no limit then.
    pub cold_start: Option<ColdStart>,
    /// Properties of its model engines; `None` for a plain application.
    pub engine: Option<Engine>,
}

/// What a replica tolerates while it is cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a replica stays cold after its start.
    pub duration: Duration,
    /// Maximum requests per second; a replica that gets many more crashes.
    pub max_rate: f64,
}

/// Properties of the model engines of a service.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Engine {
    /// Tokens that the memory of one replica holds.
    pub memory_tokens: u64,
    /// Time that a replica takes to change its stage.
    pub stage_change: Duration,
    /// Longest time for which memory can be reserved; zero if reservations are not supported.
    pub max_reservation: Duration,
    /// Whether a run's KV cache can be moved to another engine.
    pub moves: bool,
    /// Tokens per event of a stream; the last event may have fewer.
    pub event_tokens: u64,
}

/// Limits on requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum bytes of a request's head.
    pub header_bytes: usize,
    /// Maximum bytes of a request's body.
    pub body_bytes: usize,
    /// Maximum time for a request's head, from its first byte.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits that apply until a plan is known.
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
    /// Creates a plan without customers.
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
            ranked: OnceLock::new(),
        }
    }

    /// Whether requests of one customer differ in rank by the routes that it may use. A rank of its
    /// own is the same for all of them.
    pub fn route_ranks_differ(&self) -> bool {
        let mut ranks = self.routes.iter().filter(|route| !route.public);
        let first = ranks.next().map(|route| route.rank(None));
        ranks.any(|route| Some(route.rank(None)) != first)
    }

    /// Returns the plan with `customers`, whose API keys callers need.
    #[must_use]
    pub fn with_customers(self, customers: CustomerList) -> Self {
        Self {
            customers: Some(customers),
            ranked: OnceLock::new(),
            ..self
        }
    }

    /// Whether requests for `service` can differ in rank, through their routes or their customers.
    pub fn has_ranks(&self, service: &str) -> bool {
        let services = || ranked_services(&self.routes, self.customers.as_ref());
        self.ranked.get_or_init(services).contains(service)
    }

    /// Returns the caller of a request on `route` with the API key `key`.
    ///
    /// # Errors
    /// [`Denied`] if the route needs a key and no customer holds `key`.
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

    /// Returns the route of `path` at `host`: the one with the longest matching prefix.
    ///
    /// The port and the case of `host` are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let mut routes = self.routes_of(host);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// The routes of `host`, longest prefix first.
    ///
    /// The port and the case of `host` are ignored.
    pub fn routes_of(&self, host: &str) -> impl Iterator<Item = &Route> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let indices = self.by_host.get(&name).into_iter().flatten();
        indices.map(|index| &self.routes[*index])
    }
}

/// The services whose requests have more than one rank.
fn ranked_services(routes: &[Route], customers: Option<&CustomerList>) -> HashSet<String> {
    let own_ranks = customers.into_iter().flat_map(CustomerList::iter);
    let own_ranks: BTreeSet<Option<u8>> = own_ranks.map(|customer| customer.priority).collect();
    let mut by_service: HashMap<&str, BTreeSet<Rank>> = HashMap::new();
    for route in routes {
        let ranks = match customers {
            Some(_) if !route.public => {
                let ranks = own_ranks.iter().map(|own| route.rank(*own));
                ranks.collect()
            }
            _ => vec![route.rank(None)],
        };
        for target in &route.targets {
            let known = by_service.entry(&target.service).or_default();
            known.extend(&ranks);
        }
    }
    let ranked = by_service.into_iter().filter(|(_, ranks)| ranks.len() > 1);
    ranked.map(|(service, _)| service.to_owned()).collect()
}

impl Route {
    /// Rank of a request on this route whose customer has the priority `own`, if any.
    pub fn rank(&self, own: Option<u8>) -> Rank {
        Rank::new(own.unwrap_or(self.priority))
    }

    /// Whether some of its requests are for `service`.
    pub fn serves(&self, service: &str) -> bool {
        self.targets.iter().any(|target| target.service == service)
    }

    /// Returns the service for a request, given `draw`, a random number uniform in `0.0..1.0`.
    pub fn target(&self, draw: f64) -> Option<&str> {
        let weights = self.targets.iter().map(|target| f64::from(target.weight));
        let mut left = draw * weights.sum::<f64>();
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| target.service.as_str())
    }
}
