use std::io::ErrorKind;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{ByteStream, KEEP_ALIVE_PROBES, KEEP_ALIVE_TIME, USER_TIMEOUT, prepare};

/// A connection that goes silent without a reset shows it only by these.
#[tokio::test]
async fn connections_are_probed_and_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let stream = TcpStream::connect(address).await.expect("it listens");
    prepare(&stream);
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("it is known"));
    assert_eq!(
        socket.tcp_keepalive_time().expect("it is known"),
        KEEP_ALIVE_TIME
    );
    assert_eq!(
        socket.tcp_keepalive_interval().expect("it is known"),
        KEEP_ALIVE_TIME
    );
    assert_eq!(
        socket.tcp_keepalive_retries().expect("it is known"),
        KEEP_ALIVE_PROBES
    );
    let user_timeout = socket.tcp_user_timeout().expect("it is known");
    assert_eq!(user_timeout, Some(USER_TIMEOUT));
}

#[tokio::test]
async fn a_socket_that_discards_is_reset_and_not_closed_in_order() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let (mut accepted, _) = listener.accept().await.expect("one has come");
    stream.write_all(b"order").await.expect("it is open");
    stream.discard_on_drop();
    drop(stream);
    let mut read = Vec::new();
    let end = accepted.read_to_end(&mut read).await;
    let error = end.expect_err("it is reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}
