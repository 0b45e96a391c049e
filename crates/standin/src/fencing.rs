//! Check that fencing tokens are not shared between leaders.

use barleyspar_catalog::Order;

use crate::runner::RunnerStandIn;
use crate::world::World;

impl World {
    /// Returns two orders of different holders with the same fencing token, at any runners;
    /// `None` if there are none.
    pub fn orders_sharing_a_token(&self) -> Option<(Order, Order)> {
        let runners = self.runners.values();
        let orders: Vec<Order> = runners.flat_map(RunnerStandIn::orders).collect();
        orders.iter().find_map(|order| {
            let shares_token = |other: &&Order| {
                other.fencing_token == order.fencing_token && other.holder != order.holder
            };
            let other = orders.iter().find(shares_token)?;
            Some((order.clone(), other.clone()))
        })
    }
}
