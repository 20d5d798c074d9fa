//! Settings of the daemon; the documentation of a field gives its default in brackets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use derive_more::{Display, FromStr};

use crate::finding::{Finding, Findings};
use crate::reader::Reader;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Findings>;

/// Role of a daemon process.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
pub enum Role {
    /// Serves callers and operators and places jobs.
    #[display("entry")]
    Entry,
    /// Controls one worker.
    #[display("agent")]
    Agent,
    /// Entry, agents and simulated workers in one process.
    #[default]
    #[display("standalone")]
    Standalone,
}

/// Measure that the scheduling policy puts first.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
pub enum Goal {
    /// Short completion times.
    #[default]
    Completion,
    /// Low fragmentation, so that large jobs find free resources.
    Fragmentation,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
pub enum Format {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Identity and addresses of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Daemon {
    pub role: Role,
    /// Name of the process; for an agent, the name of its worker.
    pub name: String,
    pub region: String,
    /// Failure domain of the process.
    pub domain: String,
    pub rack: String,
    /// Address for callers and operators [127.0.0.1:8080].
    pub http: SocketAddr,
    /// Address for the other processes of the system [127.0.0.1:0].
    pub rpc: SocketAddr,
    /// Secret that all processes of the system share.
    pub process_key: String,
    /// Maximum time that a graceful stop waits for work in progress [30 s].
    pub drain: Duration,
}

/// Access to the platform's log service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Base URL.
    pub url: String,
    /// Time-out of a call [2 s].
    pub timeout: Duration,
    /// Records between two snapshots [500].
    pub snapshot_records: u64,
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Initial addresses of other entries.
    pub peers: Vec<SocketAddr>,
    /// Maximum size of a request body [256 KiB].
    pub body_limit_bytes: usize,
    /// Maximum number of concurrent connections of callers [1024].
    pub connection_limit: usize,
    /// Time between two scheduling passes [100 ms].
    pub tick: Duration,
    /// Which measure the policy puts first [completion].
    pub goal: Goal,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agent {
    /// Base URL of the worker and its upstream.
    pub worker: String,
    /// Initial addresses of entries.
    pub entries: Vec<SocketAddr>,
    /// Lease of a gang member's hold [3 s].
    pub lease: Duration,
    /// Time that a job has for a checkpoint before it is stopped [5 s].
    pub grace: Duration,
}

/// Settings of the standalone role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standalone {
    /// Number of simulated workers [3].
    pub workers: usize,
}

/// Settings of logging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logging {
    /// Minimum level of log lines [info].
    pub level: String,
    /// Format of log lines [text].
    pub format: Format,
}

/// All settings of a daemon process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub daemon: Daemon,
    pub log: Log,
    pub entry: Entry,
    pub agent: Agent,
    pub standalone: Standalone,
    pub logging: Logging,
    /// Keys of client accounts, by account.
    pub account_keys: BTreeMap<String, String>,
    /// Keys of operators, by name.
    pub operator_keys: BTreeMap<String, String>,
}

const DEFAULT_HTTP_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 8080);
const DEFAULT_RPC_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// Minimum length of a key.
const MIN_KEY_CHARACTERS: usize = 8;

impl Settings {
    /// Reads and parses a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    pub fn load(path: &Path) -> Result<Self> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| {
            let message = format!("cannot be read: {e}");
            let finding =
                Finding { file: file.clone(), line: 0, section: String::new(), key: String::new(), message };
            Findings { findings: vec![finding] }
        })?;
        Self::parse(&file, &text)
    }

    /// Parses settings; `file` is the file name in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut ini = Reader::new(file, text)?;
        let daemon = daemon(&mut ini);
        let settings = Self {
            log: log(&mut ini, daemon.role),
            entry: entry(&mut ini),
            agent: agent(&mut ini, daemon.role),
            standalone: standalone(&mut ini),
            logging: logging(&mut ini),
            account_keys: keys(&mut ini, "account-keys"),
            operator_keys: keys(&mut ini, "operator-keys"),
            daemon,
        };
        ini.finish()?;
        Ok(settings)
    }
}

fn daemon(ini: &mut Reader) -> Daemon {
    let s = "daemon";
    let role = ini.get(s, "role", Role::default(), "entry, agent or standalone", |_| true);
    let standalone = role == Role::Standalone;
    let name = match standalone {
        true => ini.optional_text(s, "name").unwrap_or_else(|| "standalone".to_owned()),
        false => ini.required_text(s, "name", "a name that no other process has"),
    };
    if name.contains(['~', '/', ' ']) {
        ini.report(s, "name", "must not have ~, / or spaces");
    }
    let process_key = match standalone {
        true => ini.optional_text(s, "process-key").unwrap_or_else(|| "standalone".to_owned()),
        false => ini.required_text(s, "process-key", "the key that all processes share"),
    };
    if !process_key.is_empty() && process_key.len() < MIN_KEY_CHARACTERS {
        ini.report(s, "process-key", format!("has fewer than {MIN_KEY_CHARACTERS} characters"));
    }
    let address = "an address as IP:PORT";
    Daemon {
        role,
        name,
        region: ini.optional_text(s, "region").unwrap_or_else(|| "region-1".to_owned()),
        domain: ini.optional_text(s, "domain").unwrap_or_else(|| "domain-1".to_owned()),
        rack: ini.optional_text(s, "rack").unwrap_or_else(|| "rack-1".to_owned()),
        http: ini.get(s, "http", DEFAULT_HTTP_ADDRESS.into(), address, |_| true),
        rpc: ini.get(s, "rpc", DEFAULT_RPC_ADDRESS.into(), address, |_| true),
        process_key,
        drain: millis(ini, s, "drain-ms", 30_000, 0..=600_000),
    }
}

fn log(ini: &mut Reader, role: Role) -> Log {
    let s = "log";
    let url = match role {
        Role::Entry => ini.required_text(s, "url", "the log's base URL, as http://IP:PORT"),
        _ => ini.optional_text(s, "url").unwrap_or_default(),
    };
    check_url(ini, s, "url", &url);
    Log {
        url,
        timeout: millis(ini, s, "timeout-ms", 2_000, 50..=60_000),
        snapshot_records: ini
            .get(s, "snapshot-records", 500, "a number from 10 to 100000", |n| (10..=100_000).contains(n)),
    }
}

fn entry(ini: &mut Reader) -> Entry {
    let s = "entry";
    Entry {
        peers: ini.list(s, "peers", "an address as IP:PORT"),
        body_limit_bytes: ini.get(s, "body-limit-bytes", 256 * 1024, "a number from 1024 to 16777216", |n| {
            (1024..=16_777_216).contains(n)
        }),
        connection_limit: ini
            .get(s, "connection-limit", 1_024, "a number from 1 to 65536", |n| (1..=65_536).contains(n)),
        tick: millis(ini, s, "tick-ms", 100, 10..=10_000),
        goal: ini.get(s, "goal", Goal::default(), "completion or fragmentation", |_| true),
    }
}

fn agent(ini: &mut Reader, role: Role) -> Agent {
    let s = "agent";
    let worker = match role {
        Role::Agent => ini.required_text(s, "worker", "the worker's base URL, as http://IP:PORT"),
        _ => ini.optional_text(s, "worker").unwrap_or_default(),
    };
    check_url(ini, s, "worker", &worker);
    let entries: Vec<SocketAddr> = ini.list(s, "entries", "an address as IP:PORT");
    if role == Role::Agent && entries.is_empty() {
        ini.report(s, "entries", "is missing; expected the address of at least one entry");
    }
    Agent {
        worker,
        entries,
        lease: millis(ini, s, "lease-ms", 3_000, 500..=60_000),
        grace: millis(ini, s, "grace-ms", 5_000, 0..=600_000),
    }
}

fn standalone(ini: &mut Reader) -> Standalone {
    let workers = ini.get("standalone", "workers", 3, "a number from 1 to 16", |n| (1..=16).contains(n));
    Standalone { workers }
}

fn logging(ini: &mut Reader) -> Logging {
    let s = "logging";
    let levels = ["error", "warn", "info", "debug", "trace"];
    Logging {
        level: ini.get(s, "level", "info".to_owned(), "error, warn, info, debug or trace", |l| {
            levels.contains(&l.as_str())
        }),
        format: ini.get(s, "format", Format::default(), "text or json", |_| true),
    }
}

fn keys(ini: &mut Reader, section: &str) -> BTreeMap<String, String> {
    let keys = ini.free_section(section);
    for (name, key) in &keys {
        if key.len() < MIN_KEY_CHARACTERS {
            ini.report(section, name, format!("has fewer than {MIN_KEY_CHARACTERS} characters"));
        }
    }
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, key) in &keys {
        if let Some(other) = owners.insert(key, name) {
            ini.report(section, name, format!("has the same key as {other:?}"));
        }
    }
    keys
}

fn millis(
    ini: &mut Reader,
    section: &str,
    key: &str,
    default_ms: u64,
    range: std::ops::RangeInclusive<u64>,
) -> Duration {
    let expected = format!("a number of milliseconds from {} to {}", range.start(), range.end());
    Duration::from_millis(ini.get(section, key, default_ms, &expected, |n| range.contains(n)))
}

fn check_url(ini: &mut Reader, section: &str, key: &str, url: &str) {
    let address = url.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
    let usable = address.is_some_and(|address| address.parse::<SocketAddr>().is_ok());
    if !url.is_empty() && !usable {
        ini.report(section, key, format!("{url:?} is not a URL as http://IP:PORT"));
    }
}
