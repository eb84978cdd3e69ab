//! Finds the service that a request is routed to.

use std::rc::Rc;

use customer::digest::Digest;
use customer::list::Customer;
use relay::homes::Homes;
use relay::plan::Caller;
use relay::plan::Denied;
use relay::plan::Plan;
use relay::plan::Route;

use crate::shared::Shared;

/// The destination of a request.
#[derive(Debug)]
pub struct Target {
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
}

/// Who a request belongs to.
#[derive(Debug, Clone, PartialEq)]
pub enum Owner {
    /// The plan has no customers.
    Anyone,
    /// No customer: the route is public.
    Public,
    /// This customer, identified by the API key with this digest.
    Customer(Rc<Customer>, Digest),
}

/// Why a request has no target.
#[derive(Debug)]
pub enum Error {
    /// No plan is known yet.
    NoPlan,
    /// The plan has no route for the request.
    NoRoute {
        /// Host and path.
        location: String,
        /// Version of the plan.
        plan: u64,
    },
    /// This daemon is stopping and might have to abort the request.
    Stopping,
    /// The route names no service.
    NoService,
    /// The route requires an API key.
    Denied {
        /// Why the key was not accepted.
        denied: Denied,
        /// Version of the plan.
        plan: u64,
    },
}

/// Finds the target of a request for `path` at `host` with the API key `key`.
///
/// # Errors
/// [`Error`].
pub fn find(shared: &Shared, host: &str, path: &str, key: Option<Digest>) -> Result<Target, Error> {
    let plan = shared.plan().ok_or(Error::NoPlan)?;
    let route = plan.route(host, path).ok_or_else(|| Error::NoRoute {
        location: format!("{host}{path}"),
        plan: plan.version,
    })?;
    let owner = owner(&plan, route, key).map_err(|denied| Error::Denied {
        denied,
        plan: plan.version,
    })?;
    if !shared.accepts(route.timeout) {
        return Err(Error::Stopping);
    }
    let service = route.target(rand::random()).ok_or(Error::NoService)?;
    let homes = shared.homes(route, &owner);
    Ok(Target {
        route: route.clone(),
        plan: plan.version,
        service: service.to_owned(),
        owner,
        homes,
    })
}

fn owner(plan: &Plan, route: &Route, key: Option<Digest>) -> Result<Owner, Denied> {
    let owner = match (plan.caller(route, key)?, key) {
        (Caller::Customer(customer), Some(key)) => Owner::Customer(Rc::new(customer.clone()), key),
        (Caller::Anyone, _) => Owner::Anyone,
        (Caller::Public | Caller::Customer(_), _) => Owner::Public,
    };
    Ok(owner)
}
