use std::io::ErrorKind;

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
    set_options(&stream);
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
