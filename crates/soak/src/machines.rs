//! The processes and links of a soak, on which its faults strike.

use std::path::PathBuf;
use std::sync::PoisonError;

use nix::sys::signal::Signal;
use tokio::sync::{Mutex, MutexGuard};

use crate::SoakError;
use crate::observations::{Recorder, RunnerObservation, StoreObservation, Target};
use crate::operator::Lives;
use crate::processes::Process;
use crate::proxy::Proxy;
use crate::site::Ports;

/// A process of the site, with what is needed to start it again.
#[derive(Debug)]
pub struct Slot {
    process: Process,
    arguments: Vec<String>,
    log: PathBuf,
    life: u32,
}

/// The processes and links of a soak.
#[derive(Debug)]
pub struct Machines {
    /// Ports of the soak.
    pub ports: Ports,
    /// The store's process.
    pub store: Mutex<Slot>,
    /// Processes of the gateways, by number less one.
    pub gateways: Vec<Mutex<Slot>>,
    /// Processes of the runners, by number less one.
    pub runners: Vec<Mutex<Slot>>,
    /// Links from clients to the gateways, by the gateway's number less one.
    pub client_links: Vec<Proxy>,
    /// Links from the gateways to the store, by the gateway's number less one.
    pub store_links: Vec<Proxy>,
    /// Links from all gateways to the runners, by the runner's number less one.
    pub runner_links: Vec<Proxy>,
    /// Numbers of the gateways' processes.
    pub lives: Lives,
    /// Where faults are recorded.
    pub recorder: Recorder,
}

/// A process that tells what it does, as JSON lines on its standard output.
#[derive(Debug, Clone, Copy)]
pub enum EventSource {
    /// The store.
    Store,
    /// The runner with this number.
    Runner(u8),
}

impl Slot {
    /// Starts a process with `arguments`, whose output goes to `log`. If it tells what it does,
    /// `events` says how and where this is recorded.
    pub fn start(
        arguments: Vec<String>,
        log: PathBuf,
        life: u32,
        events: Option<(EventSource, &Recorder)>,
    ) -> Result<Self, SoakError> {
        let mut all = arguments.clone();
        all.extend(["--life".to_owned(), life.to_string()]);
        let (process, output) = Process::start(&all, &log, events.is_some())?;
        if let (Some(output), Some((source, recorder))) = (output, events) {
            tokio::spawn(read_events(output, source, life, recorder.clone()));
        }
        Ok(Self {
            process,
            arguments,
            log,
            life,
        })
    }

    fn restart(&mut self, events: Option<(EventSource, &Recorder)>) -> Result<(), SoakError> {
        let (arguments, log) = (self.arguments.clone(), self.log.clone());
        *self = Self::start(arguments, log, self.life + 1, events)?;
        Ok(())
    }

    /// Writes a line to the process's standard input.
    pub async fn tell(&mut self, line: &str) {
        self.process.tell(line).await;
    }

    /// Number of the process among those of its machine, from 0.
    pub fn life(&self) -> u32 {
        self.life
    }

    /// Sends the process a signal; does nothing if it has ended.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Waits until the process has ended.
    pub async fn wait(&mut self) {
        self.process.wait().await;
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.has_ended()
    }
}

/// Records what a process tells.
async fn read_events(
    output: tokio::process::ChildStdout,
    source: EventSource,
    life: u32,
    recorder: Recorder,
) {
    use tokio::io::AsyncBufReadExt;
    let mut lines = tokio::io::BufReader::new(output).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let at = recorder.now();
        // A line that a killed process left unfinished tells nothing.
        match source {
            EventSource::Store => {
                if let Ok(change) = serde_json::from_str(&line) {
                    let observation = StoreObservation { at, change };
                    recorder.lock().store_changes.push(observation);
                }
            }
            EventSource::Runner(runner) => {
                if let Ok(event) = serde_json::from_str(&line) {
                    let observation = RunnerObservation {
                        runner,
                        life,
                        at,
                        event,
                    };
                    recorder.lock().runners.push(observation);
                }
            }
        }
    }
}

impl Machines {
    /// Returns the slot of a target's process, unless another lane strikes it.
    pub fn slot(&self, target: Target) -> Option<MutexGuard<'_, Slot>> {
        let slot = match target {
            Target::Gateway(number) => &self.gateways[usize::from(number - 1)],
            Target::Runner(number) => &self.runners[usize::from(number - 1)],
            _ => &self.store,
        };
        slot.try_lock().ok()
    }

    /// Starts a process again that has ended.
    pub fn start_again(&self, slot: &mut Slot, target: Target) -> Result<(), SoakError> {
        match target {
            Target::Runner(number) => {
                slot.restart(Some((EventSource::Runner(number), &self.recorder)))?;
            }
            _ => slot.restart(None)?,
        }
        if let Target::Gateway(number) = target {
            let mut lives = self.lives.lock().unwrap_or_else(PoisonError::into_inner);
            lives[usize::from(number - 1)] = slot.life;
        }
        Ok(())
    }
}
