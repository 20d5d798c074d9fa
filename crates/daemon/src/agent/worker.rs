//! Client of the platform's worker and its upstream.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sorrelland_core::shape::Amount;
use sorrelland_web::client::{Client, Error, HttpResponse, Result};

/// Time for one control call to the worker.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Sizes of a worker.
#[derive(Clone, Debug, Deserialize)]
pub struct Sizes {
    /// Task slots; also requests that the upstream runs at a time.
    pub slots: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// Connections that the upstream takes.
    pub connections: u32,
}

impl Sizes {
    /// Returns slots and accelerators.
    pub fn amount(&self) -> Amount {
        Amount::new(self.slots, self.accelerators)
    }
}

#[derive(Deserialize)]
struct Info {
    sizes: Sizes,
}

/// How far a task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task runs.
    Running,
    /// The task ended by itself.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped.
    Stopped,
    /// The lease ended and the worker stopped the task.
    Lapsed,
}

/// A task as the worker tells it.
#[derive(Clone, Debug, Deserialize)]
pub struct Task {
    /// What it was started with.
    pub spec: TaskSpec,
    /// How far it has come.
    pub state: TaskState,
}

/// What a task is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Name of the task, unique on the worker.
    pub task: String,
    /// Job that the task belongs to.
    pub job: String,
    /// Attempt.
    pub epoch: u64,
    /// Accelerators that the task takes.
    pub accelerators: u32,
    /// Time for which the task may run without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// Run time that a checkpoint kept, in milliseconds.
    pub done_ms: u64,
    /// What to do.
    pub work: Value,
}

#[derive(Deserialize)]
struct Checkpoint {
    done_ms: u64,
}

/// A client of one worker.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    client: Client,
    url: String,
}

impl WorkerClient {
    /// Creates a client.
    pub fn new(url: &str) -> Self {
        Self { client: Client::new(CONTROL_TIMEOUT), url: url.trim_end_matches('/').to_owned() }
    }

    /// Returns the sizes of the worker.
    ///
    /// # Errors
    ///
    /// Returns why the worker did not tell.
    pub async fn sizes(&self) -> Result<Sizes> {
        Ok(self.client.get::<Info>(&format!("{}/v1/worker", self.url)).await?.sizes)
    }

    /// Returns the tasks on the worker.
    ///
    /// # Errors
    ///
    /// Returns why the worker did not tell.
    pub async fn tasks(&self) -> Result<Vec<Task>> {
        self.client.get(&format!("{}/v1/tasks", self.url)).await
    }

    /// Starts a task.
    ///
    /// # Errors
    ///
    /// Returns why the worker did not start it.
    pub async fn start(&self, spec: &TaskSpec) -> Result<Task> {
        self.client.call(Method::POST, &format!("{}/v1/tasks", self.url), spec).await
    }

    /// Extends a task's lease.
    ///
    /// # Errors
    ///
    /// Returns why the worker did not extend it.
    pub async fn renew(&self, task: &str, lease_ms: u64) -> Result<()> {
        let url = format!("{}/v1/tasks/{}/lease", self.url, encode(task));
        let body = Bytes::from(json!({ "lease_ms": lease_ms }).to_string());
        accept(self.client.send(Method::PUT, &url, &[], body).await?)
    }

    /// Checkpoints a task and returns the run time kept, in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns why there is no checkpoint.
    pub async fn checkpoint(&self, task: &str) -> Result<u64> {
        let url = format!("{}/v1/tasks/{}/checkpoint", self.url, encode(task));
        let kept: Checkpoint = self.client.send(Method::POST, &url, &[], Bytes::new()).await?.json()?;
        Ok(kept.done_ms)
    }

    /// Stops a task.
    ///
    /// # Errors
    ///
    /// Returns why the worker did not confirm.
    pub async fn stop(&self, task: &str) -> Result<()> {
        let url = format!("{}/v1/tasks/{}", self.url, encode(task));
        accept(self.client.send(Method::DELETE, &url, &[], Bytes::new()).await?)
    }

    /// Sends a short request to the upstream and returns its whole answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole answer.
    pub async fn request(&self, body: Bytes, timeout: Duration) -> Result<HttpResponse> {
        let client = self.client.clone().with_timeout(timeout);
        client.send(Method::POST, &format!("{}/v1/requests", self.url), &[], body).await
    }
}

fn accept(reply: HttpResponse) -> Result<()> {
    if reply.status.is_success() {
        return Ok(());
    }
    Err(Error::Status { status: reply.status, body: String::from_utf8_lossy(&reply.body).into_owned() })
}

/// Encodes a name as one segment of a path.
pub fn encode(name: &str) -> String {
    let mut encoded = String::new();
    for byte in name.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => encoded.push(char::from(byte)),
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
