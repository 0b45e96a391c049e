//! Rendezvous hashing: every node chooses the same member for a key without communication,
//! and the loss of a member reassigns only the keys of that member.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

/// Keys of the hash function. All nodes must use the same keys to choose the same member.
const HASH_KEYS: (u64, u64) = (0x6261_726c_6579, 0x7370_6172);

/// Returns the weight of `member` for `key`. The member with the highest weight is the one
/// chosen for the key.
pub fn rendezvous_weight<K: Hash + ?Sized, M: Hash + ?Sized>(key: &K, member: &M) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    key.hash(&mut hasher);
    member.hash(&mut hasher);
    hasher.finish()
}

/// Returns `members` sorted by their weight for `key`, highest first.
pub fn by_rendezvous_weight<K: Hash + ?Sized, M: Hash + Ord>(
    key: &K,
    members: impl IntoIterator<Item = M>,
) -> Vec<M> {
    let mut weighted: Vec<(u64, M)> = members
        .into_iter()
        .map(|member| (rendezvous_weight(key, &member), member))
        .collect();
    weighted.sort_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, member)| member).collect()
}
