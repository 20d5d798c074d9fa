//! Mutual authentication with the shared process key at the start of each connection.

use std::io;
use std::time::Duration;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

const CHALLENGE_BYTES: usize = 32;

pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Role of a process in a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The process that connected.
    Client,
    /// The process that listens.
    Server,
}

impl Role {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Client => b"sorrelland client",
            Self::Server => b"sorrelland server",
        }
    }

    fn opposite(self) -> Self {
        match self {
            Self::Client => Self::Server,
            Self::Server => Self::Client,
        }
    }
}

/// Proves possession of `key` to the peer and verifies that the peer possesses it too.
///
/// Each end sends a random challenge and answers the peer's with an HMAC over both challenges and its own
/// role, so that neither a replayed nor a reflected answer is accepted. Later messages on the connection are
/// neither encrypted nor authenticated.
///
/// # Errors
///
/// Fails if the peer does not answer in time, disconnects or has a different key.
pub async fn authenticate(
    io: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &str,
    role: Role,
) -> io::Result<()> {
    let exchange = async {
        let own_challenge: [u8; CHALLENGE_BYTES] = rand::random();
        io.write_all(&own_challenge).await?;
        let mut peer_challenge = [0; CHALLENGE_BYTES];
        io.read_exact(&mut peer_challenge).await?;
        io.write_all(&compute_proof(key, role, &peer_challenge, &own_challenge)?).await?;
        let expected = compute_proof(key, role.opposite(), &own_challenge, &peer_challenge)?;
        let mut peer_proof = vec![0; expected.len()];
        io.read_exact(&mut peer_proof).await?;
        match bool::from(peer_proof.ct_eq(&expected)) {
            true => Ok(()),
            false => Err(io::Error::new(io::ErrorKind::PermissionDenied, "process key differs")),
        }
    };
    tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await?
}

fn compute_proof(key: &str, role: Role, challenge: &[u8], own_challenge: &[u8]) -> io::Result<Vec<u8>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).map_err(io::Error::other)?;
    mac.update(role.label());
    mac.update(challenge);
    mac.update(own_challenge);
    Ok(mac.finalize().into_bytes().to_vec())
}
