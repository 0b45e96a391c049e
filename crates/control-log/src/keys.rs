//! Keys of the control log in the key-value service.

/// Prefix of the entries.
pub const LOG_PREFIX: &str = "log/";
/// Key that names the newest complete snapshot.
pub const SNAPSHOT_HEAD: &str = "snapshot-head";

/// Key of the entry at `position`. Keys sort as positions do.
pub fn entry_key(position: u64) -> String {
    format!("{LOG_PREFIX}{position:016}")
}

/// Key of one part of the snapshot taken at `position`.
pub fn snapshot_key(position: u64, part: usize) -> String {
    format!("snapshot/{position:016}/{part:04}")
}
