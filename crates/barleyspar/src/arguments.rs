//! Command line arguments.

use std::path::PathBuf;

use barleyspar_domain::ObjectKind;
use barleyspar_loading::Switches;
use lexopt::prelude::*;

/// Help text.
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

/// How to reach a node as an operator.
#[derive(Debug, Clone, Default)]
pub struct Remote {
    /// URL of the node's operator address.
    pub server: String,
    /// File that holds the token.
    pub token_file: PathBuf,
    /// Whether answers are printed as JSON.
    pub json: bool,
}

/// What an operator asks for.
#[derive(Debug, Clone)]
pub enum Action {
    /// Create or replace the objects of files.
    Apply {
        files: Vec<PathBuf>,
        wait: bool,
        read_at: Option<u64>,
    },
    /// Delete one object.
    Delete { kind: ObjectKind, name: String },
    /// Print objects.
    Get {
        kind: ObjectKind,
        name: Option<String>,
    },
    /// Print what applying files would change.
    Diff { files: Vec<PathBuf> },
    /// Print the state of the system.
    Status,
    /// Print why a model is or is not loaded.
    Explain { model: String },
}

/// A parsed command line.
#[derive(Debug, Clone)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Run a node.
    Node { config: PathBuf },
    /// Run a gateway on the users' platform, without the mechanisms switched off.
    Gateway {
        policy: PathBuf,
        metrics_port: Option<u16>,
        switches: Switches,
    },
    /// Tell a request's story from logs.
    Trace {
        request: String,
        files: Vec<PathBuf>,
    },
    /// Check files.
    Check { files: Vec<PathBuf> },
    /// Ask a node.
    Remote(Remote, Action),
}

#[derive(Default)]
struct Given {
    words: Vec<String>,
    remote: Remote,
    config: Option<PathBuf>,
    policy: Option<PathBuf>,
    metrics_port: Option<u16>,
    switches: Switches,
    wait: bool,
    read_at: Option<u64>,
}

/// Parses the process's arguments.
pub fn parse() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut given = Given::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("config") => given.config = Some(parser.value()?.into()),
            Long("metrics-port") => given.metrics_port = Some(parser.value()?.parse()?),
            Long("without") => given.switches = parser.value()?.parse()?,
            Long("policy") => given.policy = Some(parser.value()?.into()),
            Long("wait") => given.wait = true,
            Long("read-at") => given.read_at = Some(parser.value()?.parse()?),
            Long("server") => given.remote.server = parser.value()?.string()?,
            Long("token-file") => given.remote.token_file = parser.value()?.into(),
            Long("output") => {
                let format = parser.value()?.string()?;
                if format != "json" {
                    return Err(format!("--output takes json, not {format:?}").into());
                }
                given.remote.json = true;
            }
            Value(word) => given.words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    command(given)
}

fn command(given: Given) -> Result<Command, lexopt::Error> {
    let mut words = given.words.into_iter();
    let Some(verb) = words.next() else {
        return Err("a command is missing".into());
    };
    let words: Vec<String> = words.collect();
    let files = || -> Result<Vec<PathBuf>, lexopt::Error> {
        match words.is_empty() {
            true => Err("a file is missing".into()),
            false => Ok(words.iter().map(PathBuf::from).collect()),
        }
    };
    let action = match verb.as_str() {
        "help" => return Ok(Command::Help),
        "node" => {
            let config = given.config.ok_or("--config is missing")?;
            return Ok(Command::Node { config });
        }
        "gateway" => {
            let policy = given.policy.ok_or("--policy is missing")?;
            return Ok(Command::Gateway {
                policy,
                metrics_port: given.metrics_port,
                switches: given.switches,
            });
        }
        "trace" => {
            let request = words.first().cloned().ok_or("a request's id is missing")?;
            let files = words[1..].iter().map(PathBuf::from).collect();
            return Ok(Command::Trace { request, files });
        }
        "check" => return Ok(Command::Check { files: files()? }),
        "apply" => Action::Apply {
            files: files()?,
            wait: given.wait,
            read_at: given.read_at,
        },
        "diff" => Action::Diff { files: files()? },
        "get" => Action::Get {
            kind: kind(&words)?,
            name: words.get(1).cloned(),
        },
        "delete" => Action::Delete {
            kind: kind(&words)?,
            name: words.get(1).cloned().ok_or("a name is missing")?,
        },
        "status" => Action::Status,
        "explain" => Action::Explain {
            model: words.first().cloned().ok_or("a model is missing")?,
        },
        other => return Err(format!("there is no command {other:?}").into()),
    };
    if given.remote.server.is_empty() {
        return Err("--server is missing".into());
    }
    if given.remote.token_file.as_os_str().is_empty() {
        return Err("--token-file is missing".into());
    }
    Ok(Command::Remote(given.remote, action))
}

fn kind(words: &[String]) -> Result<ObjectKind, lexopt::Error> {
    let word = words.first().ok_or("a kind is missing")?;
    ObjectKind::parse(word).ok_or_else(|| format!("there is no kind {word:?}").into())
}
