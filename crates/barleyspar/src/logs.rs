//! Logs of a gateway: JSON lines on standard output, each with the node's name. Their rate
//! is limited, and a request never waits for a line to be written.

use std::io::{self, BufWriter, Write};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Instant;

use tracing::Metadata;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer};

/// Maximum number of lines that wait to be written; further lines are dropped.
const BUFFERED_LINES: usize = 4096;
/// Size of the write buffer, in bytes. A system call costs as much as several lines, so
/// lines that arrive faster than they are written share one call. The writer flushes when
/// no line waits.
const WRITE_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of lines per second of all levels.
const LINES_PER_SECOND: u32 = 600;
/// Additional lines per second for warnings and errors only.
const FAILURES_PER_SECOND: u32 = 400;

/// Starts the logs of `node`. Dropping the returned guard writes the lines that still wait.
pub fn start(node: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES)
        .lossy(true)
        .finish(BufWriter::with_capacity(WRITE_BUFFER_BYTES, io::stdout()));
    let levels = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(NodeLineMaker::new(node, writer))
        .with_filter(LineBudget::new());
    tracing_subscriber::registry()
        .with(levels)
        .with(lines)
        .init();
    log_panics();
    guard
}

/// Logs each panic with its place as a line like all others, besides the usual message on
/// standard error.
fn log_panics() {
    let usual_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let place = panic.location().map(ToString::to_string);
        let cause = panic.payload_as_str();
        tracing::error!(event = "panicked", place, cause);
        usual_hook(panic);
    }));
}

/// Limits the number of lines per second, with a reserve for warnings and errors. Lines over
/// the limit are dropped and counted.
struct LineBudget {
    started: Instant,
    /// Whole seconds from `started` to the second whose lines `lines` counts.
    second: AtomicU64,
    /// Number of lines offered in the current second, whether written or dropped.
    lines: AtomicU32,
    dropped: AtomicU64,
}

impl LineBudget {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            second: AtomicU64::new(0),
            lines: AtomicU32::new(0),
            dropped: AtomicU64::new(0),
        }
    }

    /// Counts a line and returns whether it may be written within the limit of the current
    /// second; `failure` says that it is a warning or an error.
    fn admits(&self, failure: bool) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
            self.report_dropped();
        }
        let limit = LINES_PER_SECOND + if failure { FAILURES_PER_SECOND } else { 0 };
        let admitted = self.lines.fetch_add(1, Ordering::Relaxed) < limit;
        if !admitted {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }

    fn report_dropped(&self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            // Written without tracing: this runs within the handling of a tracing event.
            let _ = writeln!(
                io::stderr(),
                "{{\"level\":\"WARN\",\"event\":\"log_lines_dropped\",\"lines\":{dropped}}}"
            );
        }
    }
}

impl<Registry> Filter<Registry> for LineBudget {
    fn enabled(&self, metadata: &Metadata<'_>, _context: &Context<'_, Registry>) -> bool {
        self.admits(*metadata.level() <= LevelFilter::WARN)
    }
}

/// Makes writers that add the node's name at the start of each line.
struct NodeLineMaker {
    line_start: String,
    writer: NonBlocking,
}

impl NodeLineMaker {
    fn new(node: &str, writer: NonBlocking) -> Self {
        Self {
            line_start: format!("{{\"node\":{node:?},"),
            writer,
        }
    }
}

impl<'a> MakeWriter<'a> for NodeLineMaker {
    type Writer = NodeLine<'a>;

    fn make_writer(&'a self) -> NodeLine<'a> {
        NodeLine {
            line_start: &self.line_start,
            writer: self.writer.clone(),
        }
    }
}

/// Writes one JSON line, with the node's name as its first field.
struct NodeLine<'a> {
    line_start: &'a str,
    writer: NonBlocking,
}

impl Write for NodeLine<'_> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut named_line = Vec::with_capacity(line.len() + self.line_start.len());
        match line.strip_prefix(b"{") {
            Some(fields) => {
                named_line.extend_from_slice(self.line_start.as_bytes());
                named_line.extend_from_slice(fields);
            }
            None => named_line.extend_from_slice(line),
        }
        self.writer.write_all(&named_line)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
    }
}
