//! Mutual proof of the shared process key at the start of each connection.

use std::io;
use std::time::Duration;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Bytes of a challenge.
const CHALLENGE_BYTES: usize = 32;

/// Time for the whole handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Which end of a connection a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The process that connected.
    Client,
    /// The process that listens.
    Server,
}

impl End {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Client => b"sorrelland client",
            Self::Server => b"sorrelland server",
        }
    }

    fn other(self) -> Self {
        match self {
            Self::Client => Self::Server,
            Self::Server => Self::Client,
        }
    }
}

/// Proves the key to the other end and checks the other end's proof.
///
/// Each end sends a random challenge and answers the other's with an HMAC over both challenges and its role,
/// so neither a replay nor a reflection is accepted. What follows on the connection is not protected.
///
/// # Errors
///
/// Returns an error when the other end is silent, goes away or does not know the key.
pub async fn prove(io: &mut (impl AsyncRead + AsyncWrite + Unpin), key: &str, end: End) -> io::Result<()> {
    let exchange = async {
        let mine: [u8; CHALLENGE_BYTES] = rand::random();
        io.write_all(&mine).await?;
        let mut theirs = [0; CHALLENGE_BYTES];
        io.read_exact(&mut theirs).await?;
        io.write_all(&tag(key, end, &theirs, &mine)?).await?;
        let expected = tag(key, end.other(), &mine, &theirs)?;
        let mut proof = vec![0; expected.len()];
        io.read_exact(&mut proof).await?;
        match bool::from(proof.ct_eq(&expected)) {
            true => Ok(()),
            false => Err(io::Error::new(io::ErrorKind::PermissionDenied, "process key differs")),
        }
    };
    tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await?
}

fn tag(key: &str, end: End, challenge: &[u8], own: &[u8]) -> io::Result<Vec<u8>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).map_err(io::Error::other)?;
    mac.update(end.label());
    mac.update(challenge);
    mac.update(own);
    Ok(mac.finalize().into_bytes().to_vec())
}
