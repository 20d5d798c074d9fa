//! Connections between processes: the handshake, then remote calls.

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
use tarpc::{RequestName, context, serde_transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::agent::AgentRpcClient;
use crate::entry::EntryRpcClient;
use crate::handshake::{End, prove};

/// Bytes of one message at most.
pub const MESSAGE_LIMIT_BYTES: usize = 32 * 1024 * 1024;

/// Time to make a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Connections that a listener serves at a time.
pub const CONNECTION_LIMIT: usize = 4_096;

/// Returns a call context with a deadline.
pub fn within(timeout: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + timeout;
    cx
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MESSAGE_LIMIT_BYTES).new_codec()
}

/// Serves calls on a listener until the task is dropped; `run` executes each call on a task of its own.
pub async fn serve<Req, Resp, F>(listener: TcpListener, key: Arc<str>, run: F)
where
    Req: RequestName + DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + 'static,
    F: Fn(InFlightRequest<Req, Resp>) + Clone + Send + Sync + 'static,
{
    let slots = Arc::new(Semaphore::new(CONNECTION_LIMIT));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors or the like: leave the others time to end.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(permit) = slots.clone().try_acquire_owned() else { continue };
        let (key, run) = (key.clone(), run.clone());
        tokio::spawn(async move {
            let _permit = permit;
            // A peer that does not know the key or goes away ends its own connection only.
            let _ = serve_one(stream, &key, run).await;
        });
    }
}

async fn serve_one<Req, Resp, F>(mut stream: TcpStream, key: &str, run: F) -> io::Result<()>
where
    Req: RequestName + DeserializeOwned + Send + 'static,
    Resp: Serialize + Send + 'static,
    F: Fn(InFlightRequest<Req, Resp>) + Send + Sync,
{
    stream.set_nodelay(true)?;
    prove(&mut stream, key, End::Server).await?;
    let transport = serde_transport::new(Framed::new(stream, codec()), Bincode::default());
    let mut calls = std::pin::pin!(BaseChannel::with_defaults(transport).requests());
    while let Some(Ok(call)) = calls.next().await {
        run(call);
    }
    Ok(())
}

/// Connects to `address`, proves `key`, and returns the framed connection.
///
/// # Errors
///
/// Returns why no connection could be made.
pub async fn open(address: &str, key: &str) -> io::Result<Framed<TcpStream, LengthDelimitedCodec>> {
    let address: SocketAddr = address
        .parse()
        .map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, format!("{address}: {e}")))?;
    let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    prove(&mut stream, key, End::Client).await?;
    Ok(Framed::new(stream, codec()))
}

/// A kind of client that can be made from a connection.
pub trait Connect: Clone + Send + Sync + 'static {
    /// Connects to `address`, proving `key`.
    fn connect(address: &str, key: &str) -> impl Future<Output = io::Result<Self>> + Send;
}

impl Connect for AgentRpcClient {
    async fn connect(address: &str, key: &str) -> io::Result<Self> {
        let transport = serde_transport::new(open(address, key).await?, Bincode::default());
        Ok(Self::new(Config::default(), transport).spawn())
    }
}

impl Connect for EntryRpcClient {
    async fn connect(address: &str, key: &str) -> io::Result<Self> {
        let transport = serde_transport::new(open(address, key).await?, Bincode::default());
        Ok(Self::new(Config::default(), transport).spawn())
    }
}

/// A client once it is made; the lock keeps two callers from connecting at the same time.
type Place<C> = Arc<tokio::sync::Mutex<Option<C>>>;

/// One connection for each address, made on first use and again after it broke.
#[derive(Clone)]
pub struct Pool<C> {
    key: Arc<str>,
    clients: Arc<Mutex<BTreeMap<String, Place<C>>>>,
}

impl<C: Connect> Pool<C> {
    /// Creates an empty pool.
    pub fn new(key: &str) -> Self {
        Self { key: key.into(), clients: Arc::default() }
    }

    /// Returns a client for `address`.
    ///
    /// # Errors
    ///
    /// Returns why no connection could be made.
    pub async fn get(&self, address: &str) -> io::Result<C> {
        let place = {
            let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
            clients.entry(address.to_owned()).or_default().clone()
        };
        let mut client = place.lock().await;
        match &*client {
            Some(client) => Ok(client.clone()),
            None => {
                let made = C::connect(address, &self.key).await?;
                *client = Some(made.clone());
                Ok(made)
            }
        }
    }

    /// Drops the connection to `address`, so that the next use makes a new one.
    pub fn forget(&self, address: &str) {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner).remove(address);
    }

    /// Makes one call over the connection to `address` and forgets the connection when it broke.
    ///
    /// # Errors
    ///
    /// Returns whether the call was never sent or may have been delivered.
    pub async fn call<T, F>(&self, address: &str, call: impl FnOnce(C) -> F) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.get(address).await.map_err(CallError::Connect)?;
        let result = call(client).await;
        result.map_err(|e| {
            if !matches!(e, RpcError::DeadlineExceeded) {
                self.forget(address);
            }
            CallError::Broken(e)
        })
    }
}

/// Why a call has no answer.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum CallError {
    /// No connection could be made: the call was never sent.
    #[display("cannot connect: {_0}")]
    Connect(io::Error),
    /// The call may have been delivered.
    #[display("call broke: {_0}")]
    Broken(RpcError),
}
