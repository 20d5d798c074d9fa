//! The embedded default: an entry, agents and stand-ins in one process.

use std::net::SocketAddr;

use sorrelland_conf::Settings;
use sorrelland_standin::{command, log, worker_api};
use tokio::task::JoinSet;

use crate::Result;
use crate::agent::Agent;
use crate::entry::Entry;
use crate::stop::Stop;

/// Workers in one rack.
const RACK_WORKERS: usize = 3;

/// Account that the embedded default creates when the settings name none.
const DEMO_ACCOUNT: (&str, &str) = ("demo", "demo-account-key");

/// Operator that the embedded default creates when the settings name none.
const DEMO_OPERATOR: (&str, &str) = ("demo", "demo-operator-key");

/// Runs everything until asked to stop.
///
/// # Errors
///
/// Returns which address could not be bound.
pub async fn run(mut settings: Settings, stop: Stop) -> Result<()> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform_log = log::start(any)?;
    settings.log.url = format!("http://{}", platform_log.local_addr());
    if settings.account_keys.is_empty() {
        settings.account_keys.insert(DEMO_ACCOUNT.0.to_owned(), DEMO_ACCOUNT.1.to_owned());
    }
    if settings.operator_keys.is_empty() {
        settings.operator_keys.insert(DEMO_OPERATOR.0.to_owned(), DEMO_OPERATOR.1.to_owned());
    }
    let entry_stop = Stop::new();
    let agent_stop = Stop::new();
    let entry = Entry::start(settings.clone(), entry_stop.clone()).await?;
    let mut workers = Vec::new();
    let mut agents = JoinSet::new();
    for at in 0..settings.standalone.workers {
        let name = format!("worker-{}", at + 1);
        let sizes = sorrelland_standin::worker::Sizes { name: name.clone(), ..command::default_sizes() };
        let server = worker_api::start(any, sizes)?;
        let mut own = settings.clone();
        own.daemon.name = name;
        own.daemon.rack = format!("rack-{}", at / RACK_WORKERS + 1);
        own.daemon.rpc = any;
        own.agent.worker = format!("http://{}", server.local_addr());
        own.agent.entries = entry.address().parse().into_iter().collect();
        workers.push(server);
        let agent = Agent::start(own, agent_stop.clone()).await?;
        agents.spawn(agent.run());
    }
    print_hints(&entry.http_address(), &settings);
    let entry = tokio::spawn(entry.run());
    stop.raised().await;
    // Callers first, so that nothing they wait for loses its agent.
    entry_stop.raise();
    if let Err(e) = entry.await {
        ::log::error!("entry did not stop: {e}");
    }
    agent_stop.raise();
    while agents.join_next().await.is_some() {}
    Ok(())
}

fn print_hints(http: &str, settings: &Settings) {
    let account = settings.account_keys.iter().next();
    let operator = settings.operator_keys.iter().next();
    let (Some((account, account_key)), Some((_, operator_key))) = (account, operator) else { return };
    println!("sorrellandd is ready on http://{http}. Try:");
    println!(
        "  sorrellandctl --entry {http} --key {operator_key} set account {account} guarantee 1x8@worker"
    );
    println!("  sorrellandctl --entry {http} --key {account_key} request '{{\"cost_ms\": 5}}'");
    println!(
        "  sorrellandctl --entry {http} --key {account_key} submit first --shape 2x8@rack --work '{{\"run_ms\": 2000}}'"
    );
    println!("  sorrellandctl --entry {http} --key {account_key} job first");
}
