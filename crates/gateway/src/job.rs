//! A caller's request while it is served.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use bytes::Bytes;
use customer::list::Customer;
use customer::rank::Rank;
use customer::rank::Standing;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http::uri::PathAndQuery;
use http_body_util::Full;
use ident::Time;
use log::kv::Value;
use platform::caller;
use platform::caller::Call;
use platform::caller::ReplicaRequest;
use platform::caller::Task;
use relay::answer::Limits;
use relay::fingerprint::Content;
use relay::fingerprint::Fingerprint;
use relay::homes::Homes;
use relay::permit::Permit;
use relay::permit::RequestPermits;
use relay::permit::Work;
use relay::plan::Caller;
use relay::plan::Route;
use relay::runs::Size;
use relay::score::Version;
use relay::server::Key;
use tokio::sync::Notify;

use crate::memory;
use crate::probes::Suspect;
use crate::quota::charge::Charge;
use crate::shared::Shared;
use crate::shared::choice::Destination;
use crate::target::Owner;
use crate::target::Target;

/// A request that was read completely and has a route.
#[derive(Debug)]
pub struct Job {
    /// Parsed headers.
    pub call: Call,
    /// What of it replicas may crash on.
    pub content: Content,
    /// Route of the request.
    pub route: Route,
    /// Version of the plan that contains the route.
    pub plan: u64,
    /// Service that serves the request.
    pub service: String,
    /// Who the request belongs to.
    pub owner: Owner,
    /// Data centres in which it may be served.
    pub homes: Homes,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Memory of the body.
    pub body_charge: Option<memory::Charge>,
    /// When the head was read.
    pub arrived: Instant,
    /// When the answer has to be complete.
    pub deadline: Instant,
    /// Whether this is a retry after a refusal, too late for the objective.
    pub returned: bool,
    /// Whether it is a request of a customer with a quota that returned too late for the objective; also
    /// known for plain calls. Only its standing depends on it.
    pub late_return: bool,
    /// The time that the caller is told to wait if the request is refused.
    pub retry_after: Option<Duration>,
    /// Whether the head of a replica's answer was sent to the caller.
    pub response_started: Cell<bool>,
    /// Units taken from the customer's quota.
    pub charge: Option<Charge>,
    /// Permits for sends to replicas.
    pub permits: RefCell<RequestPermits>,
    /// Instance that handed the request over; `None` if it came from a caller.
    pub origin: Option<String>,
    /// Notified when the request is written to a replica.
    pub written: Notify,
    /// Whether no connection to a replica could be opened.
    pub missed_replica: Cell<bool>,
    /// Software version that brought the first event of the stream, in this attempt of the caller or
    /// in an earlier one.
    software: OnceCell<String>,
    /// Replicas that received the request, and how far they got.
    sent_to: RefCell<HashMap<Key, Progress>>,
    shared: Rc<Shared>,
    end_recorded: bool,
}

/// How far a replica got with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// It was to prefill the prompt.
    Reads,
    /// It was to answer.
    Begins,
    /// It has been writing the answer for a while.
    Writes,
}

/// Times of a request.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// When the head was read.
    pub arrived: Instant,
    /// When the answer has to be complete.
    pub deadline: Instant,
    /// Whether it is a retry after a refusal, too late for the objective.
    pub returned: bool,
}

impl Timing {
    /// Times of a request that a caller sent to `target` at `arrived`.
    pub fn of_caller(shared: &Shared, call: &Call, target: &Target, arrived: Instant) -> Self {
        let route = &target.route;
        let patience = call.timeout.unwrap_or(route.timeout).min(route.timeout);
        Self {
            arrived,
            deadline: arrived + patience,
            returned: shared.was_refused_before(route, &target.service, call.timeout),
        }
    }
}

impl Job {
    /// A request with its target.
    pub fn new(
        shared: &Rc<Shared>,
        call: Call,
        target: Target,
        fingerprint: Fingerprint,
        parts: http::request::Parts,
        body: Bytes,
        timing: Timing,
    ) -> Self {
        let Target {
            route,
            plan,
            service,
            owner,
            homes,
        } = target;
        let Timing {
            arrived,
            deadline,
            returned,
        } = timing;
        let content = Content::new(fingerprint, &service, &call.parts);
        Self {
            call,
            content,
            route,
            plan,
            service,
            owner,
            homes,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            body_charge: None,
            arrived,
            deadline,
            returned,
            late_return: false,
            retry_after: None,
            response_started: Cell::new(false),
            charge: None,
            permits: RefCell::new(RequestPermits::new()),
            origin: None,
            written: Notify::new(),
            missed_replica: Cell::new(false),
            software: OnceCell::new(),
            sent_to: RefCell::default(),
            shared: Rc::clone(shared),
            end_recorded: false,
        }
    }

    /// The same request, which the instance `origin` handed over.
    #[must_use]
    pub fn with_origin(mut self, origin: String) -> Self {
        self.origin = Some(origin);
        self
    }

    /// Where it may be served.
    pub fn destination(&self) -> Destination<'_> {
        Destination {
            service: &self.service,
            homes: self.homes.data_centres(),
            software: match self.software() {
                Some(software) => Version::Exactly(software),
                None if self.may_be_resumed() => Version::Listed,
                None => Version::Any,
            },
        }
    }

    /// Whether it is a stream that its caller may resume.
    pub const fn may_be_resumed(&self) -> bool {
        self.route.mode.streams() && self.route.mode.repeatable()
    }

    /// Software version that the stream is bound to, from its first event on; `None` before.
    pub fn software(&self) -> Option<&str> {
        self.software.get().map(String::as_str)
    }

    /// Binds the stream to the software version that brings its first event. Later calls have no
    /// effect.
    pub fn bind(&self, software: &str) {
        // The stream may be bound already.
        let _ = self.software.set(software.to_owned());
    }

    /// Time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time since the request arrived.
    pub fn age(&self) -> Duration {
        self.arrived.elapsed()
    }

    /// Takes the permit for a send, if the job holds one; see [`Shared::ensure_permit`].
    pub fn take_permit(&self, work: Work) -> Option<Permit> {
        self.permits.borrow_mut().take(work)
    }

    /// Records a send to the replica `key` that makes it do `work`; returns whether it is the first
    /// one there. Each attempt of a caller has its own id, so sends of other jobs do not matter.
    pub fn record_send(&self, key: Key, work: Work) -> bool {
        let progress = match work {
            Work::Read => Progress::Reads,
            Work::Run => Progress::Begins,
        };
        self.sent_to.borrow_mut().insert(key, progress).is_none()
    }

    /// Records that the replica `key` has been writing the answer for a while.
    pub fn record_writing(&self, key: Key) {
        self.sent_to.borrow_mut().insert(key, Progress::Writes);
    }

    /// What the replica `key` may have crashed on if it ended now. A part of a prompt crashes its
    /// replica as the answer begins.
    pub fn suspects(&self, key: Key) -> Vec<Suspect> {
        let whole = Suspect {
            fingerprint: self.content.whole,
            part: None,
        };
        let begins = self.sent_to.borrow().get(&key) == Some(&Progress::Begins);
        let parts = self.content.parts.iter().filter(|_| begins);
        let parts = parts.map(|part| Suspect {
            fingerprint: part.fingerprint,
            part: Some(part.id.clone()),
        });
        [whole].into_iter().chain(parts).collect()
    }

    /// Builds the request to `replica` for `task`.
    ///
    /// # Errors
    /// If the parts do not form a valid request.
    pub fn build_request(
        &self,
        replica: &str,
        task: Task,
        reservation: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let hop = ReplicaRequest {
            replica,
            time_left: self.time_left(),
            task,
            reservation,
            priority: self.told_priority(),
            caller: self.caller(),
        };
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(path_and_query(&self.uri))
            .body(Full::new(self.body.clone()))?;
        *request.headers_mut() = caller::replica_headers(&self.headers, &hop);
        Ok(request)
    }

    /// The customer that sent the request.
    pub fn customer(&self) -> Option<&Customer> {
        match &self.owner {
            Owner::Customer(customer, _) => Some(customer),
            Owner::Anyone | Owner::Public => None,
        }
    }

    /// Its rank: the customer's, else the route's.
    pub fn rank(&self) -> Rank {
        self.route.rank(self.own_priority())
    }

    /// Priority that replicas are told: the rank, if the settings say so and requests for the service
    /// differ in it by the plan in force; otherwise the customer's own priority, if any.
    fn told_priority(&self) -> Option<u8> {
        let plan = self.shared.plan();
        let has_ranks = plan.is_some_and(|plan| plan.has_ranks(&self.service));
        if has_ranks && self.shared.settings().placing.ranks {
            Some(self.rank().value())
        } else {
            self.own_priority()
        }
    }

    fn own_priority(&self) -> Option<u8> {
        self.customer().and_then(|customer| customer.priority)
    }

    /// Its place among the requests of its customer: the customer's own rank is the same for all of
    /// them, so the route's counts.
    pub fn standing(&self) -> Standing {
        let returned = self.returned || self.late_return;
        Standing::new(self.route.rank(None)).with_returned(returned)
    }

    /// Keeps the memory of the body charged.
    #[must_use]
    pub fn with_body_charge(mut self, charge: memory::Charge) -> Self {
        self.body_charge = Some(charge);
        self
    }

    fn caller(&self) -> Caller<'_> {
        match &self.owner {
            Owner::Anyone => Caller::Anyone,
            Owner::Public => Caller::Public,
            Owner::Customer(customer, _) => Caller::Customer(customer),
        }
    }

    /// Tokens of the prompt; 0 if the caller does not state them.
    pub fn prompt_tokens(&self) -> u64 {
        self.call.tokens.unwrap_or_default().0
    }

    /// Tokens of the prompt and the expected output.
    pub fn expected_tokens(&self) -> u64 {
        let size = self.size(0);
        size.prompt + size.estimate
    }

    /// What the generation needs at a decode replica after `generated` tokens.
    pub fn size(&self, generated: u64) -> Size {
        let (prompt, max_output) = self.call.tokens.unwrap_or_default();
        let estimate = self.call.expected_output.unwrap_or(max_output / 2);
        Size {
            prompt,
            estimate: estimate.min(max_output),
            max_tokens: max_output,
            generated,
        }
    }

    /// What the caller expects of the speed of the answer, whose events have `event_tokens`.
    pub fn limits(&self, now: Time, event_tokens: u64) -> Limits {
        Limits {
            deadline: now + self.time_left(),
            pause: self.route.pause,
            event_tokens,
        }
    }

    /// Records and logs how the request ended. One that was handed over is counted by the instance
    /// that its caller is connected to.
    pub fn end(&mut self, outcome: &'static str, status: u16, cause: &str) {
        self.end_recorded = true;
        let ms = self.age().as_millis() as u64;
        if let Some(origin) = &self.origin {
            self.shared.metrics.handoff("served");
            log::info!(kind = "handoff", request = self.call.id, service = self.service, origin = origin, outcome = outcome, status = status, ms = ms, cause = cause; "a request of a peer ended");
            return;
        }
        self.shared.metrics.request(outcome);
        let customer = self.customer().map_or("", |customer| &customer.name);
        self.shared.count_customer(customer, outcome);
        let standing = self.standing();
        if standing.returned {
            self.shared.metrics.quota.returned(standing, status);
        }
        let retry_after_ms = match self.retry_after {
            Some(time) => Value::from(time.as_millis() as u64),
            None => Value::from(""),
        };
        log::info!(kind = "end", request = self.call.id, customer = customer, rank = standing.rank.value(), returned = standing.returned, retry_after_ms = retry_after_ms, route = self.route.name, service = self.service, plan = self.plan, outcome = outcome, status = status, ms = ms, cause = cause; "request ended");
    }
}

/// Path and query of a request: the part of the URI that replicas receive, and that is part of the
/// fingerprint.
pub fn path_and_query(uri: &Uri) -> &str {
    uri.path_and_query().map_or("/", PathAndQuery::as_str)
}

impl Drop for Job {
    fn drop(&mut self) {
        if !self.end_recorded {
            self.end("caller-left", 0, "the caller closed the connection");
        }
    }
}
