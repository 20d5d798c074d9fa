//! What a flood of calls by one account costs another one. With separate processes on loopback.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::eventually;
use common::platform::{HOST, KEY, PREFIX, Platform, step};
use http::{HeaderValue, Method, header};
use serde_json::{Value, json};
use sorrelland_web::Client;

const FLOOD_KEY: &str = "key-flood";
const ENTRIES: usize = 4;

/// Connections of the flooding account to each entry.
const CONNECTIONS: usize = 16;

const MEASURED: Duration = Duration::from_secs(6);

/// Kinds of calls that an account may send as fast as its connections allow.
#[derive(Clone, Copy, Debug)]
enum Flood {
    None,
    Cancels,
    Gets,
    RefusedSubmissions,
    Malformed,
}

impl Flood {
    fn request(self, number: u64) -> (Method, String, Bytes) {
        let path = format!("{PREFIX}{:016x}", 0xf000_0000 + number);
        let refused =
            json!({"task_spec": "", "steps": [{"count": 1, "cpu": 1, "gpu": 1_000_000, "estimate_ms": 10}]});
        match self {
            Self::None => unreachable!("no call is sent"),
            Self::Cancels => (Method::DELETE, path, Bytes::new()),
            Self::Gets => (Method::GET, path, Bytes::new()),
            Self::RefusedSubmissions => (Method::POST, path, Bytes::from(refused.to_string())),
            Self::Malformed => (Method::POST, path, Bytes::from_static(b"{\"steps\":7}")),
        }
    }
}

/// Sends calls over connections to all entries until `stopping`; returns their number.
async fn run_flood(addresses: Vec<String>, flood: Flood, stopping: Arc<AtomicBool>) -> u64 {
    let sent = Arc::new(AtomicU64::new(0));
    let mut tasks = tokio::task::JoinSet::new();
    for address in (0..CONNECTIONS).flat_map(|_| addresses.clone()) {
        let (sent, stopping) = (sent.clone(), stopping.clone());
        tasks.spawn(async move {
            let headers = [
                (header::HOST, HeaderValue::from_static(HOST)),
                (header::AUTHORIZATION, HeaderValue::from_str(&format!("Token {FLOOD_KEY}")).unwrap()),
            ];
            // A client has one connection, since it sends one call at a time.
            let client = Client::new(Duration::from_secs(4));
            while !stopping.load(Ordering::Relaxed) {
                let (method, path, body) = flood.request(sent.fetch_add(1, Ordering::Relaxed));
                // Whatever the answer, the next call follows.
                let _ = client.send(method, &format!("{address}{path}"), &headers, body).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    sent.load(Ordering::Relaxed)
}

fn entry_urls(platform: &Platform) -> Vec<String> {
    (1..=ENTRIES).map(|index| format!("http://{}", platform.env.address(10 + index, 8_521))).collect()
}

/// Latencies of one kind of call, in microseconds, and how many were answered as they should be.
#[derive(Debug, Default)]
struct Latencies {
    us: Vec<u128>,
    served: usize,
}

impl Latencies {
    fn record(&mut self, began: Instant, is_served: bool) {
        self.us.push(began.elapsed().as_micros());
        self.served += usize::from(is_served);
    }

    fn summary(&mut self) -> String {
        self.us.sort_unstable();
        let at =
            |share: usize| self.us.get(self.us.len() * share / 100).copied().unwrap_or(0) as f64 / 1_000.0;
        format!("{}/{} median {:.1} ms p99 {:.1} ms", self.served, self.us.len(), at(50), at(99))
    }
}

/// Measures what a second account's submissions, cancels and GETs take beside a flood.
#[yare::parameterized(
    none = { Flood::None },
    cancels = { Flood::Cancels },
    gets = { Flood::Gets },
    refused_submissions = { Flood::RefusedSubmissions },
    malformed = { Flood::Malformed },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
#[ignore = "it measures; run it by hand in a release build, one at a time"]
async fn flood_of_one_account(flood: Flood) {
    let platform = Platform::start(ENTRIES, 2).await;
    let desired = json!({
        "version": 2,
        "routes": [{"name": "orders", "host": HOST, "path_prefix": PREFIX, "service": "svc", "priority": 1,
            "max_attempts": 2, "stretch": 3.0, "full_credit_ms": 1_000}],
        "services": [{"name": "svc"}],
        "tenants": [{"name": "museum", "api_keys": [KEY]}, {"name": "flood", "api_keys": [FLOOD_KEY]}],
    });
    platform.publish_desired(&desired).await;
    for index in 1..=ENTRIES {
        eventually(Duration::from_secs(5), "the key is known", async || {
            let path = format!("{PREFIX}00000000000000f9");
            platform.call(index, Method::GET, &path, FLOOD_KEY, &Value::Null).await.0 == 410
        })
        .await;
    }
    let stopping = Arc::new(AtomicBool::new(matches!(flood, Flood::None)));
    let flooding = match flood {
        Flood::None => None,
        flood => Some(tokio::spawn(run_flood(entry_urls(&platform), flood, stopping.clone()))),
    };
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (mut submits, mut gets, mut cancels, mut early) =
        (Latencies::default(), Latencies::default(), Latencies::default(), Latencies::default());
    let until = Instant::now() + MEASURED;
    let body = json!({"task_spec": "run_ms=100", "steps": [step(1)]});
    for number in 0.. {
        if Instant::now() > until {
            break;
        }
        let entry = 1 + number % ENTRIES;
        let path = format!("{PREFIX}{number:016x}");
        let began = Instant::now();
        let status = platform.call(entry, Method::POST, &path, KEY, &body).await.0;
        submits.record(began, status == 200);
        let began = Instant::now();
        let status = platform.call(entry, Method::GET, &path, KEY, &Value::Null).await.0;
        gets.record(began, status == 200);
        let began = Instant::now();
        let status = platform.call(entry, Method::DELETE, &path, KEY, &Value::Null).await.0;
        cancels.record(began, status == 200);
        if number % 4 == 0 {
            let path = format!("{PREFIX}{:016x}", 0xe000_0000_usize + number);
            let began = Instant::now();
            let status = platform.call(entry, Method::DELETE, &path, KEY, &Value::Null).await.0;
            early.record(began, status == 410);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    stopping.store(true, Ordering::Relaxed);
    let sent = match flooding {
        Some(flooding) => flooding.await.unwrap(),
        None => 0,
    };
    println!(
        "{flood:?}: {sent} calls of the flood; POST {}; GET {}; DELETE {}; DELETE of unknown {}",
        submits.summary(),
        gets.summary(),
        cancels.summary(),
        early.summary()
    );
}
