//! Authenticated RPC connections between processes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::client::{Config, RpcError};
use tarpc::server::{BaseChannel, Channel, InFlightRequest};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};
use tarpc::{ClientMessage, RequestName, Response, context, serde_transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::agent::AgentRpcClient;
use crate::entry::EntryRpcClient;
use crate::handshake::{Role, authenticate};

pub const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// Limits the TCP connect only; the handshake has its own time-out.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Limit per listener; further connections are closed on accept.
pub const MAX_CONNECTIONS: usize = 4_096;

/// Returns the context of a call whose deadline is `timeout` from now.
pub fn call_context(timeout: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + timeout;
    cx
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec()
}

/// Accepts connections and passes each call to the handler of its connection, until the future is dropped.
///
/// `new_handler` is as for [`serve_versions`].
pub async fn serve<Req, Resp, F>(listener: TcpListener, key: Arc<str>, new_handler: impl Fn() -> F)
where
    Req: RequestName + DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + 'static,
    F: Fn(InFlightRequest<Req, Resp>) + Send + Sync + 'static,
{
    serve_versions(listener, key, None, |_| Bincode::default(), new_handler).await;
}

/// Serves calls whose encoding depends on the peer's version.
///
/// `version` is announced to each peer; `new_codec` gets the version that the peer announces. `new_handler` is called when a connection is accepted. Calls arrive only after the peer has authenticated itself on
/// that connection, so their sender was alive after the handler was made. A handler should spawn a task per call, since
/// the calls of a connection are dispatched one by one.
pub async fn serve_versions<Req, Resp, C, F>(
    listener: TcpListener,
    key: Arc<str>,
    version: Option<u16>,
    new_codec: impl Fn(Option<u16>) -> C + Clone + Send + 'static,
    new_handler: impl Fn() -> F,
) where
    Req: RequestName + DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + 'static,
    C: Codec<Req, Resp>,
    F: Fn(InFlightRequest<Req, Resp>) + Send + Sync + 'static,
{
    let connection_slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // For example out of file descriptors: retry once other connections may have closed.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = connection_slots.clone().try_acquire_owned() else { continue };
        let (key, new_codec, handle_call) = (key.clone(), new_codec.clone(), new_handler());
        tokio::spawn(async move {
            let _permit = permit;
            // A failed handshake or a disconnect affects only this connection.
            let _ = serve_connection(stream, &key, version, new_codec, handle_call).await;
        });
    }
}

async fn serve_connection<Req, Resp, C, F>(
    mut stream: TcpStream,
    key: &str,
    version: Option<u16>,
    new_codec: impl Fn(Option<u16>) -> C,
    handle_call: F,
) -> io::Result<()>
where
    Req: RequestName + DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + 'static,
    C: Codec<Req, Resp>,
    F: Fn(InFlightRequest<Req, Resp>) + Send + Sync,
{
    stream.set_nodelay(true)?;
    let announced = authenticate(&mut stream, key, Role::Server, version).await?;
    let transport = serde_transport::new(Framed::new(stream, codec()), new_codec(announced));
    let mut calls = std::pin::pin!(BaseChannel::with_defaults(transport).requests());
    while let Some(Ok(call)) = calls.next().await {
        handle_call(call);
    }
    Ok(())
}

/// Encoding of the calls of one connection, for the server.
pub trait Codec<Req, Resp>:
    Deserializer<ClientMessage<Req>, Error = io::Error>
    + Serializer<Response<Resp>, Error = io::Error>
    + Send
    + 'static
{
}

impl<Req, Resp, C> Codec<Req, Resp> for C where
    C: Deserializer<ClientMessage<Req>, Error = io::Error>
        + Serializer<Response<Resp>, Error = io::Error>
        + Send
        + 'static
{
}

/// An authenticated connection, which carries one message a frame.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Connects to `address` and authenticates both ends with the shared `key`. Announces `version`, if there is one, and also
/// returns the version that the peer announces.
///
/// # Errors
///
/// Fails if the address is malformed, the connection is refused or times out, or the handshake fails.
pub async fn connect_authenticated(
    address: &str,
    key: &str,
    version: Option<u16>,
) -> io::Result<(Frames, Option<u16>)> {
    let address: SocketAddr = address
        .parse()
        .map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, format!("{address}: {e}")))?;
    let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let announced = authenticate(&mut stream, key, Role::Client, version).await?;
    Ok((Framed::new(stream, codec()), announced))
}

/// An RPC client that can be created for an address.
pub trait Connect: Clone + Send + Sync + 'static {
    /// Connects to `address`, authenticating with `key`.
    fn connect(address: &str, key: &str) -> impl Future<Output = io::Result<Self>> + Send;
}

impl Connect for AgentRpcClient {
    async fn connect(address: &str, key: &str) -> io::Result<Self> {
        let (frames, _) = connect_authenticated(address, key, None).await?;
        let transport = serde_transport::new(frames, Bincode::default());
        Ok(Self::new(Config::default(), transport).spawn())
    }
}

impl Connect for EntryRpcClient {
    async fn connect(address: &str, key: &str) -> io::Result<Self> {
        let (frames, _) = connect_authenticated(address, key, None).await?;
        let transport = serde_transport::new(frames, Bincode::default());
        Ok(Self::new(Config::default(), transport).spawn())
    }
}

/// The client of one address, if connected; the lock keeps two callers from connecting at the same time.
type ClientSlot<C> = Arc<tokio::sync::Mutex<Option<C>>>;

/// Pool with one connection per address, made on first use and again after it has failed.
#[derive(Clone)]
pub struct Pool<C> {
    key: Arc<str>,
    clients: Arc<Mutex<BTreeMap<String, ClientSlot<C>>>>,
}

impl<C: Connect> Pool<C> {
    pub fn new(key: &str) -> Self {
        Self { key: key.into(), clients: Arc::default() }
    }

    /// Returns the client for `address`, connecting first if needed.
    ///
    /// # Errors
    ///
    /// Fails if the connection or the handshake fails.
    pub async fn get(&self, address: &str) -> io::Result<C> {
        let slot = {
            let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
            clients.entry(address.to_owned()).or_default().clone()
        };
        let mut client = slot.lock().await;
        match &*client {
            Some(client) => Ok(client.clone()),
            None => {
                let connected = C::connect(address, &self.key).await?;
                *client = Some(connected.clone());
                Ok(connected)
            }
        }
    }

    /// Removes the connection to `address` from the pool, so that the next use makes a new one.
    pub fn discard(&self, address: &str) {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner).remove(address);
    }

    /// Makes one call to `address`. Discards the connection if the call fails other than by its deadline.
    ///
    /// # Errors
    ///
    /// The error tells whether the call was never sent or may have been delivered.
    pub async fn call<T, F>(&self, address: &str, call: impl FnOnce(C) -> F) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.get(address).await.map_err(CallError::Connect)?;
        let result = call(client).await;
        result.map_err(|e| {
            // A call that can't be encoded for the peer is not sent, and leaves the connection as it is.
            if !matches!(e, RpcError::DeadlineExceeded | RpcError::Send(_)) {
                self.discard(address);
            }
            CallError::Rpc(e)
        })
    }
}

/// Why a call has no reply.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum CallError {
    /// No connection could be made, so the call was never sent.
    #[display("cannot connect: {_0}")]
    Connect(io::Error),
    /// The call may have been delivered.
    #[display("call broke: {_0}")]
    Rpc(RpcError),
}
