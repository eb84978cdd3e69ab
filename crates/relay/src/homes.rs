//! Data centres in which a request may be served, and its prompt kept.

use std::collections::BTreeMap;
use std::rc::Rc;

use ident::Zone;

/// The data centres in which a request may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Homes {
    /// `None` if it may be served anywhere.
    data_centres: Option<Rc<[Zone]>>,
}

impl Homes {
    /// The data centres of the home regions of a route and a customer. If both have home regions, a
    /// data centre has to be in one of each; an empty list sets no restriction. `regions` maps data
    /// centres to their regions; a data centre that it lacks is in no home.
    pub fn new(regions: &BTreeMap<String, String>, route: &[String], customer: &[String]) -> Self {
        if route.is_empty() && customer.is_empty() {
            return Self::default();
        }
        let allows = |list: &[String], region: &String| list.is_empty() || list.contains(region);
        let homes = regions
            .iter()
            .filter(|(_, region)| allows(route, region) && allows(customer, region));
        Self {
            data_centres: Some(homes.map(|(name, _)| Zone::new(name)).collect()),
        }
    }

    /// The data centres in which the request may be served; `None` if it may be served anywhere.
    pub fn data_centres(&self) -> Option<&[Zone]> {
        self.data_centres.as_deref()
    }

    /// Whether the request may be served in `data_centre`.
    pub fn contains(&self, data_centre: Zone) -> bool {
        let list = self.data_centres();
        list.is_none_or(|list| list.contains(&data_centre))
    }
}
