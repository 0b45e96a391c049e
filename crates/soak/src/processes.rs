//! The processes of a soak: started, signalled by their ids, and ended with it.

use std::fs::File;
use std::path::Path;
use std::process::Stdio;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::AsyncWriteExt;
use tokio::process::{Child, ChildStdout, Command};

use crate::SoakError;

/// A process that the soak started. It is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts this program again with `arguments`. Its standard output and error go to `log`,
    /// unless the soak reads the former: then it is returned.
    pub fn start(
        arguments: &[String],
        log: &Path,
        reads_output: bool,
    ) -> Result<(Self, Option<ChildStdout>), SoakError> {
        let program = std::env::current_exe().map_err(SoakError::io("own program"))?;
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(SoakError::io("log file"))?;
        let errors = log.try_clone().map_err(SoakError::io("log file"))?;
        let output = if reads_output {
            Stdio::piped()
        } else {
            log.into()
        };
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(output)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .map_err(SoakError::io("start of a process"))?;
        let output = child.stdout.take();
        Ok((Self { child }, output))
    }

    /// Sends the process a signal; does nothing if it has ended.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.id() {
            // The process may end at any time, so that there is nothing left to signal.
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Writes a line to the process's standard input.
    pub async fn tell(&mut self, line: &str) {
        let Some(input) = self.child.stdin.as_mut() else {
            return;
        };
        // A process that has ended reads nothing any more.
        let _ = input.write_all(format!("{line}\n").as_bytes()).await;
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has ended.
    pub async fn wait(&mut self) {
        // Waiting fails only for a process that was waited for before.
        let _ = self.child.wait().await;
    }
}
