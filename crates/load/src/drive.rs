//! Sends requests at a fixed rate and records the latency and outcome of each.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use serde_json::{Value, json};
use sorrelland_web::Client;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::args::Args;
use crate::usage;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Upper bound of recorded latencies; longer ones are recorded as this value.
const MAX_RECORDED_US: u64 = 60_000_000;

/// Latencies and outcomes of the requests to one target.
#[derive(Clone, Debug)]
pub struct RequestStats {
    /// Latencies in microseconds.
    pub histogram: Histogram<u64>,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
}

impl RequestStats {
    fn new() -> Self {
        let histogram =
            Histogram::new_with_bounds(1, MAX_RECORDED_US, 3).expect("bounds are constant and valid");
        Self { histogram, outcomes: BTreeMap::new() }
    }

    fn record(&mut self, elapsed: Duration, outcome: &str) {
        self.histogram.saturating_record(elapsed.as_micros() as u64);
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
    }

    /// Returns the line of the report for these requests.
    pub fn report_line(&self, name: &str) -> String {
        let value_at = |quantile| self.histogram.value_at_quantile(quantile);
        let outcomes: Vec<String> =
            self.outcomes.iter().map(|(name, count)| format!("{name} {count}")).collect();
        format!(
            "{name:8} n {:7}  p50 {:6} us  p90 {:6} us  p99 {:6} us  max {:7} us  {}",
            self.histogram.len(),
            value_at(0.5),
            value_at(0.9),
            value_at(0.99),
            self.histogram.max(),
            outcomes.join(", "),
        )
    }
}

/// Sends the requests of a run and returns the report.
pub async fn run(args: &Args) -> String {
    let before: Vec<_> =
        args.processes.iter().map(|(_, pid)| usage::of_process(*pid).unwrap_or_default()).collect();
    let started = Instant::now();
    let entry = tokio::spawn(send_at_rate(args.clone(), Target::Entry));
    let direct = args.upstream.is_some().then(|| tokio::spawn(send_at_rate(args.clone(), Target::Direct)));
    let mut lines = Vec::new();
    let via_entry = entry.await.unwrap_or_else(|_| RequestStats::new());
    lines.push(via_entry.report_line("entry"));
    if let Some(direct) = direct {
        let direct = direct.await.unwrap_or_else(|_| RequestStats::new());
        lines.push(direct.report_line("direct"));
        let added = |quantile| {
            let via_entry = via_entry.histogram.value_at_quantile(quantile) as i64;
            via_entry - direct.histogram.value_at_quantile(quantile) as i64
        };
        lines.push(format!("added    p50 {} us  p99 {} us", added(0.5), added(0.99)));
    }
    let seconds = started.elapsed().as_secs_f64();
    for ((name, pid), before) in args.processes.iter().zip(before) {
        let after = usage::of_process(*pid).unwrap_or_default();
        let cpu_percent = (after.cpu_s - before.cpu_s) / seconds * 100.0;
        let memory_mb = after.memory_bytes as f64 / 1e6;
        lines.push(format!("{name:8} {cpu_percent:.1}% of a core, {memory_mb:.1} MB"));
    }
    lines.join("\n")
}

#[derive(Clone, Copy)]
enum Target {
    Entry,
    Direct,
}

async fn send_at_rate(args: Args, target: Target) -> RequestStats {
    let stats = Arc::new(Mutex::new(RequestStats::new()));
    let client = Client::new(RESPONSE_TIMEOUT).with_bearer(&args.key);
    let mut ticker = tokio::time::interval(Duration::from_secs_f64(1.0 / args.rate as f64));
    ticker.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut tasks = JoinSet::new();
    for number in 0..args.rate * args.seconds {
        ticker.tick().await;
        let (client, args, stats) = (client.clone(), args.clone(), stats.clone());
        tasks.spawn(async move {
            let (elapsed, outcome) = send_request(&client, &args, target, number).await;
            stats.lock().unwrap_or_else(PoisonError::into_inner).record(elapsed, &outcome);
        });
    }
    while tasks.join_next().await.is_some() {}
    stats.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

async fn send_request(client: &Client, args: &Args, target: Target, number: u64) -> (Duration, String) {
    let body = json!({ "cost_ms": args.cost_ms });
    let request_id = format!("load-{number}");
    let (url, call) = match target {
        Target::Direct => {
            let upstream = args.upstream.as_deref().unwrap_or_default();
            let call = json!({ "request": request_id, "account": "load", "body": body });
            (format!("http://{upstream}/v1/requests"), call)
        }
        Target::Entry => {
            let mut call = json!({ "request": request_id, "idempotent": !args.keyed, "body": body });
            if args.keyed {
                let key_response =
                    client.call::<Value>(Method::POST, &format!("http://{}/v1/keys", args.entry), &()).await;
                call["key"] =
                    key_response.map(|key_response| key_response["key"].clone()).unwrap_or_default();
            }
            (format!("http://{}/v1/requests", args.entry), call)
        }
    };
    let started = Instant::now();
    let response = client.send(Method::POST, &url, &[], Bytes::from(call.to_string())).await;
    let elapsed = started.elapsed();
    let outcome = match response {
        Ok(reply) => {
            let body: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
            let mismatched = body["request"] != request_id.as_str();
            match body["outcome"].as_str() {
                _ if mismatched => format!("wrong answer {}", reply.status),
                Some(outcome) => outcome.to_owned(),
                None => reply.status.as_u16().to_string(),
            }
        }
        Err(_) => "no answer".to_owned(),
    };
    (elapsed, outcome)
}
