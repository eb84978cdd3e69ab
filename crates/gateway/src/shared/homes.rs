//! Home regions of routes and customers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use customer::list::CustomerList;
use ident::Zone;
use platform::directory::Query;
use relay::directory::Endpoint;
use relay::homes::Homes;
use relay::plan::Plan;
use relay::plan::Route;

use crate::shared::Shared;
use crate::target::Owner;

impl Shared {
    /// The data centres in which a request of `owner` on `route` may be served.
    pub fn homes(&self, route: &Route, owner: &Owner) -> Homes {
        let of_customer = match owner {
            Owner::Customer(customer, _) => &customer.homes[..],
            Owner::Anyone | Owner::Public => &[],
        };
        Homes::new(&self.settings().regions, &route.homes, of_customer)
    }

    /// The data centres in which requests of `service` may be served: one list for each combination
    /// of home regions of its routes and customers, without empty ones.
    pub fn homes_of_service(&self, plan: &Plan, service: &str) -> BTreeSet<Homes> {
        let settings = self.settings();
        let customers = plan.customers.iter().flat_map(CustomerList::iter);
        let of_customers: BTreeSet<&[String]> = customers.map(|c| &c.homes[..]).collect();
        let anyone = BTreeSet::from([&[][..]]);
        let mut homes = BTreeSet::new();
        for route in plan.routes.iter().filter(|route| route.serves(service)) {
            let needs_customer = plan.customers.is_some() && !route.public;
            let callers = if needs_customer {
                &of_customers
            } else {
                &anyone
            };
            let lists = callers.iter();
            homes.extend(lists.map(|own| Homes::new(&settings.regions, &route.homes, own)));
        }
        homes.retain(|homes| homes.data_centres() != Some(&[]));
        homes
    }

    /// Those of `open` that a caller may be sent to: if routes of its host have home regions, the
    /// instances in its own region and in the homes of all of these routes, unless there is none.
    pub fn within_homes(&self, open: Vec<Endpoint>, query: &Query) -> Vec<Endpoint> {
        let settings = self.settings();
        let homes = self
            .plan()
            .and_then(|plan| common_homes(&plan, &settings.regions, query.host.as_deref()?));
        let Some(homes) = homes else { return open };
        let regions = settings.regions.iter();
        let own = regions.filter(|(_, region)| Some(*region) == query.region.as_ref());
        let own: Vec<Zone> = own.map(|(name, _)| Zone::new(name)).collect();
        let allowed = |entry: &&Endpoint| {
            own.contains(&entry.data_centre) || homes.contains(&entry.data_centre)
        };
        let within: Vec<Endpoint> = open.iter().filter(allowed).copied().collect();
        if within.is_empty() { open } else { within }
    }
}

/// The data centres that are homes of all routes of `host` that have any; `None` if none has.
fn common_homes(plan: &Plan, regions: &BTreeMap<String, String>, host: &str) -> Option<Vec<Zone>> {
    let routes = plan.routes_of(host).filter(|route| !route.homes.is_empty());
    let homes = routes.map(|route| Homes::new(regions, &route.homes, &[]));
    let lists = homes.map(|homes| homes.data_centres().unwrap_or_default().to_vec());
    lists.reduce(|mut common, list| {
        common.retain(|data_centre| list.contains(data_centre));
        common
    })
}
