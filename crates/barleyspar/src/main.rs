//! `barleyspar`: runs nodes and gateways, and is the operator's command line.

mod arguments;
mod check;
mod client;
mod commands;
mod errors;
mod gateway;
mod logs;
mod node;
mod trace;

use std::process::ExitCode;

use arguments::{Command, USAGE};

fn main() -> ExitCode {
    let command = match arguments::parse() {
        Ok(command) => command,
        Err(error) => {
            eprintln!("barleyspar: {error}\n\n{USAGE}");
            return ExitCode::from(errors::EXIT_BAD_INPUT);
        }
    };
    let result = match command {
        Command::Help => {
            println!("{USAGE}");
            Ok(())
        }
        Command::Node { config } => node::run(&config),
        Command::Gateway {
            policy,
            metrics_port,
            switches,
        } => gateway::run(&policy, metrics_port, switches),
        Command::Trace { request, files } => trace::run(&request, &files),
        Command::Check { files } => check::run(&files),
        Command::Remote(remote, action) => commands::run(&remote, &action),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
