//! What is known of one member.

use std::net::SocketAddr;

use barleyspar_domain::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

/// Status of a member, ordered by what overrides what within one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It answers.
    Alive,
    /// It answers, takes no new work, and will go.
    Leaving,
    /// It did not answer; it may refute.
    Suspect,
    /// It is gone, or so far out of reach that its work is taken over.
    Dead,
}

/// One member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name.
    pub name: NodeName,
    /// Zone.
    pub zone: ZoneName,
    /// Address for calls of other nodes.
    pub address: SocketAddr,
    /// Grows at each start and each refutation of the member; only the member
    /// itself raises it.
    pub incarnation: u64,
    /// Status.
    pub status: MemberStatus,
}

impl MemberRecord {
    /// Whether this record replaces `other` about the same member.
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }

    /// Whether the member is thought to answer calls.
    pub fn is_reachable(&self) -> bool {
        self.status != MemberStatus::Dead
    }

    /// Whether the member may be given work.
    pub fn takes_work(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }
}
