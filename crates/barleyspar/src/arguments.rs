//! Parsing of the command line of `barleyspar`.

use std::path::PathBuf;

use barleyspar_domain::{ObjectKind, Switches};
use lexopt::prelude::*;

/// Help text, printed for `help` and after an error in the arguments.
pub const USAGE: &str = "\
usage: barleyspar node --config FILE
       barleyspar gateway --policy FILE [--metrics-port PORT] [--without MECHANISM,...]
       barleyspar trace REQUEST [FILE...]
       barleyspar check FILE...
       barleyspar apply FILE... [--wait] [--read-at POSITION] REMOTE
       barleyspar delete KIND NAME REMOTE
       barleyspar get KIND [NAME] REMOTE
       barleyspar diff FILE... REMOTE
       barleyspar status REMOTE
       barleyspar explain MODEL REMOTE

KIND is service, policy, model, adapter or customer.
REMOTE is --server URL --token-file FILE [--output json]: a node's operator
address and a file that holds the operator's token.";

/// How an operator's command reaches a node: the options `--server`, `--token-file` and
/// `--output`.
#[derive(Debug, Clone, Default)]
pub struct Remote {
    /// Base URL of the node's operator interface.
    pub server: String,
    /// File that holds the operator's bearer token.
    pub token_file: PathBuf,
    /// Whether the command prints its result as JSON instead of text.
    pub json: bool,
}

/// A command that an operator sends to a node.
#[derive(Debug, Clone)]
pub enum Action {
    /// Create or replace the objects that manifest files describe.
    Apply {
        /// Paths of the manifest files; at least one.
        files: Vec<PathBuf>,
        /// Whether to wait until the change is in force in every zone; the node limits the
        /// wait.
        wait: bool,
        /// Log position at which the operator read the objects; `None` for no check
        /// against changes made since.
        read_at: Option<u64>,
    },
    /// Delete the object of this kind and name.
    Delete { kind: ObjectKind, name: String },
    /// Print the objects of a kind, or the one object with this name.
    Get {
        kind: ObjectKind,
        name: Option<String>,
    },
    /// Print what applying manifest files would change.
    Diff { files: Vec<PathBuf> },
    /// Print the node's view of the cluster: members, runners, models and which changes are
    /// in force.
    Status,
    /// Print the reasons why a model is or is not loaded.
    Explain { model: String },
}

/// What the command line asks this process to do.
#[derive(Debug, Clone)]
pub enum Command {
    /// Print [`USAGE`] and succeed: `help`, `--help` or `-h`.
    Help,
    /// Run a node with this settings file until a signal stops it.
    Node { config: PathBuf },
    /// Run a gateway on the users' platform, without the mechanisms that `switches`
    /// disables.
    Gateway {
        policy: PathBuf,
        metrics_port: Option<u16>,
        switches: Switches,
    },
    /// Print the log lines that explain how a request was handled.
    Trace {
        /// Id of the request, as the logs write it.
        request: String,
        /// Log files, plain or gzip; standard input if there are none.
        files: Vec<PathBuf>,
    },
    /// Check configuration files without a node.
    Check { files: Vec<PathBuf> },
    /// Send an operator's command to a node.
    Remote(Remote, Action),
}

/// Options and positional arguments before they are matched to a command.
#[derive(Default)]
struct RawArguments {
    positional: Vec<String>,
    remote: Remote,
    config: Option<PathBuf>,
    policy: Option<PathBuf>,
    metrics_port: Option<u16>,
    switches: Switches,
    wait: bool,
    read_at: Option<u64>,
}

/// Parses the arguments of this process. Fails on an unknown option or command, a bad value, or
/// a missing argument.
pub fn parse() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut raw = RawArguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("config") => raw.config = Some(parser.value()?.into()),
            Long("metrics-port") => raw.metrics_port = Some(parser.value()?.parse()?),
            Long("without") => raw.switches = parser.value()?.parse()?,
            Long("policy") => raw.policy = Some(parser.value()?.into()),
            Long("wait") => raw.wait = true,
            Long("read-at") => raw.read_at = Some(parser.value()?.parse()?),
            Long("server") => raw.remote.server = parser.value()?.string()?,
            Long("token-file") => raw.remote.token_file = parser.value()?.into(),
            Long("output") => {
                let format = parser.value()?.string()?;
                if format != "json" {
                    return Err(format!("--output takes json, not {format:?}").into());
                }
                raw.remote.json = true;
            }
            Value(argument) => raw.positional.push(argument.string()?),
            other => return Err(other.unexpected()),
        }
    }
    command_from(raw)
}

/// Matches `raw` to a command. Fails if an argument that the command needs is missing.
fn command_from(raw: RawArguments) -> Result<Command, lexopt::Error> {
    let mut positional = raw.positional.into_iter();
    let Some(verb) = positional.next() else {
        return Err("a command is missing".into());
    };
    let operands: Vec<String> = positional.collect();
    let files = || -> Result<Vec<PathBuf>, lexopt::Error> {
        match operands.is_empty() {
            true => Err("a file is missing".into()),
            false => Ok(operands.iter().map(PathBuf::from).collect()),
        }
    };
    let action = match verb.as_str() {
        "help" => return Ok(Command::Help),
        "node" => {
            let config = raw.config.ok_or("--config is missing")?;
            return Ok(Command::Node { config });
        }
        "gateway" => {
            let policy = raw.policy.ok_or("--policy is missing")?;
            return Ok(Command::Gateway {
                policy,
                metrics_port: raw.metrics_port,
                switches: raw.switches,
            });
        }
        "trace" => {
            let request = operands
                .first()
                .cloned()
                .ok_or("a request's id is missing")?;
            let files = operands[1..].iter().map(PathBuf::from).collect();
            return Ok(Command::Trace { request, files });
        }
        "check" => return Ok(Command::Check { files: files()? }),
        "apply" => Action::Apply {
            files: files()?,
            wait: raw.wait,
            read_at: raw.read_at,
        },
        "diff" => Action::Diff { files: files()? },
        "get" => Action::Get {
            kind: parse_kind(&operands)?,
            name: operands.get(1).cloned(),
        },
        "delete" => Action::Delete {
            kind: parse_kind(&operands)?,
            name: operands.get(1).cloned().ok_or("a name is missing")?,
        },
        "status" => Action::Status,
        "explain" => Action::Explain {
            model: operands.first().cloned().ok_or("a model is missing")?,
        },
        other => return Err(format!("unknown command {other:?}").into()),
    };
    if raw.remote.server.is_empty() {
        return Err("--server is missing".into());
    }
    if raw.remote.token_file.as_os_str().is_empty() {
        return Err("--token-file is missing".into());
    }
    Ok(Command::Remote(raw.remote, action))
}

fn parse_kind(operands: &[String]) -> Result<ObjectKind, lexopt::Error> {
    let word = operands.first().ok_or("a kind is missing")?;
    ObjectKind::parse(word).ok_or_else(|| format!("unknown kind {word:?}").into())
}
