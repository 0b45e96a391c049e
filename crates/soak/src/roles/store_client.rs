//! A client of the store for runners and the operator.

use std::net::SocketAddr;
use std::time::Duration;

use barleyspar_catalog::{Dialect, StoreAnswer, StoreCall, Transaction, Write};
use barleyspar_standin::NativeDialect;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends `call` to the store on a connection of its own. Returns `None` without an answer, or if
/// the store refuses the call.
pub async fn call_store(store: SocketAddr, call: &StoreCall) -> Option<StoreAnswer> {
    timeout(CALL_TIMEOUT, exchange(store, call)).await.ok()?
}

async fn exchange(store: SocketAddr, call: &StoreCall) -> Option<StoreAnswer> {
    let stream = TcpStream::connect(store).await.ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // An error of the connection shows as a missing answer.
    let driver = tokio::spawn(async move { connection.await.ok() });
    let request = NativeDialect.store_call(call).map(Full::<Bytes>::new);
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    driver.abort();
    NativeDialect.read_store_answer(call, 0, status, &body).ok()
}

/// Writes `value` under `key`, with this lease or 0. Returns whether the store acknowledged it.
pub async fn write(store: SocketAddr, key: &str, value: Bytes, lease: u64) -> bool {
    let write = Write {
        key: key.to_owned(),
        value,
        lease,
    };
    let call = StoreCall::Commit(Transaction {
        conditions: Vec::new(),
        writes: vec![write],
        removes: Vec::new(),
    });
    matches!(
        call_store(store, &call).await,
        Some(StoreAnswer::Committed { .. })
    )
}
