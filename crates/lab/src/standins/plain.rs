//! Plain services: slot look-up, booking and weighing. Each run is recorded.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use barleyspar_domain::RunnerName;
use barleyspar_platform::plain::{PlainRequest, PlainResponse};
use bytes::Bytes;

use super::violations::Violations;
use crate::history::{Event, History};

/// Header by which the load generator names a request across retries.
pub const OPERATION_HEADER: &str = "x-operation";
/// Header by which the load generator names one try of a request.
pub const TRY_HEADER: &str = "x-try";
/// Time a request takes.
const WORK_TIME: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct Runs {
    by_operation: BTreeMap<String, u32>,
}

/// All instances of one plain service share this record of what ran.
#[derive(Debug, Clone, Default)]
pub struct PlainRecord {
    runs: Arc<Mutex<Runs>>,
    violations: Violations,
    history: History,
}

impl PlainRecord {
    /// A record that reports to `violations`.
    pub fn new(violations: Violations, history: History) -> Self {
        Self {
            runs: Arc::default(),
            violations,
            history,
        }
    }

    /// Handles one request at the instance `runner`.
    pub async fn handle(&self, runner: &RunnerName, request: &PlainRequest) -> PlainResponse {
        let operation = header(request, OPERATION_HEADER);
        let changes = request.method != "GET";
        self.history.record(Event::WorkBegins {
            runner: runner.to_string(),
            request: header(request, TRY_HEADER),
            operation: changes.then(|| operation.clone()),
        });
        if changes {
            self.note_run(&operation);
        }
        tokio::time::sleep(WORK_TIME).await;
        PlainResponse {
            status: 200,
            headers: vec![("content-type".to_owned(), Bytes::from_static(b"text/plain"))],
            body: Bytes::from(expected_body(&request.method, &request.path, &operation)),
        }
    }

    fn note_run(&self, operation: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(|e| e.into_inner());
        let count = runs.by_operation.entry(operation.to_owned()).or_default();
        *count += 1;
        if *count > 1 {
            self.violations
                .record(format!("operation {operation} ran {count} times"));
        }
    }
}

/// The body that answers a request.
pub fn expected_body(method: &str, path: &str, operation: &str) -> String {
    format!("{method} {path} for {operation}\n")
}

fn header(request: &PlainRequest, name: &str) -> String {
    let found = request.headers.iter().find(|(key, _)| key == name);
    found.map_or_else(String::new, |(_, value)| {
        String::from_utf8_lossy(value).into_owned()
    })
}
