//! Logs of a gateway: JSON lines on standard output, bounded in number, each
//! with the node's name; writing them never holds up a request.

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

/// Lines that may wait to be written; more are dropped and counted.
const WAITING_LINES: usize = 4096;
/// Bytes that are written at once when lines come faster than they are written:
/// each call of the system costs as much as some lines. The writer flushes when
/// no line waits.
const WRITE_BYTES: usize = 64 * 1024;
/// Lines a second of all kinds.
const LINES_A_SECOND: u32 = 600;
/// Lines a second that only warnings and errors may use beyond those.
const FAILURES_A_SECOND: u32 = 400;

/// Starts the logs of `node`. They end when the guard is dropped.
pub fn start(node: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES)
        .lossy(true)
        .finish(BufWriter::with_capacity(WRITE_BYTES, io::stdout()));
    let levels = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(NodeLines::new(node, writer))
        .with_filter(LineBudget::new());
    tracing_subscriber::registry()
        .with(levels)
        .with(lines)
        .init();
    guard
}

/// Lets so many lines a second through; failures are the last to go.
struct LineBudget {
    started: Instant,
    second: AtomicU64,
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

    fn admits(&self, failure: bool) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
            self.report_dropped();
        }
        let most = LINES_A_SECOND + if failure { FAILURES_A_SECOND } else { 0 };
        let admitted = self.lines.fetch_add(1, Ordering::Relaxed) < most;
        if !admitted {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }

    fn report_dropped(&self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            // Not through tracing: this runs within one of its events.
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

/// Puts the node's name at the beginning of each line.
struct NodeLines {
    beginning: String,
    writer: NonBlocking,
}

impl NodeLines {
    fn new(node: &str, writer: NonBlocking) -> Self {
        Self {
            beginning: format!("{{\"node\":{node:?},"),
            writer,
        }
    }
}

impl<'a> MakeWriter<'a> for NodeLines {
    type Writer = NodeLine<'a>;

    fn make_writer(&'a self) -> NodeLine<'a> {
        NodeLine {
            beginning: &self.beginning,
            writer: self.writer.clone(),
        }
    }
}

/// Writes one line.
struct NodeLine<'a> {
    beginning: &'a str,
    writer: NonBlocking,
}

impl Write for NodeLine<'_> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut named = Vec::with_capacity(line.len() + self.beginning.len());
        match line.strip_prefix(b"{") {
            Some(rest) => {
                named.extend_from_slice(self.beginning.as_bytes());
                named.extend_from_slice(rest);
            }
            None => named.extend_from_slice(line),
        }
        self.writer.write_all(&named)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
    }
}
