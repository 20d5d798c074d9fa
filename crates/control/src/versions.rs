//! Versions of the calls, so that processes of this build and of earlier landings understand each other.
//!
//! Both ends announce the newest version that they know when they connect, and use the older of the two. Landings 8 to 10
//! announce none: a client tries the versions with a call that changes nothing, and a server tells them apart by the first
//! message that only one version can read.

mod first;
mod second;

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sorrelland_wire::connect::{Connect, Frames, call_context, connect_authenticated};
use tarpc::client::{Config, RpcError};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};
use tarpc::{ClientMessage, Request, Response, serde_transport};

use crate::calls::{Ping, PlanRpcClient, PlanRpcRequest, PlanRpcResponse, PlannerReply, PlannerRequest};

/// The newest version of the calls: the types in [`crate::calls`].
pub const NEWEST: u16 = 5;

/// The first version whose calls tell the address of a queue.
pub const ADDRESSES: u16 = 5;

/// Time-out of the call that tries a version.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Version of the calls on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// Landings 8 and 9.
    First,
    /// Landings 10 to 13.
    Second,
    /// Landings 14 and 15. It knows the calls of the fourth version but for those that name a caller.
    Third,
    /// Landings 16 and 17. It knows the calls of this build but for those that tell the address of a queue.
    Fourth,
    /// This build.
    Fifth,
}

impl Version {
    /// Returns the version to use with a peer that announces a version; this build or a later one.
    pub fn negotiated(announced: u16) -> Self {
        match announced.min(NEWEST) {
            0 | 1 => Self::First,
            2 => Self::Second,
            3 => Self::Third,
            4 => Self::Fourth,
            _ => Self::Fifth,
        }
    }

    fn number(self) -> u16 {
        match self {
            Self::First => 1,
            Self::Second => 2,
            Self::Third => 3,
            Self::Fourth => 4,
            Self::Fifth => 5,
        }
    }
}

fn decode<T: DeserializeOwned + Unpin>(src: &BytesMut) -> io::Result<T> {
    Pin::new(&mut Bincode::<T, ()>::default()).deserialize(src)
}

fn encode<T: Serialize + Unpin>(message: &T) -> io::Result<Bytes> {
    Pin::new(&mut Bincode::<(), T>::default()).serialize(message)
}

fn inexpressible() -> io::Error {
    io::Error::new(io::ErrorKind::Unsupported, "the peer's build doesn't know the call")
}

/// Decodes a request whose message is of type `T` in the version of the connection.
fn decode_request_as<T>(src: &BytesMut) -> io::Result<ClientMessage<PlanRpcRequest>>
where
    T: DeserializeOwned + Unpin + Into<PlanRpcRequest>,
{
    Ok(match decode::<ClientMessage<T>>(src)? {
        ClientMessage::Request(Request { context, id, message }) => {
            ClientMessage::Request(Request { context, id, message: message.into() })
        }
        ClientMessage::Cancel { trace_context, request_id } => {
            ClientMessage::Cancel { trace_context, request_id }
        }
        _ => return Err(inexpressible()),
    })
}

fn decode_request(version: Version, src: &BytesMut) -> io::Result<ClientMessage<PlanRpcRequest>> {
    match version {
        Version::First => decode_request_as::<first::Call>(src),
        Version::Second => decode_request_as::<second::Call>(src),
        Version::Third | Version::Fourth | Version::Fifth => decode(src),
    }
}

/// Encodes a request with the encoding of its message in an earlier version; `None` if that can't express it.
fn encode_request_as<T: Serialize + Unpin>(
    message: &ClientMessage<PlanRpcRequest>,
    encode_message: impl FnOnce(&PlanRpcRequest) -> Option<T>,
) -> io::Result<Bytes> {
    match message {
        ClientMessage::Request(Request { context, id, message }) => {
            let message = encode_message(message).ok_or_else(inexpressible)?;
            encode(&ClientMessage::Request(Request { context: *context, id: *id, message }))
        }
        message => encode(message),
    }
}

/// Returns a call with the request of a caller changed to what an earlier version knows.
fn with_request(
    message: &PlanRpcRequest,
    change: impl FnOnce(PlannerRequest) -> PlannerRequest,
) -> PlanRpcRequest {
    match message {
        PlanRpcRequest::Request { req, wait_ms } => {
            PlanRpcRequest::Request { req: change(req.clone()), wait_ms: *wait_ms }
        }
        // The calls are no `Clone`.
        PlanRpcRequest::Report { report } => PlanRpcRequest::Report { report: report.clone() },
        PlanRpcRequest::Ping { ping } => PlanRpcRequest::Ping { ping: ping.clone() },
        PlanRpcRequest::TakeOver { epoch } => PlanRpcRequest::TakeOver { epoch: *epoch },
    }
}

fn encode_request(version: Version, message: &ClientMessage<PlanRpcRequest>) -> io::Result<Bytes> {
    match version {
        Version::First => encode_request_as(message, first::encode_request),
        Version::Second => encode_request_as(message, second::encode_request),
        Version::Third => {
            encode_request_as(message, |call| Some(with_request(call, PlannerRequest::without_caller)))
        }
        Version::Fourth => {
            encode_request_as(message, |call| Some(with_request(call, PlannerRequest::without_address)))
        }
        Version::Fifth => encode(message),
    }
}

/// Decodes a response whose message is of type `T` in the version of the connection.
fn decode_response_as<T>(src: &BytesMut) -> io::Result<Response<PlanRpcResponse>>
where
    T: DeserializeOwned + Unpin + Into<PlanRpcResponse>,
{
    let Response::<T> { request_id, message } = decode(src)?;
    Ok(Response { request_id, message: message.map(Into::into) })
}

/// Decodes a response of the newest types, with a change of the reply to a caller's request.
fn decode_reply_as(
    src: &BytesMut,
    change: impl FnOnce(PlannerReply) -> PlannerReply,
) -> io::Result<Response<PlanRpcResponse>> {
    let Response { request_id, message } = decode::<Response<PlanRpcResponse>>(src)?;
    let message = message.map(|message| match message {
        PlanRpcResponse::Request(reply) => PlanRpcResponse::Request(change(reply)),
        message => message,
    });
    Ok(Response { request_id, message })
}

fn decode_response(version: Version, src: &BytesMut) -> io::Result<Response<PlanRpcResponse>> {
    match version {
        Version::First => decode_response_as::<first::Response>(src),
        Version::Second => decode_response_as::<second::Response>(src),
        Version::Third => decode_reply_as(src, PlannerReply::by_name),
        Version::Fourth => decode_reply_as(src, PlannerReply::by_queue_name),
        Version::Fifth => decode(src),
    }
}

fn encode_response(version: Version, response: &Response<PlanRpcResponse>) -> io::Result<Bytes> {
    // The later versions differ in what they read, not in what they write.
    if version != Version::First {
        return encode(response);
    }
    let message = match &response.message {
        Ok(message) => Ok(first::encode_response(message).ok_or_else(inexpressible)?),
        Err(e) => Err(e.clone()),
    };
    encode(&Response { request_id: response.request_id, message })
}

/// Encoding of a client's calls.
#[derive(Clone, Copy, Debug)]
pub struct ClientCodec(pub Version);

impl Serializer<ClientMessage<PlanRpcRequest>> for ClientCodec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, message: &ClientMessage<PlanRpcRequest>) -> io::Result<Bytes> {
        encode_request(self.0, message)
    }
}

impl Deserializer<Response<PlanRpcResponse>> for ClientCodec {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> io::Result<Response<PlanRpcResponse>> {
        decode_response(self.0, src)
    }
}

/// Encoding of the calls of one connection, for the server.
#[derive(Clone, Debug)]
pub struct ServerCodec {
    /// `None` until a message has shown the version of a client that announces none.
    version: Option<Version>,
    /// The version that the last such client has shown, by number.
    shown: Arc<AtomicU16>,
}

impl ServerCodec {
    /// The version of replies. Requests that are the same in all versions may come first on a connection; builds other than
    /// this one are mostly of one landing.
    fn reply_version(&self) -> Version {
        self.version.unwrap_or_else(|| Version::negotiated(self.shown.load(Ordering::Relaxed)))
    }
}

/// Returns a function that makes the codec of a connection from the version that the client announces.
pub fn new_server_codecs() -> impl Fn(Option<u16>) -> ServerCodec + Clone + Send + 'static {
    let shown = Arc::new(AtomicU16::new(NEWEST));
    move |announced| ServerCodec { version: announced.map(Version::negotiated), shown: shown.clone() }
}

impl Deserializer<ClientMessage<PlanRpcRequest>> for ServerCodec {
    type Error = io::Error;

    fn deserialize(mut self: Pin<&mut Self>, src: &BytesMut) -> io::Result<ClientMessage<PlanRpcRequest>> {
        if let Some(version) = self.version {
            return decode_request(version, src);
        }
        let (message, version) =
            match (decode_request(Version::Second, src), decode_request(Version::First, src)) {
                (Ok(message), Ok(_)) => return Ok(message),
                (Ok(message), Err(_)) => (message, Version::Second),
                (Err(_), Ok(message)) => (message, Version::First),
                (Err(e), Err(_)) => return Err(e),
            };
        self.shown.store(version.number(), Ordering::Relaxed);
        self.version = Some(version);
        Ok(message)
    }
}

impl Serializer<Response<PlanRpcResponse>> for ServerCodec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, response: &Response<PlanRpcResponse>) -> io::Result<Bytes> {
        encode_response(self.reply_version(), response)
    }
}

fn new_client(frames: Frames, version: Version) -> PlanRpcClient {
    PlanRpcClient::new(Config::default(), serde_transport::new(frames, ClientCodec(version))).spawn()
}

/// Returns whether a peer that announces no version understands the calls of `client`. A peer that doesn't ends the
/// connection.
async fn understands(client: &PlanRpcClient) -> io::Result<bool> {
    // As from an agent that knows nothing.
    let ping = Ping {
        address: String::new(),
        millicores: 0,
        leader: None,
        version: u64::MAX,
        can_lead: false,
        calls: NEWEST,
    };
    let cx = call_context(TRIAL_TIMEOUT);
    match tokio::time::timeout(TRIAL_TIMEOUT, client.ping(cx, ping)).await {
        Ok(Ok(_)) => Ok(true),
        Err(_) | Ok(Err(RpcError::DeadlineExceeded)) => Err(io::ErrorKind::TimedOut.into()),
        Ok(Err(_)) => Ok(false),
    }
}

impl Connect for PlanRpcClient {
    async fn connect(address: &str, key: &str) -> io::Result<Self> {
        for version in [Version::Second, Version::First] {
            let (frames, announced) = connect_authenticated(address, key, Some(NEWEST)).await?;
            if let Some(announced) = announced {
                return Ok(new_client(frames, Version::negotiated(announced)));
            }
            let client = new_client(frames, version);
            if understands(&client).await? {
                log::info!("event=earlier_build_connected address={address} calls={}", version.number());
                return Ok(client);
            }
        }
        Err(io::Error::new(io::ErrorKind::Unsupported, "the peer understands no known version of the calls"))
    }
}
