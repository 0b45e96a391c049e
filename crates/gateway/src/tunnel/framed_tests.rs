use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

use super::*;

impl ByteStream for tokio::io::DuplexStream {
    fn discard_on_drop(&mut self) {}
}

/// Sends `sent` through a tunnel, in pieces that break frames and headers apart, and returns
/// what its end reads. `closes`: whether the runner closes its connection in good order.
async fn through_tunnel(sent: &[u8], closes: bool) -> io::Result<Vec<u8>> {
    let (mut runner, mut runner_end) = duplex(64 * 1024);
    let (peer, mut peer_end) = duplex(7);
    let copying = tokio::spawn(async move { copy_in_frames(&mut runner_end, &mut peer_end).await });
    runner.write_all(sent).await?;
    if closes {
        drop(runner);
    } else {
        copying.abort();
    }
    let mut received = Vec::new();
    let mut stream = TunnelStream::new(Box::new(peer));
    stream.read_to_end(&mut received).await?;
    Ok(received)
}

#[tokio::test]
async fn bytes_pass_a_tunnel_unchanged() {
    for length in [0, 1, 2, 8191, 8192, 8193, 40_000] {
        let sent: Vec<u8> = (0..length).map(|number| (number % 251) as u8).collect();
        let received = through_tunnel(&sent, true).await;
        assert_eq!(received.expect("the runner closes"), sent, "{length}");
    }
}

#[tokio::test]
async fn a_tunnel_whose_peer_ends_is_reset_and_not_at_its_end() {
    for length in [0, 1, 9000] {
        let error = through_tunnel(&vec![7; length], false).await;
        let kind = error.expect_err("no end was sent").kind();
        assert_eq!(kind, io::ErrorKind::ConnectionReset, "{length}");
    }
}
