//! `barleyspar gateway`: runs a gateway on the users' platform until a signal stops it.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use barleyspar_dialect::{PlatformDialect, SETTINGS_VARIABLE, read_settings};
use barleyspar_domain::Switches;
use barleyspar_gateway::{PlacementOptions, Sockets};
use barleyspar_policy::Program;

use crate::errors::CommandError;
use crate::logs;

/// Runs a gateway with the policy file `policy` and the settings file that the variable
/// [`SETTINGS_VARIABLE`] names, without the mechanisms that `switches` disables.
/// Metrics are served on `metrics_port`; for `None`, they are not served.
pub fn run(
    policy: &Path,
    metrics_port: Option<u16>,
    switches: Switches,
) -> Result<(), CommandError> {
    let policy = read_policy(policy)?;
    let placing = PlacementOptions { policy, switches };
    let path = std::env::var_os(SETTINGS_VARIABLE)
        .map(PathBuf::from)
        .unwrap_or_default();
    let settings = read_settings(&path, metrics_port)?;
    let _log_guard = logs::start(&settings.name);
    let reload_settings =
        move || read_settings(&path, metrics_port).map_err(|error| error.to_string());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?;
    runtime.block_on(barleyspar_gateway::run(
        reload_settings,
        settings,
        Arc::new(PlatformDialect),
        placing,
        Arc::new(Sockets),
    ))?;
    Ok(())
}

/// Reads a policy file, compiles it and evaluates it on trial inputs.
pub fn read_policy(path: &Path) -> Result<Program, CommandError> {
    let policy_error = |cause: String| CommandError::Policy {
        file: path.display().to_string(),
        cause,
    };
    let source = std::fs::read_to_string(path).map_err(|error| policy_error(error.to_string()))?;
    let program = Program::compile(&source).map_err(|error| policy_error(error.to_string()))?;
    program
        .dry_run()
        .map_err(|error| policy_error(error.to_string()))?;
    Ok(program)
}
