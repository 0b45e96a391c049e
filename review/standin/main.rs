//! The cases of the review that are scripts: each runs gateways as processes between stand-ins
//! of the platform's store, runners and clients, which are threads of this program.
//!
//! Usage: `standin CASE FOLDER`, from the repository's root. FOLDER gets `record.txt`. Exits
//! with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 in
//! the environment the disruption is left out.

mod gateway;
mod http;
mod json;
mod late_copy;
mod record;
mod runner;
mod slow_client;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;
use std::{env, fs, io};

use crate::record::Record;

/// Longest time that a run may take.
const LONGEST_RUN: Duration = Duration::from_secs(110);

/// Whether the rule held in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    /// What the case needs has not come about, so that it shows nothing.
    NotTried,
}

fn main() -> ExitCode {
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        eprintln!("the run takes too long");
        // The gateways end with this program.
        std::process::exit(2);
    });
    match run() {
        Ok(Verdict::Held) => ExitCode::from(0),
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotTried) => ExitCode::from(2),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> io::Result<Verdict> {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        return Err(io::Error::other("usage: standin CASE FOLDER"));
    };
    let record = Record::begin(Path::new(folder))?;
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let files = TemporaryFolder::create()?;
    let verdict = match case.as_str() {
        "late_copy" => late_copy::run(&record, &files.path, has_trouble)?,
        "slow_client" => slow_client::run(&record, &files.path, has_trouble)?,
        _ => return Err(io::Error::other("no such case")),
    };
    record.line(&format!("verdict: {verdict:?}"));
    println!("{verdict:?}");
    Ok(verdict)
}

/// A folder for settings and logs, which is removed at the end unless KEEP is set.
struct TemporaryFolder {
    path: PathBuf,
}

impl TemporaryFolder {
    fn create() -> io::Result<TemporaryFolder> {
        let path = env::temp_dir().join(format!("barleyspar-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(TemporaryFolder { path })
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}
