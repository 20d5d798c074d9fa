//! Mutual authentication with the shared process key at the start of each connection.

use std::io;
use std::time::Duration;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

const CHALLENGE_BYTES: usize = 32;

/// Ends a challenge whose sender announces the newest version of the calls that it knows. Builds that announce none send a
/// wholly random challenge, and take this one for random.
const VERSION_MARK: [u8; 8] = *b"srlversn";

const VERSION_BYTES: usize = size_of::<u16>();

/// Random part of a challenge with a version.
const RANDOM_BYTES: usize = CHALLENGE_BYTES - VERSION_MARK.len() - VERSION_BYTES;

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

/// Proves possession of `key` to the peer and verifies that the peer possesses it too. Announces `version`, if there is one,
/// and returns the version that the peer announces.
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
    version: Option<u16>,
) -> io::Result<Option<u16>> {
    let exchange = async {
        let own_challenge = new_challenge(version);
        io.write_all(&own_challenge).await?;
        let mut peer_challenge = [0; CHALLENGE_BYTES];
        io.read_exact(&mut peer_challenge).await?;
        io.write_all(&compute_proof(key, role, &peer_challenge, &own_challenge)?).await?;
        let expected = compute_proof(key, role.opposite(), &own_challenge, &peer_challenge)?;
        let mut peer_proof = vec![0; expected.len()];
        io.read_exact(&mut peer_proof).await?;
        match bool::from(peer_proof.ct_eq(&expected)) {
            true => Ok(announced_version(&peer_challenge)),
            false => Err(io::Error::new(io::ErrorKind::PermissionDenied, "process key differs")),
        }
    };
    tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await?
}

fn new_challenge(version: Option<u16>) -> [u8; CHALLENGE_BYTES] {
    let mut challenge: [u8; CHALLENGE_BYTES] = rand::random();
    if let Some(version) = version {
        let (mark, number) = challenge[RANDOM_BYTES..].split_at_mut(VERSION_MARK.len());
        mark.copy_from_slice(&VERSION_MARK);
        number.copy_from_slice(&version.to_be_bytes());
    }
    challenge
}

fn announced_version(challenge: &[u8; CHALLENGE_BYTES]) -> Option<u16> {
    let (_, number) = challenge.split_last_chunk::<VERSION_BYTES>()?;
    challenge[RANDOM_BYTES..].starts_with(&VERSION_MARK).then(|| u16::from_be_bytes(*number))
}

fn compute_proof(key: &str, role: Role, challenge: &[u8], own_challenge: &[u8]) -> io::Result<Vec<u8>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).map_err(io::Error::other)?;
    mac.update(role.label());
    mac.update(challenge);
    mac.update(own_challenge);
    Ok(mac.finalize().into_bytes().to_vec())
}
