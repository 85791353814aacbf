//! Finds the route and the service of a request.

use std::{collections::HashMap, rc::Rc};

use crate::{
    hash,
    model::{Configuration, Route},
};

/// Routes by host name, sorted by descending length of the prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Rc<Route>>>,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: &Configuration) -> RouteTable {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let routes = by_host.entry(route.host.to_ascii_lowercase()).or_default();
            routes.push(Rc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        RouteTable { by_host }
    }

    /// Returns the route with the longest matching path prefix. `host` may include a port.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix)).cloned()
    }
}

/// Picks the service of a request among those of the route, at random by weight; `draw` is a hash
/// that serves as the random number.
pub fn pick_service(route: &Route, draw: u64) -> &str {
    let total: f64 = route.parts.iter().map(|part| part.weight).sum();
    let mut remaining = hash::unit_interval(draw) * total;
    let mut last = "";
    for part in route.parts.iter().filter(|part| part.weight > 0.0) {
        last = &part.service;
        remaining -= part.weight;
        if remaining < 0.0 {
            break;
        }
    }
    last
}
