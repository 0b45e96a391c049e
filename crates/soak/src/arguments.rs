//! Command line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::*;

use crate::roles::Role;
use crate::site::Ports;

/// Help text.
pub const USAGE: &str = "\
usage: barleyspar-soak [--seed N] [--seconds S] [--gateways N] [--runners N] [--clients N]
                       [--faults N] [--deadly-parts] [--standstills] [--directory DIR]

Runs N gateways and runners and a store as processes under faults that the seed draws, for S
seconds, and checks what clients and runners see. --faults: how many strike at a time.
--deadly-parts: requests come, too, that end each engine which begins to run them.
--standstills: the runners of a service stand still together, too, for up to 25 s.
--directory: where the processes' logs go. The last line is JSON; exit 0 without a violation.";

/// Largest number of processes of a kind, so that a soak fits a machine.
const MOST_PROCESSES: u8 = 100;

/// A parsed command line.
#[derive(Debug, Clone)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Run a soak.
    Soak(SoakOptions),
    /// Run one of the soak's processes.
    Role(Role),
}

/// Settings of a soak.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Seed of the faults and the traffic.
    pub seed: u64,
    /// Time with faults.
    pub time: Duration,
    /// Number of gateway processes.
    pub gateways: u8,
    /// Number of runner processes: half of them engines, and half plain.
    pub runners: u8,
    /// Number of clients, each with one request at a time.
    pub clients: u32,
    /// Number of faults that strike at a time.
    pub faults: usize,
    /// Whether requests come that end each engine which begins to run them.
    pub deadly_parts: bool,
    /// Whether runners of one service stand still together for longer than a retry window.
    pub standstills: bool,
    /// Directory for the logs of the processes; `None` for one in the temporary directory.
    pub directory: Option<PathBuf>,
}

impl Default for SoakOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            time: Duration::from_secs(60),
            gateways: 4,
            runners: 6,
            clients: 24,
            faults: 3,
            deadly_parts: false,
            standstills: false,
            directory: None,
        }
    }
}

/// Parses the process's arguments.
pub fn parse() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut options = SoakOptions::default();
    let mut role = RoleArguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("seconds") => options.time = Duration::from_secs(parser.value()?.parse()?),
            Long("gateways") => options.gateways = count(parser.value()?.parse()?)?,
            Long("runners") => options.runners = count(parser.value()?.parse()?)?,
            Long("clients") => options.clients = parser.value()?.parse()?,
            Long("faults") => options.faults = parser.value()?.parse()?,
            Long("deadly-parts") => options.deadly_parts = true,
            Long("standstills") => options.standstills = true,
            Long("directory") => options.directory = Some(parser.value()?.into()),
            Long("role") => role.name = Some(parser.value()?.string()?),
            Long("number") => role.number = parser.value()?.parse()?,
            Long("port") => role.port = parser.value()?.parse()?,
            Long("life") => role.life = parser.value()?.parse()?,
            Long("store") => role.store = Some(parser.value()?.parse()?),
            other => return Err(other.unexpected()),
        }
    }
    match &role.name {
        None => Ok(Command::Soak(options)),
        Some(name) => Ok(Command::Role(role.role(name)?)),
    }
}

fn count(value: u8) -> Result<u8, lexopt::Error> {
    match value {
        1..=MOST_PROCESSES => Ok(value),
        _ => Err(format!("a number of processes must be from 1 to {MOST_PROCESSES}").into()),
    }
}

/// Arguments with which the soak starts its processes.
#[derive(Debug, Default)]
struct RoleArguments {
    name: Option<String>,
    number: u8,
    port: u16,
    life: u32,
    store: Option<SocketAddr>,
}

impl RoleArguments {
    fn role(&self, name: &str) -> Result<Role, lexopt::Error> {
        let ports = Ports::from_first(self.port);
        let store = || self.store.ok_or("--store is missing");
        Ok(match name {
            "store" => Role::Store { ports },
            "gateway" => Role::Gateway {
                number: self.number,
                ports,
                store: store()?,
            },
            "runner" => Role::Runner {
                number: self.number,
                life: self.life,
                ports,
                store: store()?,
            },
            other => return Err(format!("there is no role {other:?}").into()),
        })
    }
}
