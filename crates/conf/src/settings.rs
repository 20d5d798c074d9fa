//! The settings of the daemon, with their defaults beside them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use derive_more::{Display, FromStr};

use crate::finding::{Finding, Findings};
use crate::reader::Reader;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Findings>;

/// What a daemon process does.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
pub enum Role {
    /// Takes callers and operators and decides placement.
    #[display("entry")]
    Entry,
    /// Decides for one worker.
    #[display("agent")]
    Agent,
    /// Entry, agents and stand-ins in one process.
    #[default]
    #[display("standalone")]
    Standalone,
}

/// Which measure the policy puts first.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
pub enum Goal {
    /// Short completion times.
    #[default]
    Completion,
    /// Whole large shapes.
    Fragmentation,
}

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
pub enum Format {
    /// One line of text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Who the process is and where it listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Daemon {
    /// What the process does.
    pub role: Role,
    /// Name of the process; an agent's is the name of its worker.
    pub name: String,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub domain: String,
    /// Rack.
    pub rack: String,
    /// Address for callers and operators [127.0.0.1:8080].
    pub http: SocketAddr,
    /// Address for the other processes of the system [127.0.0.1:0].
    pub rpc: SocketAddr,
    /// Key that the processes of the system share.
    pub process_key: String,
    /// Longest time that a graceful stop waits for work in flight [30 s].
    pub drain: Duration,
}

/// The platform's log service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Base URL.
    pub url: String,
    /// Time for one answer [2 s].
    pub timeout: Duration,
    /// Records between two snapshots [500].
    pub snapshot_records: u64,
}

/// An entry's own settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Addresses of other entries that are known beforehand.
    pub peers: Vec<SocketAddr>,
    /// Bytes of a caller's body at most [256 KiB].
    pub body_limit_bytes: usize,
    /// Callers' connections at a time [1024].
    pub connection_limit: usize,
    /// Time between two scheduling passes [100 ms].
    pub tick: Duration,
    /// Which measure the policy puts first [completion].
    pub goal: Goal,
}

/// An agent's own settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agent {
    /// Base URL of the worker and its upstream.
    pub worker: String,
    /// Addresses of entries that are known beforehand.
    pub entries: Vec<SocketAddr>,
    /// Lease of a gang's members [3 s].
    pub lease: Duration,
    /// Grace for a checkpoint before a stop [5 s].
    pub grace: Duration,
}

/// The embedded default's own settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standalone {
    /// Workers that are started [3].
    pub workers: usize,
}

/// How the process logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logging {
    /// Least severe level that is logged [info].
    pub level: String,
    /// Form of the lines [text].
    pub format: Format,
}

/// All settings of a daemon process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Who the process is.
    pub daemon: Daemon,
    /// The platform's log service.
    pub log: Log,
    /// An entry's own settings.
    pub entry: Entry,
    /// An agent's own settings.
    pub agent: Agent,
    /// The embedded default's own settings.
    pub standalone: Standalone,
    /// How the process logs.
    pub logging: Logging,
    /// Keys of client accounts, by account.
    pub account_keys: BTreeMap<String, String>,
    /// Keys of operators, by name.
    pub operator_keys: BTreeMap<String, String>,
}

const LOOPBACK_HTTP: ([u8; 4], u16) = ([127, 0, 0, 1], 8080);
const LOOPBACK_ANY: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// Characters of a key at least.
const KEY_CHARACTERS: usize = 8;

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns all findings together.
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

    /// Reads a text; `file` is the name that findings show.
    ///
    /// # Errors
    ///
    /// Returns all findings together.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut r = Reader::new(file, text)?;
        let daemon = daemon(&mut r);
        let settings = Self {
            log: log(&mut r, daemon.role),
            entry: entry(&mut r),
            agent: agent(&mut r, daemon.role),
            standalone: standalone(&mut r),
            logging: logging(&mut r),
            account_keys: keys(&mut r, "account-keys"),
            operator_keys: keys(&mut r, "operator-keys"),
            daemon,
        };
        r.finish()?;
        Ok(settings)
    }
}

fn daemon(r: &mut Reader) -> Daemon {
    let s = "daemon";
    let role = r.value(s, "role", Role::default(), "entry, agent or standalone", |_| true);
    let standalone = role == Role::Standalone;
    let name = match standalone {
        true => r.text(s, "name").unwrap_or_else(|| "standalone".to_owned()),
        false => r.required(s, "name", "a name that no other process has"),
    };
    if name.contains(['~', '/', ' ']) {
        r.find(s, "name", "must not have ~, / or blanks");
    }
    let process_key = match standalone {
        true => r.text(s, "process-key").unwrap_or_else(|| "standalone".to_owned()),
        false => r.required(s, "process-key", "the key that all processes share"),
    };
    if !process_key.is_empty() && process_key.len() < KEY_CHARACTERS {
        r.find(s, "process-key", format!("has fewer than {KEY_CHARACTERS} characters"));
    }
    let address = "an address as IP:PORT";
    Daemon {
        role,
        name,
        region: r.text(s, "region").unwrap_or_else(|| "region-1".to_owned()),
        domain: r.text(s, "domain").unwrap_or_else(|| "domain-1".to_owned()),
        rack: r.text(s, "rack").unwrap_or_else(|| "rack-1".to_owned()),
        http: r.value(s, "http", LOOPBACK_HTTP.into(), address, |_| true),
        rpc: r.value(s, "rpc", LOOPBACK_ANY.into(), address, |_| true),
        process_key,
        drain: millis(r, s, "drain-ms", 30_000, 0..=600_000),
    }
}

fn log(r: &mut Reader, role: Role) -> Log {
    let s = "log";
    let url = match role {
        Role::Entry => r.required(s, "url", "the log's base URL, as http://IP:PORT"),
        _ => r.text(s, "url").unwrap_or_default(),
    };
    check_url(r, s, "url", &url);
    Log {
        url,
        timeout: millis(r, s, "timeout-ms", 2_000, 50..=60_000),
        snapshot_records: r
            .value(s, "snapshot-records", 500, "a number from 10 to 100000", |n| (10..=100_000).contains(n)),
    }
}

fn entry(r: &mut Reader) -> Entry {
    let s = "entry";
    Entry {
        peers: r.list(s, "peers", "an address as IP:PORT"),
        body_limit_bytes: r.value(s, "body-limit-bytes", 256 * 1024, "a number from 1024 to 16777216", |n| {
            (1024..=16_777_216).contains(n)
        }),
        connection_limit: r
            .value(s, "connection-limit", 1_024, "a number from 1 to 65536", |n| (1..=65_536).contains(n)),
        tick: millis(r, s, "tick-ms", 100, 10..=10_000),
        goal: r.value(s, "goal", Goal::default(), "completion or fragmentation", |_| true),
    }
}

fn agent(r: &mut Reader, role: Role) -> Agent {
    let s = "agent";
    let worker = match role {
        Role::Agent => r.required(s, "worker", "the worker's base URL, as http://IP:PORT"),
        _ => r.text(s, "worker").unwrap_or_default(),
    };
    check_url(r, s, "worker", &worker);
    let entries: Vec<SocketAddr> = r.list(s, "entries", "an address as IP:PORT");
    if role == Role::Agent && entries.is_empty() {
        r.find(s, "entries", "is missing; expected the address of at least one entry");
    }
    Agent {
        worker,
        entries,
        lease: millis(r, s, "lease-ms", 3_000, 500..=60_000),
        grace: millis(r, s, "grace-ms", 5_000, 0..=600_000),
    }
}

fn standalone(r: &mut Reader) -> Standalone {
    let workers = r.value("standalone", "workers", 3, "a number from 1 to 16", |n| (1..=16).contains(n));
    Standalone { workers }
}

fn logging(r: &mut Reader) -> Logging {
    let s = "logging";
    let levels = ["error", "warn", "info", "debug", "trace"];
    Logging {
        level: r.value(s, "level", "info".to_owned(), "error, warn, info, debug or trace", |l| {
            levels.contains(&l.as_str())
        }),
        format: r.value(s, "format", Format::default(), "text or json", |_| true),
    }
}

fn keys(r: &mut Reader, section: &str) -> BTreeMap<String, String> {
    let keys = r.table(section);
    for (name, key) in &keys {
        if key.len() < KEY_CHARACTERS {
            r.find(section, name, format!("has fewer than {KEY_CHARACTERS} characters"));
        }
    }
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, key) in &keys {
        if let Some(other) = owners.insert(key, name) {
            r.find(section, name, format!("has the same key as {other:?}"));
        }
    }
    keys
}

fn millis(
    r: &mut Reader,
    section: &str,
    key: &str,
    default_ms: u64,
    range: std::ops::RangeInclusive<u64>,
) -> Duration {
    let what = format!("a number of milliseconds from {} to {}", range.start(), range.end());
    Duration::from_millis(r.value(section, key, default_ms, &what, |n| range.contains(n)))
}

fn check_url(r: &mut Reader, section: &str, key: &str, url: &str) {
    let address = url.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
    let usable = address.is_some_and(|address| address.parse::<SocketAddr>().is_ok());
    if !url.is_empty() && !usable {
        r.find(section, key, format!("{url:?} is not a URL as http://IP:PORT"));
    }
}
