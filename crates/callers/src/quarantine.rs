//! Requests that are sent to no runner, since they crash runners, as one node knows them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// Requests that a node keeps at most: 64 KB.
const MOST_KEPT: usize = 1024;
/// Requests that a message tells: the newest, and of the others some in turn, so that a node
/// that starts learns all of them.
const NEWEST_TOLD: usize = 8;
const OTHERS_TOLD: usize = 8;
/// Difference from which on an end that another node tells is a later one. Nodes tell each
/// other what they were told, a little late each time.
const LATER_BY: Duration = Duration::from_secs(30);

/// What a node tells others of a request in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNews {
    /// The request.
    pub request: Fingerprint,
    /// Milliseconds until the quarantine ends.
    pub left_ms: u32,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    until: Instant,
    /// When this node learnt of it.
    learnt: Instant,
}

/// The requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Keeps `request` in quarantine until then. Whether that is news.
    pub fn add(&mut self, request: Fingerprint, until: Instant, now: Instant) -> bool {
        self.entries.retain(|_, entry| entry.until > now);
        let known = self.entries.get(&request);
        if until <= now || known.is_some_and(|known| until < known.until + LATER_BY) {
            return false;
        }
        let entry = Entry { until, learnt: now };
        self.entries.insert(request, entry);
        if self.entries.len() > MOST_KEPT {
            self.forget_first_to_end();
        }
        true
    }

    fn forget_first_to_end(&mut self) {
        let first = self.entries.iter().min_by_key(|(_, entry)| entry.until);
        if let Some(request) = first.map(|(request, _)| *request) {
            self.entries.remove(&request);
        }
    }

    /// Takes in what another node tells; the requests that were news.
    pub fn hear(&mut self, news: &[QuarantineNews], now: Instant) -> Vec<Fingerprint> {
        let told = news.iter().filter_map(|news| {
            let left = Duration::from_millis(news.left_ms.into());
            Some((news.request, now.checked_add(left)?))
        });
        told.filter(|(request, until)| self.add(*request, *until, now))
            .map(|(request, _)| request)
            .collect()
    }

    /// How much longer `request` is in quarantine, if it is.
    pub fn left(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let entry = self.entries.get(&request)?;
        let left = entry.until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// What the message number `round` tells other nodes.
    pub fn news(&self, round: usize, now: Instant) -> Vec<QuarantineNews> {
        let mut entries: Vec<(Fingerprint, Entry)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.until > now)
            .map(|(request, entry)| (*request, *entry))
            .collect();
        entries.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.learnt));
        let others = entries.split_off(entries.len().min(NEWEST_TOLD));
        let turns = others.chunks(OTHERS_TOLD).len().max(1);
        let in_turn = others.chunks(OTHERS_TOLD).nth(round % turns);
        entries
            .iter()
            .chain(in_turn.unwrap_or_default())
            .map(|(request, entry)| QuarantineNews {
                request: *request,
                left_ms: milliseconds(entry.until.saturating_duration_since(now)),
            })
            .collect()
    }
}

fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
