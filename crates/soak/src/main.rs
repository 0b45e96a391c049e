//! `barleyspar-soak`: gateways, a store and runners as processes of their own, under faults
//! from outside, with callers whose observations are checked against the promises.

use std::process::ExitCode;

use barleyspar_soak::{Command, SoakError, USAGE, parse, run_role, run_soak};

/// Exit code for bad arguments.
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let command = match parse() {
        Ok(command) => command,
        Err(error) => {
            eprintln!("barleyspar-soak: {error}\n\n{USAGE}");
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    match run(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("barleyspar-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<bool, SoakError> {
    match command {
        Command::Help => {
            println!("{USAGE}");
            Ok(true)
        }
        Command::Role(role) => run_role(role).map(|()| true),
        Command::Soak(options) => run_soak(&options),
    }
}
