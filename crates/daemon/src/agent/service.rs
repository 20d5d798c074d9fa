//! RPC service of the agent.

use std::sync::Arc;
use std::time::Duration;

use sorrelland_core::id::JobId;
use sorrelland_lease::{Epoch, GangState, RenewalReply};
use sorrelland_wire::agent::{
    AgentConfig, AgentRpc, Exec, ExecReply, GangStatus, Outcome, Renew, Reserve, ReserveReply,
};
use sorrelland_wire::connect;
use tarpc::context::Context;
use tarpc::server::InFlightRequest;
use tokio::net::TcpListener;

use crate::agent::Agent;
use crate::sync::lock;

/// Maximum time for which the reply to a stop waits until the worker has confirmed it; below the callers' time-outs.
const MAX_STOP_WAIT: Duration = Duration::from_millis(700);

#[derive(Clone)]
struct Service(Arc<Agent>);

impl Agent {
    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener) {
        let key = self.settings.daemon.process_key.as_str().into();
        let service = Service(self);
        let new_handler = || {
            let service = service.clone();
            move |call: InFlightRequest<_, _>| {
                tokio::spawn(call.execute(service.clone().serve()));
            }
        };
        connect::serve(listener, key, new_handler).await;
    }
}

impl AgentRpc for Service {
    async fn execute(self, _: Context, exec: Exec) -> ExecReply {
        let request = exec.request.clone();
        let agent = self.0;
        // A separate task, since this one is cancelled when the caller disconnects and the request must still end.
        let run = tokio::spawn(async move { agent.execute(exec).await });
        let outcome = run.await.unwrap_or_else(|e| Outcome::Unknown { reason: e.to_string() });
        ExecReply { request, outcome }
    }

    async fn reserve(self, _: Context, reserve: Reserve) -> ReserveReply {
        self.0.reserve(reserve)
    }

    async fn commit(self, _: Context, job: JobId, epoch: Epoch) -> Option<GangState> {
        let now_ms = self.0.now_ms();
        let state = lock(&self.0.authority).commit_point.request_commit(&job, epoch, now_ms);
        self.0.gang_wake.notify_one();
        state
    }

    async fn renew(self, _: Context, renew: Renew) -> RenewalReply {
        let now_ms = self.0.now_ms();
        lock(&self.0.authority).renew(&renew, now_ms)
    }

    async fn stop(self, _: Context, job: JobId, epoch: Epoch) -> GangStatus {
        let agent = self.0;
        let fencing_agent = agent.clone();
        let fenced_job = job.clone();
        // A separate task, since the stop must be completed even if the worker confirms it after the reply.
        let run = tokio::spawn(async move { fencing_agent.fence(&fenced_job, epoch).await });
        if let Ok(Err(e)) = tokio::time::timeout(MAX_STOP_WAIT, run).await {
            log::error!(job = job.as_str(); "stop was not completed: {e}");
        }
        let now_ms = agent.now_ms();
        lock(&agent.authority).status(&job, now_ms)
    }

    async fn status(self, _: Context, job: JobId) -> GangStatus {
        let now_ms = self.0.now_ms();
        lock(&self.0.authority).status(&job, now_ms)
    }

    async fn configure(self, _: Context, config: AgentConfig) -> u64 {
        self.0.configure(config)
    }
}
