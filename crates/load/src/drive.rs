//! Sending requests at a steady rate and recording the time of each.

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

/// Time for one answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time that is recorded, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// Times and outcomes of one way.
#[derive(Clone, Debug)]
pub struct Times {
    /// Times in microseconds.
    pub histogram: Histogram<u64>,
    /// Count of each outcome.
    pub outcomes: BTreeMap<String, u64>,
}

impl Times {
    fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, 3).expect("bounds are constant and valid");
        Self { histogram, outcomes: BTreeMap::new() }
    }

    fn record(&mut self, elapsed: Duration, outcome: &str) {
        self.histogram.saturating_record(elapsed.as_micros() as u64);
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
    }

    /// Returns one line of the report.
    pub fn line(&self, name: &str) -> String {
        let at = |quantile| self.histogram.value_at_quantile(quantile);
        let outcomes: Vec<String> =
            self.outcomes.iter().map(|(name, count)| format!("{name} {count}")).collect();
        format!(
            "{name:8} n {:7}  p50 {:6} us  p90 {:6} us  p99 {:6} us  max {:7} us  {}",
            self.histogram.len(),
            at(0.5),
            at(0.9),
            at(0.99),
            self.histogram.max(),
            outcomes.join(", "),
        )
    }
}

/// Runs the load and returns the report.
pub async fn run(args: &Args) -> String {
    let before: Vec<_> = args.processes.iter().map(|(_, pid)| usage::of(*pid).unwrap_or_default()).collect();
    let started = Instant::now();
    let entry = tokio::spawn(steady(args.clone(), Way::Entry));
    let direct = args.upstream.is_some().then(|| tokio::spawn(steady(args.clone(), Way::Direct)));
    let mut lines = Vec::new();
    let through = entry.await.unwrap_or_else(|_| Times::new());
    lines.push(through.line("entry"));
    if let Some(direct) = direct {
        let direct = direct.await.unwrap_or_else(|_| Times::new());
        lines.push(direct.line("direct"));
        let added = |quantile| {
            let through = through.histogram.value_at_quantile(quantile) as i64;
            through - direct.histogram.value_at_quantile(quantile) as i64
        };
        lines.push(format!("added    p50 {} us  p99 {} us", added(0.5), added(0.99)));
    }
    let seconds = started.elapsed().as_secs_f64();
    for ((name, pid), before) in args.processes.iter().zip(before) {
        let after = usage::of(*pid).unwrap_or_default();
        let share = (after.cpu_s - before.cpu_s) / seconds * 100.0;
        let memory_mb = after.memory_bytes as f64 / 1e6;
        lines.push(format!("{name:8} {share:.1}% of a core, {memory_mb:.1} MB"));
    }
    lines.join("\n")
}

#[derive(Clone, Copy)]
enum Way {
    Entry,
    Direct,
}

async fn steady(args: Args, way: Way) -> Times {
    let times = Arc::new(Mutex::new(Times::new()));
    let client = Client::new(TIMEOUT).with_bearer(&args.key);
    let mut ticker = tokio::time::interval(Duration::from_secs_f64(1.0 / args.rate as f64));
    ticker.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut tasks = JoinSet::new();
    for number in 0..args.rate * args.seconds {
        ticker.tick().await;
        let (client, args, times) = (client.clone(), args.clone(), times.clone());
        tasks.spawn(async move {
            let (elapsed, outcome) = one(&client, &args, way, number).await;
            times.lock().unwrap_or_else(PoisonError::into_inner).record(elapsed, &outcome);
        });
    }
    while tasks.join_next().await.is_some() {}
    times.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

async fn one(client: &Client, args: &Args, way: Way, number: u64) -> (Duration, String) {
    let body = json!({ "cost_ms": args.cost_ms });
    let request = format!("load-{number}");
    let (url, call) = match way {
        Way::Direct => {
            let upstream = args.upstream.as_deref().unwrap_or_default();
            let call = json!({ "request": request, "account": "load", "body": body });
            (format!("http://{upstream}/v1/requests"), call)
        }
        Way::Entry => {
            let mut call = json!({ "request": request, "idempotent": !args.keyed, "body": body });
            if args.keyed {
                let minted =
                    client.call::<Value>(Method::POST, &format!("http://{}/v1/keys", args.entry), &()).await;
                call["key"] = minted.map(|minted| minted["key"].clone()).unwrap_or_default();
            }
            (format!("http://{}/v1/requests", args.entry), call)
        }
    };
    let started = Instant::now();
    let answer = client.send(Method::POST, &url, &[], Bytes::from(call.to_string())).await;
    let elapsed = started.elapsed();
    let outcome = match answer {
        Ok(reply) => {
            let body: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
            let wrong = body["request"] != request.as_str();
            match body["outcome"].as_str() {
                _ if wrong => format!("wrong answer {}", reply.status),
                Some(outcome) => outcome.to_owned(),
                None => reply.status.as_u16().to_string(),
            }
        }
        Err(_) => "no answer".to_owned(),
    };
    (elapsed, outcome)
}
