//! HTTP clients of the platform's services.
//!
//! At-most-once rests on this module: a request that is not repeatable must be
//! put on a connection at most once. So every client here has the library's
//! retries, redirects and system proxies turned off, and requests that are not
//! repeatable use a client that never reuses a connection, because a library
//! may resend on a fresh connection what it wrote to one that was closed.

pub mod engine;
pub mod key_value;
mod machines;
mod plain;

use std::time::Duration;

use reqwest::redirect;

pub use engine::HttpEngine;
pub use key_value::HttpKeyValue;
pub use machines::HttpMachineList;
pub use plain::HttpPlainService;

/// Time to establish a connection.
const CONNECT_TIME_LIMIT: Duration = Duration::from_secs(2);
/// Idle connections kept for each back end.
const IDLE_CONNECTIONS_PER_HOST: usize = 16;

/// Time without a byte after which a connection is probed, and time between two probes.
const KEEP_ALIVE_TIME: Duration = Duration::from_secs(1);
/// Time after which the next unanswered probe ends a connection. The library's own default of
/// 30 s would keep silent connections for as long, whatever the number of probes.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Whether a client may send two requests over one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionReuse {
    Allowed,
    Never,
}

fn client(reuse: ConnectionReuse) -> Result<reqwest::Client, reqwest::Error> {
    let idle = match reuse {
        ConnectionReuse::Allowed => IDLE_CONNECTIONS_PER_HOST,
        ConnectionReuse::Never => 0,
    };
    reqwest::Client::builder()
        .retry(reqwest::retry::never())
        .redirect(redirect::Policy::none())
        .no_proxy()
        .pool_max_idle_per_host(idle)
        .connect_timeout(CONNECT_TIME_LIMIT)
        .tcp_nodelay(true)
        .tcp_keepalive(KEEP_ALIVE_TIME)
        .tcp_keepalive_interval(KEEP_ALIVE_TIME)
        .tcp_user_timeout(USER_TIMEOUT)
        .build()
}

/// An error's text with its sources, without the URL.
fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text
}
