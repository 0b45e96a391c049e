//! `barleyspar gateway`: serves callers on the users' platform until it is told
//! to stop.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use barleyspar_dialect::{PlatformDialect, SETTINGS_VARIABLE, read_settings};
use barleyspar_policy::Program;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::errors::CommandError;

/// Log lines that may wait to be written; more are dropped and counted.
const WAITING_LINES: usize = 4096;

/// Runs a gateway with the policy in `policy` and the platform's settings.
pub fn run(policy: &Path) -> Result<(), CommandError> {
    let policy = read_policy(policy)?;
    let path = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let settings = read_settings(&path.unwrap_or_default())?;
    let _written = start_logs();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?;
    runtime.block_on(barleyspar_gateway::run(
        settings,
        Arc::new(PlatformDialect),
        policy,
    ))?;
    Ok(())
}

fn read_policy(path: &Path) -> Result<Program, CommandError> {
    let bad = |cause: String| CommandError::Policy {
        file: path.display().to_string(),
        cause,
    };
    let source = std::fs::read_to_string(path).map_err(|error| bad(error.to_string()))?;
    let program = Program::compile(&source).map_err(|error| bad(error.to_string()))?;
    program.rehearse().map_err(|error| bad(error.to_string()))?;
    Ok(program)
}

/// Logs go to standard output without ever holding up a request.
fn start_logs() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .init();
    guard
}
