use std::io::ErrorKind;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{ByteStream, KEEP_ALIVE_PROBES, KEEP_ALIVE_TIME, USER_TIMEOUT, set_options};

/// Without the probes and the timeout that `set_options` sets, a connection whose peer became
/// unresponsive without a reset is never closed.
#[tokio::test]
async fn connections_are_probed_and_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let stream = TcpStream::connect(address)
        .await
        .expect("the listener accepts connections");
    set_options(&stream, USER_TIMEOUT);
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("the option can be read"));
    assert_eq!(
        socket.tcp_keepalive_time().expect("the option can be read"),
        KEEP_ALIVE_TIME
    );
    assert_eq!(
        socket
            .tcp_keepalive_interval()
            .expect("the option can be read"),
        KEEP_ALIVE_TIME
    );
    assert_eq!(
        socket
            .tcp_keepalive_retries()
            .expect("the option can be read"),
        KEEP_ALIVE_PROBES
    );
    let user_timeout = socket.tcp_user_timeout().expect("the option can be read");
    assert_eq!(user_timeout, Some(USER_TIMEOUT));
}

/// Shortest limit of a site for a machine that is out of contact.
const CONTACT_LIMIT: Duration = Duration::from_secs(3);

#[test]
fn a_user_timeout_does_not_keep_silent_connections_open_beyond_the_contact_limit() {
    // With a user timeout, the system ends a connection at the first probe that is due once the
    // timeout has passed; the number of probes counts only without one.
    let probes = (2..).map(|number| KEEP_ALIVE_TIME * number);
    let closed_at = probes.into_iter().find(|due| *due >= USER_TIMEOUT);
    assert!(closed_at <= Some(CONTACT_LIMIT), "{closed_at:?}");
    // Bytes that are under way get no shorter time than a lossy link needs for them.
    assert!(USER_TIMEOUT >= 2 * KEEP_ALIVE_TIME);
}

#[tokio::test]
async fn a_socket_that_discards_is_reset_and_not_closed_in_order() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the listener accepts connections");
    let (mut accepted, _) = listener.accept().await.expect("a connection arrives");
    stream
        .write_all(b"order")
        .await
        .expect("the stream is open");
    stream.discard_on_drop();
    drop(stream);
    let mut read = Vec::new();
    let end = accepted.read_to_end(&mut read).await;
    let error = end.expect_err("the connection is reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}
