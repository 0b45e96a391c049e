//! Plays the cases of the second review that are scripts: starts gateways of the project beside
//! stand-ins of the platform, the runners and the clients, and judges what these saw.
//!
//! `standin-2 CASE RECORD`; ends with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run. With `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod gateway;
mod http;
mod json;
mod record;
mod retired_model;
mod runner;
mod site;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

use record::Record;

/// Longest time of a case.
const LONGEST_CASE: Duration = Duration::from_secs(110);

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
}

/// What each case gets.
pub struct Stage {
    pub record: Arc<Record>,
    /// Whether the disruption is played.
    pub has_trouble: bool,
    /// A directory for the files of the case.
    pub directory: PathBuf,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: standin-2 CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let prepared = std::fs::create_dir_all(&directory).and_then(|()| Record::create(record));
    let Ok(record) = prepared else {
        eprintln!("the record or the temporary directory cannot be written");
        exit(2);
    };
    let stage = Stage {
        record: Arc::new(record),
        has_trouble,
        directory: directory.clone(),
    };
    let record = stage.record.clone();
    let case = case.clone();
    let played = thread::spawn(move || match &*case {
        "retired-model" => retired_model::play(&stage),
        _ => Err(std::io::ErrorKind::NotFound.into()),
    });
    let mut waited = Duration::ZERO;
    while !played.is_finished() && waited < LONGEST_CASE {
        sleep(Duration::from_millis(50));
        waited += Duration::from_millis(50);
    }
    let code = if !played.is_finished() {
        record.line("the case took too long");
        2
    } else {
        match played.join() {
            Ok(Ok(Verdict::Held)) => 0,
            Ok(Ok(Verdict::Broken)) => 1,
            Ok(Err(error)) => {
                record.line(format!("the case could not run: {error}"));
                2
            }
            Err(_) => 2,
        }
    };
    gateway::end_all();
    record.line(format!("exit {code}"));
    // Files of the gateways that are left over would only take room.
    let _ = std::fs::remove_dir_all(directory);
    exit(code);
}
