//! Simulates agents that send heartbeats to an entry, to measure what a large fleet costs the entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use sorrelland_core::id::WorkerId;
use sorrelland_core::shape::Amount;
use sorrelland_core::topology::Place;
use sorrelland_lease::KeyWindow;
use sorrelland_wire::EntryRpcClient;
use sorrelland_wire::connect::{Connect, call_context};
use sorrelland_wire::entry::{Heartbeat, Report};

use crate::args::Args;
use crate::usage;

const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for all agents to connect and send their first reports; excluded from the measurement.
const WARM_UP: Duration = Duration::from_secs(5);

/// Runs the simulated agents and returns the report.
pub async fn run(args: &Args) -> String {
    let heartbeats = Arc::new(AtomicU64::new(0));
    let mut tasks = tokio::task::JoinSet::new();
    for index in 0..args.agents {
        let (args, heartbeats) = (args.clone(), heartbeats.clone());
        tasks.spawn(async move { run_agent(index, &args, &heartbeats).await });
    }
    tokio::time::sleep(WARM_UP).await;
    let usage_of = |(_, pid): &(String, u32)| usage::of_process(*pid).unwrap_or_default();
    let before: Vec<_> = args.processes.iter().map(usage_of).collect();
    let (bytes_before, heartbeats_before) = (usage::loopback_bytes(), heartbeats.load(Ordering::Relaxed));
    let started = Instant::now();
    tokio::time::sleep(Duration::from_secs(args.seconds)).await;
    let seconds = started.elapsed().as_secs_f64();
    let bytes = usage::loopback_bytes().saturating_sub(bytes_before) as f64;
    let heartbeats = (heartbeats.load(Ordering::Relaxed) - heartbeats_before) as f64;
    let mut lines = vec![format!(
        "{} agents  {:.1} beats/s  {:.1} KB/s on loopback  {:.0} bytes a beat",
        args.agents,
        heartbeats / seconds,
        bytes / seconds / 1e3,
        bytes / heartbeats.max(1.0),
    )];
    for (process, before) in args.processes.iter().zip(before) {
        let after = usage_of(process);
        let cpu_percent = (after.cpu_s - before.cpu_s) / seconds * 100.0;
        lines.push(format!(
            "{} {cpu_percent:.2}% of a core, {:.1} MB",
            process.0,
            after.memory_bytes as f64 / 1e6
        ));
    }
    lines.join("\n")
}

async fn run_agent(index: usize, args: &Args, heartbeats: &AtomicU64) {
    let worker = WorkerId::new(&format!("fake-{index:04}"));
    let window = KeyWindow { worker: worker.clone(), incarnation: 1, number: 0 };
    let report = Report {
        place: Place::new("region-1", &format!("domain-{}", index % 5), &format!("rack-{}", index / 10)),
        address: "127.0.0.1:1".to_owned(),
        capacity: Amount::new(8, 1),
        draining: false,
        window,
        shares: Vec::new(),
    };
    // Starts are spread over one second, as heartbeats are in a fleet that has been running for a while.
    tokio::time::sleep(Duration::from_millis(index as u64 * 1_000 / args.agents.max(1) as u64)).await;
    let Ok(client) = EntryRpcClient::connect(&args.rpc, &args.process_key).await else { return };
    let mut acknowledged_report = 0;
    let mut config_offset = 0;
    loop {
        let heartbeat = Heartbeat {
            worker: worker.clone(),
            incarnation: 1,
            report_number: 1,
            in_flight: 0,
            service_us: 500,
            config_offset,
            report: (acknowledged_report == 0).then(|| report.clone()),
        };
        let Ok(reply) = client.heartbeat(call_context(HEARTBEAT_TIMEOUT), heartbeat).await else { return };
        heartbeats.fetch_add(1, Ordering::Relaxed);
        acknowledged_report = reply.report_number;
        config_offset = reply.config.map_or(config_offset, |config| config.offset);
        tokio::time::sleep(Duration::from_millis(u64::from(reply.next_ms))).await;
    }
}
