//! The proxy with each of its rules.

use std::net::SocketAddr;
use std::time::Duration;

use sorrelland_soak::deployment::new_network;
use sorrelland_soak::proxy::{Proxy, Rules};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Longer than an exchange on loopback takes.
const WAIT: Duration = Duration::from_millis(300);

/// Starts a server that echoes, and a proxy before it; returns the proxy's address.
async fn start() -> (Proxy, SocketAddr) {
    let network = new_network();
    let [listen, target] = [1, 2].map(|host| format!("{network}.{host}:8000").parse().unwrap());
    let listener = TcpListener::bind(target).await.unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    (Proxy::start(listen, target).await.unwrap(), listen)
}

async fn exchange(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"x").await?;
    stream.read_exact(&mut [0]).await.map(|_| ())
}

#[tokio::test]
async fn held_data_is_delivered_late() {
    for hold_requests in [true, false] {
        let (proxy, address) = start().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        exchange(&mut stream).await.unwrap();
        proxy.set(Rules { hold_requests, hold_responses: !hold_requests, ..Rules::default() });
        stream.write_all(b"x").await.unwrap();
        assert!(timeout(WAIT, stream.read_exact(&mut [0])).await.is_err());
        proxy.set(Rules::default());
        timeout(WAIT, stream.read_exact(&mut [0])).await.unwrap().unwrap();
    }
}

#[tokio::test]
async fn reset_ends_open_and_new_connections() {
    let (proxy, address) = start().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    exchange(&mut stream).await.unwrap();
    proxy.set(Rules { reset: true, ..Rules::default() });
    assert!(timeout(WAIT, stream.read_exact(&mut [0])).await.unwrap().is_err());
    let mut new = TcpStream::connect(address).await.unwrap();
    assert!(timeout(WAIT, exchange(&mut new)).await.unwrap().is_err());
    proxy.set(Rules::default());
    exchange(&mut TcpStream::connect(address).await.unwrap()).await.unwrap();
}

#[tokio::test]
async fn refused_and_delayed_connections() {
    let (proxy, address) = start().await;
    let mut open = TcpStream::connect(address).await.unwrap();
    exchange(&mut open).await.unwrap();
    proxy.set(Rules { refuse: true, ..Rules::default() });
    let mut refused = TcpStream::connect(address).await.unwrap();
    assert!(timeout(WAIT, exchange(&mut refused)).await.unwrap().is_err());
    exchange(&mut open).await.unwrap();
    proxy.set(Rules { delay: WAIT, ..Rules::default() });
    assert!(timeout(WAIT, exchange(&mut open)).await.is_err());
}

#[tokio::test]
async fn rules_for_one_connection_in_two() {
    let (proxy, address) = start().await;
    let mut streams =
        [TcpStream::connect(address).await.unwrap(), TcpStream::connect(address).await.unwrap()];
    for stream in &mut streams {
        exchange(stream).await.unwrap();
    }
    proxy.set(Rules { hold_requests: true, one_in: 2, ..Rules::default() });
    let [first, second] = &mut streams;
    assert!(timeout(WAIT, exchange(first)).await.is_err());
    timeout(WAIT, exchange(second)).await.unwrap().unwrap();
}
