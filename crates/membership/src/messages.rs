//! Messages between the membership services of nodes.

use std::net::SocketAddr;

use barleyspar_domain::ZoneName;
use serde::{Deserialize, Serialize};

use crate::MemberRecord;

/// What two nodes tell each other on each probe.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender.
    pub sender: MemberRecord,
    /// Recent changes.
    pub updates: Vec<MemberRecord>,
    /// Hash of the sender's whole table.
    pub table_hash: u64,
    /// How far the sender has read the control log.
    pub log_position: u64,
}

/// Hash of the records of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneHash {
    /// The zone.
    pub zone: ZoneName,
    /// Hash.
    pub hash: u64,
}

/// A call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// A probe.
    Ping(Exchange),
    /// A probe on another's behalf.
    PingThrough(SocketAddr),
    /// Repair: the caller's hashes by zone.
    Compare(Vec<ZoneHash>),
    /// Repair: records the other side lacks.
    Push(Vec<MemberRecord>),
}

/// An answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Answer {
    /// To [`Request::Ping`].
    Pong(Exchange),
    /// To [`Request::PingThrough`]: whether the target answered.
    Reached(bool),
    /// To [`Request::Compare`]: records of the zones whose hashes differ.
    Records(Vec<MemberRecord>),
    /// To [`Request::Push`].
    Taken,
}
