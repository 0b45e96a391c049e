//! `barleyspar node`: runs a node until a signal stops it.

use std::path::Path;

use barleyspar_node::{NodeSettings, NodeTuning};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tracing_subscriber::EnvFilter;

use crate::errors::CommandError;

/// Runs the node with the settings file `config`. The first SIGTERM or SIGINT drains it;
/// the second one ends the process at once and cuts requests in flight.
pub fn run(config: &Path) -> Result<(), CommandError> {
    let settings = NodeSettings::read(config)?;
    start_logs();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?;
    runtime.block_on(async {
        let terminate = signal(SignalKind::terminate()).map_err(CommandError::Runtime)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(CommandError::Runtime)?;
        let mut signals = StopSignals {
            terminate,
            interrupt,
        };
        let (stop_sender, stop_receiver) = tokio::sync::oneshot::channel();
        tokio::spawn(async move {
            signals.next().await;
            let _ = stop_sender.send(());
            signals.next().await;
            tracing::warn!("second signal: requests in flight and waiting are cut now");
            std::process::exit(1);
        });
        let stop = async {
            let _ = stop_receiver.await;
        };
        let cut = barleyspar_node::run(settings, NodeTuning::default(), stop).await?;
        if cut > 0 {
            tracing::warn!(cut, "tasks were cut: the time to drain was too short");
        }
        Ok(())
    })
}

/// SIGTERM and SIGINT, which stop a node.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Returns when the process receives the next SIGTERM or SIGINT.
    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn start_logs() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
}
