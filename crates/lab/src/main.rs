//! `barleyspar-lab`: stand-ins of the platform, load and experiments. Never deployed.
#![allow(missing_docs)]

mod arguments;
mod arrivals;
mod bench;
mod checkers;
mod client;
mod demo;
mod errors;
mod faults;
mod history;
mod outcome;
mod platform;
mod separate;
mod sim;
mod site;
mod standins;

use std::process::ExitCode;

use arguments::{Command, USAGE};
use errors::LabError;

/// Exit code for bad arguments and files.
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let command = match arguments::parse() {
        Ok(command) => command,
        Err(error) => {
            eprintln!("barleyspar-lab: {error}\n\n{USAGE}");
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    start_logs();
    match run(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(LabError::File(error)) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_BAD_INPUT)
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<bool, LabError> {
    match command {
        Command::Help => {
            println!("{USAGE}");
            Ok(true)
        }
        Command::Demo { site, options } => {
            let site = site::Site::read(&site)?;
            real_time_runtime()?.block_on(demo::run(&site, &options))
        }
        Command::Platform {
            site,
            directory,
            seed,
        } => {
            let site = site::Site::read(&site)?;
            real_time_runtime()?.block_on(separate::run_platform(&site, &directory, seed))
        }
        Command::Load {
            site,
            directory,
            options,
        } => {
            let site = site::Site::read(&site)?;
            real_time_runtime()?.block_on(separate::run_load(&site, &directory, &options))
        }
        Command::Bench { site, seed } => {
            let site = site::Site::read(&site)?;
            real_time_runtime()?.block_on(bench::run(&site, seed))
        }
        Command::Faults { site, options } => {
            let path = site.display().to_string();
            faults::run(&path, &site::Site::read(&site)?, &options)
        }
    }
}

fn real_time_runtime() -> Result<tokio::runtime::Runtime, LabError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    Ok(runtime)
}

/// One thread, a paused clock that jumps to the next timer when nothing is left
/// to do, and a seeded random source: the same inputs give the same run.
pub(crate) fn virtual_time_runtime(seed: u64) -> Result<tokio::runtime::Runtime, LabError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .rng_seed(tokio::runtime::RngSeed::from_bytes(&seed.to_be_bytes()))
        .build()?;
    Ok(runtime)
}

fn start_logs() {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("warn"));
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
}
