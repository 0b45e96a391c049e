//! Command line arguments of the lab.

use std::path::PathBuf;

use lexopt::prelude::*;

use crate::demo::DemoOptions;
use crate::faults::FaultOptions;

/// Help text.
pub const USAGE: &str = "\
usage: barleyspar-lab demo --site FILE [--seconds N] [--seed N]
       barleyspar-lab platform --site FILE --directory DIR [--seed N]
       barleyspar-lab load --site FILE --directory DIR [--seconds N] [--seed N]
       barleyspar-lab bench --site FILE [--seed N]
       barleyspar-lab faults --site FILE --seed N [--runs K] [--virtual-seconds S]
                             [--verbose]";

const DEFAULT_SECONDS: f64 = 30.0;
const DEFAULT_SEED: u64 = 1;
const DEFAULT_FAULT_SECONDS: u64 = 240;

/// A parsed command line.
#[derive(Debug, Clone)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Run the demo.
    Demo {
        /// Site file.
        site: PathBuf,
        /// Settings.
        options: DemoOptions,
    },
    /// Run the stand-ins of a site as a process of their own.
    Platform {
        /// Site file.
        site: PathBuf,
        /// Where everything else that is needed is written.
        directory: PathBuf,
        /// Seed.
        seed: u64,
    },
    /// Send a site's traffic to nodes that run already.
    Load {
        /// Site file.
        site: PathBuf,
        /// The directory that the platform wrote.
        directory: PathBuf,
        /// Settings.
        options: DemoOptions,
    },
    /// Measure what a node adds to a request.
    Bench {
        /// Site file.
        site: PathBuf,
        /// Seed.
        seed: u64,
    },
    /// Run a site under faults.
    Faults {
        /// Site file.
        site: PathBuf,
        /// Settings.
        options: FaultOptions,
    },
}

struct Given {
    word: Option<String>,
    site: Option<PathBuf>,
    directory: Option<PathBuf>,
    seconds: Option<f64>,
    seed: Option<u64>,
    runs: Option<u64>,
    virtual_seconds: Option<u64>,
    verbose: bool,
}

/// Parses the process's arguments.
pub fn parse() -> Result<Command, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut given = Given {
        word: None,
        site: None,
        directory: None,
        seconds: None,
        seed: None,
        runs: None,
        virtual_seconds: None,
        verbose: false,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("site") => given.site = Some(parser.value()?.into()),
            Long("directory") => given.directory = Some(parser.value()?.into()),
            Long("seconds") => given.seconds = Some(parser.value()?.parse()?),
            Long("seed") => given.seed = Some(parser.value()?.parse()?),
            Long("virtual-seconds") => given.virtual_seconds = Some(parser.value()?.parse()?),
            Long("runs") => given.runs = Some(parser.value()?.parse()?),
            Long("verbose") => given.verbose = true,
            Value(word) if given.word.is_none() => given.word = Some(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    command(given)
}

fn command(given: Given) -> Result<Command, lexopt::Error> {
    let word = given.word.ok_or("a command is missing")?;
    match word.as_str() {
        "help" => Ok(Command::Help),
        "demo" => Ok(Command::Demo {
            site: given.site.ok_or("--site is missing")?,
            options: DemoOptions {
                seconds: given.seconds.unwrap_or(DEFAULT_SECONDS),
                seed: given.seed.unwrap_or(DEFAULT_SEED),
            },
        }),
        "platform" => Ok(Command::Platform {
            site: given.site.ok_or("--site is missing")?,
            directory: given.directory.ok_or("--directory is missing")?,
            seed: given.seed.unwrap_or(DEFAULT_SEED),
        }),
        "load" => Ok(Command::Load {
            site: given.site.ok_or("--site is missing")?,
            directory: given.directory.ok_or("--directory is missing")?,
            options: DemoOptions {
                seconds: given.seconds.unwrap_or(DEFAULT_SECONDS),
                seed: given.seed.unwrap_or(DEFAULT_SEED),
            },
        }),
        "bench" => Ok(Command::Bench {
            site: given.site.ok_or("--site is missing")?,
            seed: given.seed.unwrap_or(DEFAULT_SEED),
        }),
        "faults" => Ok(Command::Faults {
            site: given.site.ok_or("--site is missing")?,
            options: FaultOptions {
                seed: given.seed.unwrap_or(DEFAULT_SEED),
                runs: given.runs.unwrap_or(1),
                seconds: given.virtual_seconds.unwrap_or(DEFAULT_FAULT_SECONDS),
                verbose: given.verbose,
            },
        }),
        other => Err(format!("there is no command {other:?}").into()),
    }
}
