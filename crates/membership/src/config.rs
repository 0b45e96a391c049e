//! Settings of membership.

use std::net::SocketAddr;
use std::time::Duration;

/// Times and numbers of the protocol.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Time between two probes by one node.
    pub probe_interval: Duration,
    /// Time for a direct answer before others are asked to probe.
    pub probe_time_limit: Duration,
    /// Members asked to probe on this node's behalf.
    pub indirect_probes: usize,
    /// Time a suspected member has to refute before it is declared dead.
    pub suspicion_time: Duration,
    /// After this long without an answer from anybody, several members are tried
    /// at each interval.
    pub contact_alarm: Duration,
    /// Members tried then.
    pub alarm_contacts: usize,
    /// Time after which a dead member is forgotten.
    pub forget_after: Duration,
    /// Members of a zone that exchange changes with other zones.
    pub relays_per_zone: usize,
    /// Most changes carried by one message.
    pub updates_per_message: usize,
    /// Successive exchanges with differing tables before whole tables are compared.
    pub mismatches_before_repair: u32,
    /// Peer addresses tried at the start.
    pub seeds: Vec<SocketAddr>,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_time_limit: Duration::from_millis(400),
            indirect_probes: 2,
            suspicion_time: Duration::from_secs(4),
            contact_alarm: Duration::from_millis(1_200),
            alarm_contacts: 3,
            forget_after: Duration::from_secs(600),
            relays_per_zone: 2,
            updates_per_message: 12,
            mismatches_before_repair: 4,
            seeds: Vec::new(),
        }
    }
}
