//! Check-ins that an agent receives from others than its worker, or late.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use sorrelland_web::Client;

use crate::deployment::Deployment;

const TIMEOUT: Duration = Duration::from_secs(1);

/// What is wrong with a check-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    MissingField,
    WrongType,
    Undecodable,
    UnknownState,
    UnknownService,
    /// Well-formed, from an incarnation that doesn't exist.
    Stranger,
    /// Copy of a check-in of an earlier incarnation.
    Late,
    /// Departure of the worker, which goes on running.
    Departure,
    /// Check-in of the worker beside another agent.
    OtherMachine,
    DeepNesting,
    /// A number that no type holds.
    HugeNumber,
    PortOutOfRange,
    /// The current incarnation's, with an amount at the limit of its type.
    CapacityLimit,
    /// The current incarnation's, with a sequence number that leaves none for the next ones.
    SequenceLimit,
}

/// Brackets of a value that is nested too deeply for any reader.
const DEPTH: usize = 100_000;

impl Kind {
    pub const ALL: [Self; 14] = [
        Self::MissingField,
        Self::WrongType,
        Self::Undecodable,
        Self::UnknownState,
        Self::UnknownService,
        Self::Stranger,
        Self::Late,
        Self::Departure,
        Self::OtherMachine,
        Self::DeepNesting,
        Self::HugeNumber,
        Self::PortOutOfRange,
        Self::CapacityLimit,
        Self::SequenceLimit,
    ];
}

/// Sends a check-in to the agent beside `worker`; returns the status, or 0 without a response, or `None` if there is
/// nothing to send.
pub async fn send(deployment: &Deployment, worker: usize, kind: Kind, seed: u64) -> Option<u16> {
    let mut rng = StdRng::seed_from_u64(seed);
    let lives = deployment.lives();
    let mut own = lives.iter().filter(|life| life.worker == worker).rev();
    let current = own.next()?;
    let stranger = format!("i-{:08x}", rng.random::<u32>());
    let mut body = checkin(&deployment.worker_address(worker), rng.random_range(1..5_000));
    let mut set = |name: &str, value: Value| body[name] = value;
    let (method, name) = match kind {
        Kind::MissingField => {
            let fields = ["service", "state", "capacity", "sequence"];
            let field = fields[rng.random_range(0..fields.len())];
            body.as_object_mut()?.remove(field);
            (Method::PUT, stranger)
        }
        Kind::WrongType => {
            set("state", json!(1));
            (Method::PUT, stranger)
        }
        Kind::Undecodable | Kind::Stranger => (Method::PUT, stranger),
        Kind::DeepNesting | Kind::HugeNumber => {
            set("capacity", json!(PLACEHOLDER));
            (Method::PUT, current.announced_name())
        }
        Kind::PortOutOfRange => {
            set("address", json!("127.0.0.1:99999"));
            (Method::PUT, stranger)
        }
        Kind::CapacityLimit => {
            let fields = ["cpu", "memory_request_mb", "gpu"];
            let amount = if rng.random() { i64::MIN } else { i64::MAX };
            body["capacity"][fields[rng.random_range(0..fields.len())]] = json!(amount);
            (Method::PUT, current.announced_name())
        }
        Kind::SequenceLimit => {
            // The last number that a reader of JSON keeps exactly, and that of the type.
            set("sequence", json!(if rng.random() { (1_u64 << 53) - 1 } else { u64::MAX }));
            (Method::PUT, current.announced_name())
        }
        Kind::UnknownState => {
            set("state", json!("resting"));
            (Method::PUT, stranger)
        }
        Kind::UnknownService => {
            set("service", json!("unknown"));
            (Method::PUT, stranger)
        }
        Kind::Late => (Method::PUT, own.next()?.announced_name()),
        Kind::Departure => (Method::DELETE, current.announced_name()),
        Kind::OtherMachine => {
            let other = lives.iter().rev().find(|life| life.worker != worker)?;
            set("address", json!(deployment.worker_address(other.worker)));
            (Method::PUT, other.announced_name())
        }
    };
    let bytes = match kind {
        Kind::Undecodable => Bytes::from_static(&[0xff, 0xfe, 0x00, 0x7b]),
        Kind::Departure => Bytes::new(),
        Kind::DeepNesting => with_placed(&body, &("[".repeat(DEPTH) + &"]".repeat(DEPTH))),
        Kind::HugeNumber => with_placed(&body, r#"{"cpu": 1e999}"#),
        _ => Bytes::from(body.to_string()),
    };
    let url = format!("http://{}/instances/{name}", deployment.control_address(worker));
    let reply = Client::new(TIMEOUT).send(method, &url, &[], bytes).await;
    Some(reply.map_or(0, |reply| reply.status.as_u16()))
}

/// Text of a value that [`with_placed`] replaces.
const PLACEHOLDER: &str = "@value@";

/// Returns a body with a text that is no value in place of the placeholder.
fn with_placed(body: &Value, text: &str) -> Bytes {
    Bytes::from(body.to_string().replace(&format!("{PLACEHOLDER:?}"), text))
}

fn checkin(address: &str, sequence: u64) -> Value {
    json!({
        "service": "svc", "address": address, "zone": "haiphong-a", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "labels": ["a", "r1"], "sequence": sequence,
        "capacity": {"cpu": 130_000, "memory_request_mb": 262_144, "gpu": 4}, "clock_ms": 100_000,
    })
}
