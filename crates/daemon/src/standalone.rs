//! Standalone role, the default: an entry, agents and stand-ins for the platform in one process.

use std::net::SocketAddr;

use sorrelland_conf::Settings;
use sorrelland_standin::{command, log, worker_api};
use tokio::task::JoinSet;

use crate::Result;
use crate::agent::Agent;
use crate::entry::Entry;
use crate::stop::Stop;

const WORKERS_PER_RACK: usize = 3;

/// Name and key of the account that is created if the settings have none.
const DEMO_ACCOUNT: (&str, &str) = ("demo", "demo-account-key");

/// Name and key of the operator that is created if the settings have none.
const DEMO_OPERATOR: (&str, &str) = ("demo", "demo-operator-key");

/// Runs all parts until asked to stop.
///
/// # Errors
///
/// Fails if an address cannot be bound or a worker does not answer.
pub async fn run(mut settings: Settings, stop: Stop) -> Result<()> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform_log = log::start(any_port)?;
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
    for index in 0..settings.standalone.workers {
        let name = format!("worker-{}", index + 1);
        let sizes = sorrelland_standin::worker::Sizes { name: name.clone(), ..command::default_sizes() };
        let server = worker_api::start(any_port, sizes)?;
        let mut agent_settings = settings.clone();
        agent_settings.daemon.name = name;
        agent_settings.daemon.rack = format!("rack-{}", index / WORKERS_PER_RACK + 1);
        agent_settings.daemon.rpc = any_port;
        agent_settings.agent.worker = format!("http://{}", server.local_addr());
        agent_settings.agent.entries = entry.address().parse().into_iter().collect();
        workers.push(server);
        let agent = Agent::start(agent_settings, agent_stop.clone()).await?;
        agents.spawn(agent.run());
    }
    print_hints(&entry.http_address(), &settings);
    let entry = tokio::spawn(entry.run());
    stop.raised().await;
    // The entry stops first, since its requests in flight need the agents.
    entry_stop.raise();
    if let Err(e) = entry.await {
        ::log::error!("entry did not stop cleanly: {e}");
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
