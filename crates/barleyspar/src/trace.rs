//! `barleyspar trace`: a request's story, from the logs of all machines.
//!
//! Prints every decision that names the request, and beside them the changes
//! of belief that a decision rests on: the configuration put in force, entries
//! and reports of the runners that the request went to, who led the placement,
//! and the crashes that other tries of the same request were at.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

use flate2::read::MultiGzDecoder;
use serde_json::{Map, Value};

use crate::errors::CommandError;

/// Beliefs about a runner.
const RUNNER_BELIEFS: [&str; 10] = [
    "runner_entry",
    "runner_gone",
    "runner_limit",
    "runner_leaves",
    "runner_pauses",
    "report",
    "report_failed",
    "order",
    "order_answered",
    "order_unanswered",
];
/// What is known of the caller's request over all its tries, also before this one.
const REQUEST_BELIEFS: [&str; 2] = ["runner_crashed", "quarantined"];
/// Beliefs about everything.
const COMMON_BELIEFS: [&str; 8] = [
    "configuration_in_force",
    "placement_leader",
    "leader_silent",
    "lease_taken",
    "lease_lost",
    "started",
    "stopping",
    "store_call_failed",
];
/// Fields that stand at the beginning of a printed line, or say nothing.
const LEADING_FIELDS: [&str; 5] = ["timestamp", "level", "event", "node", "request"];
/// First bytes of gzip data.
const GZIP_MAGIC: [u8; 2] = [0x1f, 0x8b];

/// A line of a log.
struct Line {
    timestamp: String,
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }
}

/// Tells the story of `request` from `files`, or from standard input.
pub fn run(request: &str, files: &[PathBuf]) -> Result<(), CommandError> {
    let mut lines = Vec::new();
    if files.is_empty() {
        read_lines(io::stdin().lock(), &mut lines).map_err(|error| unreadable("-", &error))?;
    }
    for file in files {
        let opened = open(file).map_err(|error| unreadable(&file.display().to_string(), &error))?;
        read_lines(opened, &mut lines)
            .map_err(|error| unreadable(&file.display().to_string(), &error))?;
    }
    let story = story(request, lines);
    if story.is_empty() {
        return Err(CommandError::Refused(format!(
            "no line names the request {request}"
        )));
    }
    for line in story {
        println!("{}", print(&line));
    }
    Ok(())
}

fn unreadable(file: &str, error: &io::Error) -> CommandError {
    CommandError::Refused(format!("{file}: {error}"))
}

fn open(path: &Path) -> io::Result<Box<dyn Read>> {
    let mut file = BufReader::new(File::open(path)?);
    let zipped = file.fill_buf()?.starts_with(&GZIP_MAGIC);
    if zipped {
        return Ok(Box::new(MultiGzDecoder::new(file)));
    }
    Ok(Box::new(file))
}

/// Takes in the JSON objects of a log; what stands before one on its line is
/// passed over.
fn read_lines(source: impl Read, lines: &mut Vec<Line>) -> io::Result<()> {
    for line in BufReader::new(source).lines() {
        let line = line?;
        let Some(start) = line.find('{') else {
            continue;
        };
        if let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) {
            let timestamp = fields
                .get("timestamp")
                .and_then(Value::as_str)
                .unwrap_or("");
            let timestamp = timestamp.to_owned();
            lines.push(Line { timestamp, fields });
        }
    }
    Ok(())
}

/// The lines that belong to the request's story, in order.
fn story(request: &str, mut lines: Vec<Line>) -> Vec<Line> {
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let own = |line: &Line| line.text("request") == request;
    let Some(first) = lines.iter().position(own) else {
        return Vec::new();
    };
    let last = lines.iter().rposition(own).unwrap_or(first);
    let named = |field: &str| -> BTreeSet<String> {
        let own_lines = lines.iter().filter(|line| own(line));
        let named = own_lines.map(|line| line.text(field).to_owned());
        named.filter(|name| !name.is_empty()).collect()
    };
    let (runners, nodes) = (named("runner"), named("node"));
    let fingerprints = named("fingerprint");
    lines
        .into_iter()
        .enumerate()
        .filter(|(index, line)| {
            let meanwhile = (first..=last).contains(index);
            own(line)
                || is_of_request(line, &fingerprints)
                || (meanwhile && is_belief(line, &runners, &nodes))
        })
        .map(|(_, line)| line)
        .collect()
}

fn is_of_request(line: &Line, fingerprints: &BTreeSet<String>) -> bool {
    REQUEST_BELIEFS.contains(&line.text("event")) && fingerprints.contains(line.text("fingerprint"))
}

fn is_belief(line: &Line, runners: &BTreeSet<String>, nodes: &BTreeSet<String>) -> bool {
    let event = line.text("event");
    let about_runner = RUNNER_BELIEFS.contains(&event) && runners.contains(line.text("runner"));
    let common = COMMON_BELIEFS.contains(&event) && nodes.contains(line.text("node"));
    about_runner || common
}

fn print(line: &Line) -> String {
    let mut text = format!(
        "{} {:<20} {:<22}",
        line.timestamp,
        line.text("node"),
        line.text("event")
    );
    for (name, value) in &line.fields {
        if LEADING_FIELDS.contains(&name.as_str()) {
            continue;
        }
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        text.push_str(&format!(" {name}={value}"));
    }
    text
}
