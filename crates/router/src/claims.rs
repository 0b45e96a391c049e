//! Claims on idempotency keys.
//!
//! A request that must not run twice and carries a key is sent to a back end
//! only by the node that created the key's claim in the key-value service.
//! Invariant: a claim is created once and names the attempt that created it, so
//! after a lost answer the creator recognizes its own claim and nobody else
//! takes it for theirs. It is given back only if the request did not run.

use std::sync::Arc;
use std::time::Duration;

use barleyspar_platform::KeyValue;
use barleyspar_platform::key_value::{KeyValueError, Swap, SwapOutcome};
use bytes::Bytes;
use sha2::{Digest, Sha256};
use tokio::time::Instant;

const CLAIM_PREFIX: &str = "claims/";
/// Pause between two tries at the key-value service.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Result of a try to claim a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The key is claimed by this attempt.
    Claimed,
    /// Another attempt has it.
    Taken,
    /// The key-value service gave no clear answer in time.
    Unavailable(String),
}

/// Claims keys for the attempts of one node.
#[derive(Clone)]
pub struct Claims {
    key_value: Arc<dyn KeyValue>,
    time_to_live: Duration,
}

/// One key, claimed or to be claimed by one attempt.
#[derive(Debug, Clone)]
pub struct Claim {
    key: String,
    attempt: Bytes,
}

impl Claim {
    /// The claim of attempt `attempt_id` on `idempotency_key`, as used by
    /// `customer` at `service`.
    pub fn new(customer: &str, service: &str, idempotency_key: &str, attempt_id: &str) -> Self {
        let mut hasher = Sha256::new();
        for part in [customer, service, idempotency_key] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self {
            key: format!("{CLAIM_PREFIX}{:x}", hasher.finalize()),
            attempt: Bytes::from(attempt_id.to_owned()),
        }
    }
}

impl Claims {
    /// Claims that last for `time_to_live`.
    pub fn new(key_value: Arc<dyn KeyValue>, time_to_live: Duration) -> Self {
        Self {
            key_value,
            time_to_live,
        }
    }

    /// Tries to claim until `deadline`.
    pub async fn take(&self, claim: &Claim, deadline: Instant) -> ClaimOutcome {
        loop {
            let swap = Swap {
                key: claim.key.clone(),
                expected: None,
                value: claim.attempt.clone(),
                time_to_live: Some(self.time_to_live),
            };
            let swapped = tokio::time::timeout_at(deadline, self.key_value.swap(swap)).await;
            let error = match swapped {
                Ok(Ok(SwapOutcome::Applied(_))) => return ClaimOutcome::Claimed,
                Ok(Ok(SwapOutcome::Conflict(Some(current)))) => {
                    return match current.value == claim.attempt {
                        true => ClaimOutcome::Claimed,
                        false => ClaimOutcome::Taken,
                    };
                }
                Ok(Ok(SwapOutcome::Conflict(None))) => return ClaimOutcome::Taken,
                Ok(Err(error)) => error,
                Err(_) => KeyValueError::Unknown("no answer by the deadline".to_owned()),
            };
            let pause = match &error {
                KeyValueError::RateLimited(wait) => *wait,
                KeyValueError::Unavailable(_) | KeyValueError::Unknown(_) => RETRY_PAUSE,
            };
            if Instant::now() + pause >= deadline {
                return ClaimOutcome::Unavailable(error.to_string());
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Gives back a claim of a request that did not run. If that fails the
    /// claim lasts out its time and the key is refused meanwhile.
    pub async fn give_back(&self, claim: &Claim) {
        let mine = match self.key_value.get(&claim.key).await {
            Ok(Some(stored)) => stored.value == claim.attempt,
            Ok(None) | Err(_) => false,
        };
        if mine && let Err(error) = self.key_value.delete(&claim.key).await {
            tracing::debug!(%error, "claim was not given back");
        }
    }
}
