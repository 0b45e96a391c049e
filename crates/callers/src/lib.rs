//! Access control and limits that hold over all nodes together.
//!
//! A node accepts credentials only while its view of the configuration is fresh enough
//! ([`authorize`]). The limits ([`QuotaOwner`], [`QuotaLedger`]) are tenants' quotas, the
//! rate limits that runners advertise, and the number of runner crashes at which a request
//! may be present ([`Progress`], [`Quarantine`]). Parts of prompts that crash runners are found
//! by what many crashes have in common ([`Suspects`]).
//!
//! All functions are deterministic in their arguments: they do no I/O and read no clock.

mod access;
mod bucket;
mod crashes;
mod ended_runs;
mod fingerprint;
mod ledger;
mod messages;
mod owner;
mod presences;
mod quarantine;
mod served;
mod suspects;

pub use access::{AccessBounds, ConfigurationView, Denial, authorize};
pub use bucket::{QuotaLimit, TokenBucket, request_cost};
pub use crashes::Progress;
pub use ended_runs::{EndedRun, EndedRuns, OUTLIVED_AFTER};
pub use fingerprint::Fingerprint;
pub use ledger::QuotaLedger;
pub use messages::{QuotaAnswer, QuotaRequest, Subject};
pub use owner::{QuotaOwner, VisibleNodes};
pub use presences::{PresenceReport, Presences, ReportedPart};
pub use quarantine::{Quarantine, QuarantineUpdate};
pub use served::RecentlyServed;
pub use suspects::{CrashReport, MAX_PARTS_OF_REQUEST, PART_HELD_FOR, Suspects};
