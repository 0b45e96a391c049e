//! Who may call, and how much: credentials that a node honours only while it
//! can show that its knowledge of them is young enough ([`authorize`]), and limits
//! that hold over all nodes together ([`QuotaOwner`], [`QuotaLedger`]): tenants', those
//! that rate-limited runners name, and how many crashes of runners a request may be part of
//! ([`Progress`], [`Quarantine`]).
//!
//! Pure functions of what they are given: no I/O, no clock of their own.

mod access;
mod bucket;
mod crashes;
mod fingerprint;
mod ledger;
mod messages;
mod owner;
mod quarantine;
mod served;

pub use access::{AccessBounds, Denial, Knowledge, authorize};
pub use bucket::{QuotaLimit, TokenBucket, cost};
pub use crashes::Progress;
pub use fingerprint::Fingerprint;
pub use ledger::QuotaLedger;
pub use messages::{QuotaAnswer, QuotaRequest, Subject};
pub use owner::{QuotaOwner, Share};
pub use quarantine::{Quarantine, QuarantineNews};
pub use served::RecentlyServed;
