//! Settings of a node.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use barleyspar_domain::{NodeName, OperatorName, ZoneName};
use barleyspar_manifest::{Document, FileError};
use serde::{Deserialize, Serialize};

/// Shortest shared secret that is taken, in bytes.
const SHORTEST_SECRET: usize = 16;

/// The settings file of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Who the node is and where it listens.
    pub node: NodeSection,
    /// Where the platform's services are.
    pub platform: PlatformSection,
    /// Bounds on what callers may ask.
    #[serde(default)]
    pub limits: Limits,
    /// Operators and their tokens.
    #[serde(default)]
    pub operator: Vec<OperatorSettings>,
}

/// Who the node is and where it listens.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSection {
    /// Name, unique among all nodes.
    pub name: NodeName,
    /// Zone.
    pub zone: ZoneName,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Peer addresses of some other nodes.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The secret that all nodes share.
    pub shared_secret: String,
    /// Longest time requests in flight are given at a planned stop, in seconds.
    #[serde(default = "default_drain_seconds")]
    pub drain_seconds: u64,
}

fn default_drain_seconds() -> u64 {
    120
}

/// Where the platform's services are, as URLs by IP number.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    /// The key-value service.
    pub key_value: String,
    /// The machine list.
    pub machine_list: String,
}

/// Bounds on what callers may ask.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body in bytes.
    pub maximum_body_bytes: usize,
    /// Time a caller has to send its body, in seconds.
    pub body_seconds: u64,
    /// Deadline of requests that give none, in milliseconds.
    pub default_deadline_milliseconds: u64,
    /// Longest deadline a request may give, in milliseconds.
    pub longest_deadline_milliseconds: u64,
    /// Largest number of tokens a request may ask for.
    pub maximum_tokens: u32,
    /// Requests being handled at once; more are refused.
    pub maximum_requests: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            maximum_body_bytes: 1024 * 1024,
            body_seconds: 10,
            default_deadline_milliseconds: 30_000,
            longest_deadline_milliseconds: 600_000,
            maximum_tokens: 8192,
            maximum_requests: 4096,
        }
    }
}

impl Limits {
    /// Time a caller has to send its body.
    pub fn body_time_limit(&self) -> Duration {
        Duration::from_secs(self.body_seconds)
    }
}

/// An operator.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name.
    pub name: OperatorName,
    /// SHA-256 of its bearer token, in lower-case hexadecimal.
    pub token_sha256: String,
}

impl NodeSettings {
    /// Reads and checks the settings at `path`.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let document = Document::read(path)?;
        let settings: Self = document.parse()?;
        match settings.fault() {
            None => Ok(settings),
            Some((field, cause)) => {
                let whole = 0..document.text.len();
                let short = field.rsplit('.').next().unwrap_or(field);
                let mut error = document.error(0, field, cause);
                error.line = document.line_of_field(&whole, short);
                Err(error)
            }
        }
    }

    fn fault(&self) -> Option<(&'static str, String)> {
        if self.node.shared_secret.len() < SHORTEST_SECRET {
            let cause = format!("must have at least {SHORTEST_SECRET} bytes");
            return Some(("node.shared_secret", cause));
        }
        for (field, url) in [
            ("platform.key_value", &self.platform.key_value),
            ("platform.machine_list", &self.platform.machine_list),
        ] {
            if !url.starts_with("http://") && !url.starts_with("https://") {
                return Some((
                    field,
                    format!("{url:?} must begin with http:// or https://"),
                ));
            }
        }
        let limits = &self.limits;
        if limits.default_deadline_milliseconds > limits.longest_deadline_milliseconds {
            let cause = "must not be longer than longest_deadline_milliseconds".to_owned();
            return Some(("limits.default_deadline_milliseconds", cause));
        }
        for (field, zero) in [
            ("limits.maximum_body_bytes", limits.maximum_body_bytes == 0),
            ("limits.maximum_tokens", limits.maximum_tokens == 0),
            ("limits.maximum_requests", limits.maximum_requests == 0),
        ] {
            if zero {
                return Some((field, "must be more than 0".to_owned()));
            }
        }
        None
    }
}
