//! HTTP client of the platform's worker and its upstream.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sorrelland_core::shape::Amount;
use sorrelland_web::client::{Client, Error, HttpResponse, Result};

/// Time-out of a control call to the worker.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Resources of a worker.
#[derive(Clone, Debug, Deserialize)]
pub struct Sizes {
    /// Task slots, and the number of requests that the upstream runs concurrently.
    pub slots: u32,
    pub accelerators: u32,
    /// Maximum number of concurrent connections to the upstream.
    pub connections: u32,
}

impl Sizes {
    pub fn capacity(&self) -> Amount {
        Amount::new(self.slots, self.accelerators)
    }
}

#[derive(Deserialize)]
struct WorkerInfo {
    sizes: Sizes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    Running,
    /// The task ended without being stopped.
    Done,
    Failed,
    /// A request stopped the task.
    Stopped,
    /// The lease expired and the worker stopped the task.
    Lapsed,
}

/// Task as reported by the worker.
#[derive(Clone, Debug, Deserialize)]
pub struct Task {
    pub spec: TaskSpec,
    pub state: TaskState,
}

/// Parameters with which a task is started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Name of the task, unique on the worker.
    pub task: String,
    pub job: String,
    /// Attempt of the job.
    pub epoch: u64,
    pub accelerators: u32,
    /// Time after which the worker stops the task unless its lease is renewed, in milliseconds.
    pub lease_ms: u64,
    /// Run time preserved by a checkpoint, in milliseconds.
    pub done_ms: u64,
    /// Work for the upstream.
    pub work: Value,
}

#[derive(Deserialize)]
struct Checkpoint {
    done_ms: u64,
}

#[derive(Clone, Debug)]
pub struct WorkerClient {
    client: Client,
    url: String,
}

impl WorkerClient {
    pub fn new(url: &str) -> Self {
        Self { client: Client::new(CONTROL_TIMEOUT), url: url.trim_end_matches('/').to_owned() }
    }

    /// Fetches the resources of the worker.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or the reply is not valid.
    pub async fn sizes(&self) -> Result<Sizes> {
        Ok(self.client.get::<WorkerInfo>(&format!("{}/v1/worker", self.url)).await?.sizes)
    }

    /// Fetches the tasks on the worker, ended ones included.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or the reply is not valid.
    pub async fn tasks(&self) -> Result<Vec<Task>> {
        self.client.get(&format!("{}/v1/tasks", self.url)).await
    }

    /// Starts a task.
    ///
    /// # Errors
    ///
    /// Fails if the worker does not confirm the start.
    pub async fn start(&self, spec: &TaskSpec) -> Result<Task> {
        self.client.call(Method::POST, &format!("{}/v1/tasks", self.url), spec).await
    }

    /// Renews a task's lease, which then ends in `lease_ms`.
    ///
    /// # Errors
    ///
    /// Fails if the worker does not confirm the renewal.
    pub async fn renew(&self, task: &str, lease_ms: u64) -> Result<()> {
        let url = format!("{}/v1/tasks/{}/lease", self.url, encode_path_segment(task));
        let body = Bytes::from(json!({ "lease_ms": lease_ms }).to_string());
        check_status(self.client.send(Method::PUT, &url, &[], body).await?)
    }

    /// Checkpoints a task and returns the run time preserved, in milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if the worker does not confirm the checkpoint.
    pub async fn checkpoint(&self, task: &str) -> Result<u64> {
        let url = format!("{}/v1/tasks/{}/checkpoint", self.url, encode_path_segment(task));
        let checkpoint: Checkpoint = self.client.send(Method::POST, &url, &[], Bytes::new()).await?.json()?;
        Ok(checkpoint.done_ms)
    }

    /// Stops a task.
    ///
    /// # Errors
    ///
    /// Fails if the worker does not confirm the stop.
    pub async fn stop(&self, task: &str) -> Result<()> {
        let url = format!("{}/v1/tasks/{}", self.url, encode_path_segment(task));
        check_status(self.client.send(Method::DELETE, &url, &[], Bytes::new()).await?)
    }

    /// Sends a short request to the upstream and returns the complete response, of any status.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives within `timeout`.
    pub async fn request(&self, body: Bytes, timeout: Duration) -> Result<HttpResponse> {
        let client = self.client.clone().with_timeout(timeout);
        client.send(Method::POST, &format!("{}/v1/requests", self.url), &[], body).await
    }
}

fn check_status(reply: HttpResponse) -> Result<()> {
    if reply.status.is_success() {
        return Ok(());
    }
    Err(Error::Status { status: reply.status, body: String::from_utf8_lossy(&reply.body).into_owned() })
}

/// Percent-encodes `name` as one segment of a path.
pub fn encode_path_segment(name: &str) -> String {
    let mut encoded = String::new();
    for byte in name.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => encoded.push(char::from(byte)),
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
