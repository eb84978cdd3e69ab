//! Finding out where a request is to go.

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
}

/// Where a request for `path` at `host` is to go.
///
/// # Errors
/// [`Error`].
pub fn find(shared: &Shared, host: &str, path: &str) -> Result<Target, Error> {
    let plan = shared.plan().ok_or(Error::NoPlan)?;
    let route = plan.route(host, path).ok_or_else(|| Error::NoRoute {
        place: format!("{host}{path}"),
        plan: plan.version,
    })?;
    if !shared.takes(route.timeout) {
        return Err(Error::Stopping);
    }
    let service = route.target(rand::random()).ok_or(Error::NoService)?;
    Ok(Target {
        route: route.clone(),
        plan: plan.version,
        service: service.to_owned(),
    })
}
