//! Splits a route's traffic over its backends by weight.
//!
//! Smooth weighted round robin: the requests of each node follow the weights as closely
//! as whole requests can, so the requests of all nodes do.

use std::collections::HashMap;
use std::sync::Arc;

use barleyspar_catalog::Route;

/// Weighted round-robin state: a credit for each backend of each route with several backends.
/// At each request of a route, the credit of each of its backends grows by the backend's
/// weight. The backend with the highest credit gets the request, and its credit decreases by
/// the sum of the weights.
#[derive(Debug, Default)]
pub struct Splitter {
    credits: HashMap<Arc<str>, Vec<(Arc<str>, i64)>>,
}

impl Splitter {
    /// Returns the service that gets the next request on `route`. If the list of the route's
    /// services has changed, the credits of all its backends start at 0 again.
    pub fn pick(&mut self, route: &Route) -> Arc<str> {
        if let [only] = route.backends.as_slice() {
            return only.service.clone();
        }
        let credits = self.credits.entry(route.name.clone()).or_default();
        let has_same_backends = credits.len() == route.backends.len()
            && credits
                .iter()
                .zip(&route.backends)
                .all(|(credit, backend)| credit.0 == backend.service);
        if !has_same_backends {
            *credits = route
                .backends
                .iter()
                .map(|backend| (backend.service.clone(), 0))
                .collect();
        }
        let mut total = 0;
        for (credit, backend) in credits.iter_mut().zip(&route.backends) {
            credit.1 += i64::from(backend.weight);
            total += i64::from(backend.weight);
        }
        let richest = credits
            .iter_mut()
            .max_by_key(|credit| credit.1)
            .expect("a route has backends");
        richest.1 -= total;
        richest.0.clone()
    }

    /// Drops the round-robin state of all routes except those in `routes`, the routes of the
    /// current configuration.
    pub fn retain(&mut self, routes: &[Arc<Route>]) {
        let names: std::collections::HashSet<&Arc<str>> =
            routes.iter().map(|route| &route.name).collect();
        self.credits.retain(|name, _| names.contains(name));
    }
}
