//! Fake agents that beat at an entry as real ones do, to measure what a large fleet costs it.

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

/// Time for the answer to a beat.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which all agents connect and tell their reports; it is not measured.
const WARM_UP: Duration = Duration::from_secs(5);

/// Runs the fake agents and returns the report.
pub async fn run(args: &Args) -> String {
    let beats = Arc::new(AtomicU64::new(0));
    let mut tasks = tokio::task::JoinSet::new();
    for at in 0..args.agents {
        let (args, beats) = (args.clone(), beats.clone());
        tasks.spawn(async move { agent(at, &args, &beats).await });
    }
    tokio::time::sleep(WARM_UP).await;
    let usage_of = |(_, pid): &(String, u32)| usage::of(*pid).unwrap_or_default();
    let before: Vec<_> = args.processes.iter().map(usage_of).collect();
    let (bytes_before, beats_before) = (usage::loopback_bytes(), beats.load(Ordering::Relaxed));
    let started = Instant::now();
    tokio::time::sleep(Duration::from_secs(args.seconds)).await;
    let seconds = started.elapsed().as_secs_f64();
    let bytes = usage::loopback_bytes().saturating_sub(bytes_before) as f64;
    let beats = (beats.load(Ordering::Relaxed) - beats_before) as f64;
    let mut lines = vec![format!(
        "{} agents  {:.1} beats/s  {:.1} KB/s on loopback  {:.0} bytes a beat",
        args.agents,
        beats / seconds,
        bytes / seconds / 1e3,
        bytes / beats.max(1.0),
    )];
    for (process, before) in args.processes.iter().zip(before) {
        let after = usage_of(process);
        let share = (after.cpu_s - before.cpu_s) / seconds * 100.0;
        lines.push(format!("{} {share:.2}% of a core, {:.1} MB", process.0, after.memory_bytes as f64 / 1e6));
    }
    lines.join("\n")
}

async fn agent(at: usize, args: &Args, beats: &AtomicU64) {
    let worker = WorkerId::new(&format!("fake-{at:04}"));
    let window = KeyWindow { worker: worker.clone(), incarnation: 1, number: 0 };
    let report = Report {
        place: Place::new("region-1", &format!("domain-{}", at % 5), &format!("rack-{}", at / 10)),
        address: "127.0.0.1:1".to_owned(),
        capacity: Amount::new(8, 1),
        draining: false,
        window,
        shares: Vec::new(),
    };
    // Spread over the first second, as a fleet that has run for a while is.
    tokio::time::sleep(Duration::from_millis(at as u64 * 1_000 / args.agents.max(1) as u64)).await;
    let Ok(client) = EntryRpcClient::connect(&args.rpc, &args.process_key).await else { return };
    let mut known = 0;
    let mut offset = 0;
    loop {
        let beat = Heartbeat {
            worker: worker.clone(),
            incarnation: 1,
            report_number: 1,
            in_flight: 0,
            service_us: 500,
            offset,
            report: (known == 0).then(|| report.clone()),
        };
        let Ok(reply) = client.heartbeat(call_context(TIMEOUT), beat).await else { return };
        beats.fetch_add(1, Ordering::Relaxed);
        known = reply.report_number;
        offset = reply.config.map_or(offset, |config| config.offset);
        tokio::time::sleep(Duration::from_millis(u64::from(reply.next_ms))).await;
    }
}
