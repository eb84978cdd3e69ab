//! One request of a caller while it is served.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use boottime::Instant;
use bytes::Bytes;
use customer::list::Customer;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http::uri::PathAndQuery;
use http_body_util::Full;
use platform::caller;
use platform::caller::Call;
use platform::caller::Hop;
use platform::caller::Task;
use relay::fingerprint::Fingerprint;
use relay::permit::Permit;
use relay::permit::RequestPermits;
use relay::permit::Work;
use relay::plan::Caller;
use relay::plan::Route;
use relay::runs::Size;
use relay::server::Key;

use crate::quota::charge::Charge;
use crate::shared::Shared;
use crate::target::Owner;
use crate::target::Target;

/// A request that was read in full and found its route.
#[derive(Debug)]
pub struct Job {
    /// What its headers say.
    pub call: Call,
    /// What is the same for all attempts with this request.
    pub fingerprint: Fingerprint,
    /// Its route.
    pub route: Route,
    /// Version of the plan that the route is of.
    pub plan: u64,
    /// The service that is to serve it.
    pub service: String,
    /// Whose it is.
    pub owner: Owner,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When its head was read.
    pub arrived: Instant,
    /// When the answer has to be complete.
    pub deadline: Instant,
    /// Whether its caller was refused before and has come back, too late for the objective.
    pub returned: bool,
    /// Whether the caller has got the head of a replica's answer.
    pub answering: Cell<bool>,
    /// What it takes from its customer's quota.
    pub charge: Option<Charge>,
    /// Leave for sends to replicas.
    pub allowance: RefCell<RequestPermits>,
    /// Replicas that it was sent to.
    sent_to: RefCell<HashSet<Key>>,
    shared: Rc<Shared>,
    done: bool,
}

impl Job {
    /// A request that arrived at `arrived`.
    pub fn new(
        shared: &Rc<Shared>,
        call: Call,
        target: Target,
        fingerprint: Fingerprint,
        parts: http::request::Parts,
        body: Bytes,
        arrived: Instant,
    ) -> Self {
        let Target {
            route,
            plan,
            service,
            owner,
        } = target;
        let returned = shared.was_refused_before(&route, &service, call.patience);
        let patience = call.patience.unwrap_or(route.timeout).min(route.timeout);
        Self {
            call,
            fingerprint,
            route,
            plan,
            service,
            owner,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            arrived,
            deadline: arrived + patience,
            returned,
            answering: Cell::new(false),
            charge: None,
            allowance: RefCell::new(RequestPermits::new()),
            sent_to: RefCell::default(),
            shared: Rc::clone(shared),
            done: false,
        }
    }

    /// Time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time since the request arrived.
    pub fn age(&self) -> Duration {
        self.arrived.elapsed()
    }

    /// Takes the permit for a send, if one is held; see [`Shared::ensure_permit`].
    pub fn permit(&self, work: Work) -> Option<Permit> {
        self.allowance.borrow_mut().take(work)
    }

    /// Notes a send to the replica `key`; whether it is the first one there. Callers give each of their attempts an id of
    /// its own, so that sends of other jobs need not be known.
    pub fn is_first_send(&self, key: Key) -> bool {
        self.sent_to.borrow_mut().insert(key)
    }

    /// The request for `replica`, which is to do `task`.
    ///
    /// # Errors
    /// If its parts make no request.
    pub fn request(
        &self,
        replica: &str,
        task: Task,
        reservation: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let hop = Hop {
            replica,
            left: self.left(),
            task,
            reservation,
            priority: self.customer().and_then(|customer| customer.priority),
            owner: self.caller(),
        };
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(path(&self.uri))
            .body(Full::new(self.body.clone()))?;
        *request.headers_mut() = caller::headers(&self.headers, &hop);
        Ok(request)
    }

    /// The customer whose it is.
    pub fn customer(&self) -> Option<&Customer> {
        match &self.owner {
            Owner::Customer(customer, _) => Some(customer),
            Owner::Anyone | Owner::Public => None,
        }
    }

    /// Its rank; 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let own = self.customer().and_then(|customer| customer.priority);
        own.unwrap_or(self.route.priority)
    }

    fn caller(&self) -> Caller<'_> {
        match &self.owner {
            Owner::Anyone => Caller::Anyone,
            Owner::Public => Caller::Public,
            Owner::Customer(customer, _) => Caller::Customer(customer),
        }
    }

    /// Tokens of the prompt; 0 if the caller does not tell.
    pub fn prompt(&self) -> u64 {
        self.call.tokens.unwrap_or_default().0
    }

    /// Tokens of the prompt and, as far as can be told, of the answer.
    pub fn tokens(&self) -> u64 {
        let size = self.size(0);
        size.prompt + size.estimate
    }

    /// What the generation asks of a decode replica, after `generated` tokens were generated.
    pub fn size(&self, generated: u64) -> Size {
        let (prompt, max_tokens) = self.call.tokens.unwrap_or_default();
        let estimate = self.call.expected_output.unwrap_or(max_tokens / 2);
        Size {
            prompt,
            estimate: estimate.min(max_tokens),
            max_tokens,
            generated,
        }
    }

    /// Notes how the request ended.
    pub fn end(&mut self, outcome: &'static str, status: u16, cause: &str) {
        self.done = true;
        let ms = self.age().as_millis() as u64;
        self.shared.metrics.request(outcome);
        let customer = self.customer().map_or("", |customer| &customer.name);
        self.shared.count_customer(customer, outcome);
        log::info!(kind = "end", request = self.call.id, customer = customer, route = self.route.name, service = self.service, plan = self.plan, outcome = outcome, status = status, ms = ms, cause = cause; "request ended");
    }
}

/// Path and query of a request: what replicas are sent of its URI, and what tells it from others.
pub fn path(uri: &Uri) -> &str {
    uri.path_and_query().map_or("/", PathAndQuery::as_str)
}

impl Drop for Job {
    fn drop(&mut self) {
        if !self.done {
            self.end("caller-left", 0, "the caller closed the connection");
        }
    }
}
