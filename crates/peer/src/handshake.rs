//! Mutual proof that both ends of a connection know the shared secret.
//!
//! Each side sends 32 random bytes, then an HMAC-SHA-256 over its role and both
//! challenges. No frame is read before the other side's proof was checked. The
//! secret never crosses the wire. Frames after it are not encrypted; a network
//! between zones that can be read or changed by others needs a tunnel.

use std::io;

use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CHALLENGE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;

type Challenge = [u8; CHALLENGE_BYTES];

/// The secret that all nodes of one system share. Its text is never printed.
#[derive(Clone)]
pub struct SharedSecret(Vec<u8>);

impl std::fmt::Debug for SharedSecret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("SharedSecret")
    }
}

#[derive(Clone, Copy)]
enum Role {
    Caller,
    Listener,
}

impl Role {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Caller => b"barleyspar caller",
            Self::Listener => b"barleyspar listener",
        }
    }
}

impl SharedSecret {
    /// The secret with this text.
    pub fn new(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }

    fn mac(&self, role: Role, caller: &Challenge, listener: &Challenge) -> Hmac<Sha256> {
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(&self.0)
            .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        mac.update(role.label());
        mac.update(caller);
        mac.update(listener);
        mac
    }

    /// Proves this side to the listener and checks the listener's proof.
    pub(crate) async fn greet_as_caller(&self, stream: &mut TcpStream) -> io::Result<()> {
        let caller = challenge();
        stream.write_all(&caller).await?;
        let listener = read_challenge(stream).await?;
        let proof = self.mac(Role::Caller, &caller, &listener).finalize();
        stream.write_all(&proof.into_bytes()).await?;
        let expected = self.mac(Role::Listener, &caller, &listener);
        check_proof(stream, expected).await
    }

    /// Checks the caller's proof, then proves this side to it.
    pub(crate) async fn greet_as_listener(&self, stream: &mut TcpStream) -> io::Result<()> {
        let caller = read_challenge(stream).await?;
        let listener = challenge();
        stream.write_all(&listener).await?;
        let expected = self.mac(Role::Caller, &caller, &listener);
        check_proof(stream, expected).await?;
        let proof = self.mac(Role::Listener, &caller, &listener).finalize();
        stream.write_all(&proof.into_bytes()).await
    }
}

fn challenge() -> Challenge {
    let mut bytes = [0; CHALLENGE_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    bytes
}

async fn read_challenge(stream: &mut TcpStream) -> io::Result<Challenge> {
    let mut bytes = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

async fn check_proof(stream: &mut TcpStream, expected: Hmac<Sha256>) -> io::Result<()> {
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    expected
        .verify_slice(&proof)
        .map_err(|_| io::Error::new(io::ErrorKind::PermissionDenied, "peer's proof is wrong"))
}
