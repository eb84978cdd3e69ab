//! Finding out where a request is to go.

use std::rc::Rc;

use customer::digest::Digest;
use customer::list::Customer;
use relay::plan::Caller;
use relay::plan::Denied;
use relay::plan::Plan;
use relay::plan::Route;

use crate::shared::Shared;

/// Where a request is to go.
#[derive(Debug)]
pub struct Target {
    /// Its route.
    pub route: Route,
    /// Version of the plan that the route is of.
    pub plan: u64,
    /// The service that is to serve it.
    pub service: String,
    /// Whose it is.
    pub owner: Owner,
}

/// Whose a request is.
#[derive(Debug, Clone, PartialEq)]
pub enum Owner {
    /// There are no customers.
    Anyone,
    /// Nobody's in particular: its route is public.
    Public,
    /// This customer's, by the key with this digest.
    Customer(Rc<Customer>, Digest),
}

/// Why a request has no target.
#[derive(Debug)]
pub enum Error {
    /// No plan is known yet.
    NoPlan,
    /// The plan has no route for it.
    NoRoute {
        /// The host and path.
        place: String,
        /// Version of the plan.
        plan: u64,
    },
    /// This daemon is stopping, and may have to cut it.
    Stopping,
    /// Its route names no service.
    NoService,
    /// It needs an API key.
    Denied {
        /// What is wrong with the one that it has.
        denied: Denied,
        /// Version of the plan.
        plan: u64,
    },
}

/// Where a request for `path` at `host` with the API key `key` is to go.
///
/// # Errors
/// [`Error`].
pub fn find(shared: &Shared, host: &str, path: &str, key: Option<Digest>) -> Result<Target, Error> {
    let plan = shared.plan().ok_or(Error::NoPlan)?;
    let route = plan.route(host, path).ok_or_else(|| Error::NoRoute {
        place: format!("{host}{path}"),
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
    Ok(Target {
        route: route.clone(),
        plan: plan.version,
        service: service.to_owned(),
        owner,
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
