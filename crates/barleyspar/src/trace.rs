//! `barleyspar trace`: explains how a request was handled, from the logs of all machines.
//!
//! Prints each line that names the request, and the changes of a node's view that its
//! decisions depended on: the configuration in force, entries and reports of the runners
//! that the request was sent to, changes of the placement leader, and the crashes that
//! other attempts of the same request caused.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

use flate2::read::MultiGzDecoder;
use serde_json::{Map, Value};

use crate::errors::CommandError;

/// Events that change a node's view of a runner.
const RUNNER_EVENTS: [&str; 11] = [
    "runner_entry",
    "runner_gone",
    "runner_limit",
    "runner_leaves",
    "runner_pauses",
    "runner_speed",
    "report",
    "report_failed",
    "order",
    "order_answered",
    "order_unanswered",
];
/// Events about a caller's request over all its attempts, including earlier requests with
/// the same fingerprint.
const FINGERPRINT_EVENTS: [&str; 2] = ["runner_crashed", "quarantined"];
/// Events that change a node's state or its view of the whole cluster.
const NODE_EVENTS: [&str; 8] = [
    "configuration_in_force",
    "placement_leader",
    "leader_silent",
    "lease_taken",
    "lease_lost",
    "started",
    "stopping",
    "store_call_failed",
];
/// Fields that are printed at the start of a line, or left out.
const OMITTED_FIELDS: [&str; 5] = ["timestamp", "level", "event", "node", "request"];
/// First bytes of gzip data.
const GZIP_MAGIC: [u8; 2] = [0x1f, 0x8b];

/// A line of a log: a JSON object, and its timestamp for sorting.
struct Line {
    timestamp: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Returns the text of a field; empty if the line has none.
    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }
}

/// Prints the lines that explain how `request` was handled, from `files` or, without files,
/// from standard input.
pub fn run(request: &str, files: &[PathBuf]) -> Result<(), CommandError> {
    let mut lines = Vec::new();
    if files.is_empty() {
        read_lines(io::stdin().lock(), &mut lines).map_err(|error| read_error("-", &error))?;
    }
    for file in files {
        let source = open(file).map_err(|error| read_error(&file.display().to_string(), &error))?;
        read_lines(source, &mut lines)
            .map_err(|error| read_error(&file.display().to_string(), &error))?;
    }
    let related = related_lines(request, lines);
    if related.is_empty() {
        return Err(CommandError::Refused(format!(
            "no line names the request {request}"
        )));
    }
    for line in related {
        println!("{}", format_line(&line));
    }
    Ok(())
}

fn read_error(file: &str, error: &io::Error) -> CommandError {
    CommandError::Refused(format!("{file}: {error}"))
}

/// Opens a log file; gzip data is unpacked while it is read.
fn open(path: &Path) -> io::Result<Box<dyn Read>> {
    let mut file = BufReader::new(File::open(path)?);
    let is_gzip = file.fill_buf()?.starts_with(&GZIP_MAGIC);
    if is_gzip {
        return Ok(Box::new(MultiGzDecoder::new(file)));
    }
    Ok(Box::new(file))
}

/// Adds the JSON objects of a log to `lines`. Text before the object on its line is skipped,
/// and so are lines without an object.
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

/// Returns the lines about the request, about its fingerprint, and, between its first and
/// last line, about the runners and nodes that handled it; sorted by time.
fn related_lines(request: &str, mut lines: Vec<Line>) -> Vec<Line> {
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let names_request = |line: &Line| line.text("request") == request;
    let Some(first) = lines.iter().position(names_request) else {
        return Vec::new();
    };
    let last = lines.iter().rposition(names_request).unwrap_or(first);
    let values_of = |field: &str| -> BTreeSet<String> {
        let request_lines = lines.iter().filter(|line| names_request(line));
        let values = request_lines.map(|line| line.text(field).to_owned());
        values.filter(|value| !value.is_empty()).collect()
    };
    let (runners, nodes) = (values_of("runner"), values_of("node"));
    let fingerprints = values_of("fingerprint");
    lines
        .into_iter()
        .enumerate()
        .filter(|(index, line)| {
            let meanwhile = (first..=last).contains(index);
            names_request(line)
                || is_about_fingerprint(line, &fingerprints)
                || (meanwhile && is_about_runner_or_node(line, &runners, &nodes))
        })
        .map(|(_, line)| line)
        .collect()
}

fn is_about_fingerprint(line: &Line, fingerprints: &BTreeSet<String>) -> bool {
    FINGERPRINT_EVENTS.contains(&line.text("event"))
        && fingerprints.contains(line.text("fingerprint"))
}

fn is_about_runner_or_node(
    line: &Line,
    runners: &BTreeSet<String>,
    nodes: &BTreeSet<String>,
) -> bool {
    let event = line.text("event");
    let about_runner = RUNNER_EVENTS.contains(&event) && runners.contains(line.text("runner"));
    let about_node = NODE_EVENTS.contains(&event) && nodes.contains(line.text("node"));
    about_runner || about_node
}

/// Formats a line for people: time, node, event, then the other fields.
fn format_line(line: &Line) -> String {
    let mut text = format!(
        "{} {:<20} {:<22}",
        line.timestamp,
        line.text("node"),
        line.text("event")
    );
    for (name, value) in &line.fields {
        if OMITTED_FIELDS.contains(&name.as_str()) {
            continue;
        }
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        text.push_str(&format!(" {name}={value}"));
    }
    text
}
