//! Tests of the authentication at the start of a connection, and of the versions that both ends announce.

use sorrelland_wire::handshake::{Role, authenticate};

const KEY: &str = "key";

/// Guards against a version that is read from the random challenge of a peer that announces none.
#[yare::parameterized(
    both = { Some(2), Some(3) },
    only_client = { Some(2), None },
    only_server = { None, Some(u16::MAX) },
    neither = { None, None },
)]
#[test_macro(tokio::test)]
async fn authenticate_returns_the_version_of_the_peer(client: Option<u16>, server: Option<u16>) {
    let (mut near, mut far) = tokio::io::duplex(1_024);
    let ends = tokio::join!(
        authenticate(&mut near, KEY, Role::Client, client),
        authenticate(&mut far, KEY, Role::Server, server),
    );
    assert_eq!((ends.0.unwrap(), ends.1.unwrap()), (server, client));
}

#[tokio::test]
async fn authenticate_refuses_another_key_that_announces_a_version() {
    let (mut near, mut far) = tokio::io::duplex(1_024);
    let ends = tokio::join!(
        authenticate(&mut near, KEY, Role::Client, Some(2)),
        authenticate(&mut far, "other", Role::Server, Some(2)),
    );
    assert!(ends.0.is_err() && ends.1.is_err());
}
