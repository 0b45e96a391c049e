//! What must hold of the orders of all runners.

use barleyspar_catalog::Order;

use crate::runner::RunnerStandIn;
use crate::world::World;

impl World {
    /// Two orders of two holders under one token, if there are any.
    pub fn shared_token(&self) -> Option<(Order, Order)> {
        let runners = self.runners.values();
        let orders: Vec<Order> = runners.flat_map(RunnerStandIn::orders).collect();
        orders.iter().find_map(|order| {
            let shares = |other: &&Order| {
                other.fencing_token == order.fencing_token && other.holder != order.holder
            };
            let other = orders.iter().find(shares)?;
            Some((order.clone(), other.clone()))
        })
    }
}
