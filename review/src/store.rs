//! Stand-in for the platform's store, as PROTOCOL.md describes it: partitioned logs, keyed topics, appends with a
//! condition or a producer, long polls, and the limits that the settings name.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::quoted;
use crate::record::note;

pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;
const APPEND: Duration = Duration::from_millis(2);
const PARTITION_BYTES_PER_S: f64 = 20e6;
const PART_BYTES: usize = 200_000_000;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
const REMEMBERED_REPLIES: usize = 5;

/// What the store does with calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    #[default]
    Sound,
    /// Answers 503 and does nothing.
    Busy,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    replies: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Partition {
    first: u64,
    records: VecDeque<Vec<u8>>,
    bytes: usize,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
struct State {
    parts: BTreeMap<(String, String), Partition>,
    mode: Mode,
}

/// Pacing of the appends of one partition.
type Turn = Arc<Mutex<()>>;

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    turns: Arc<Mutex<BTreeMap<(String, String), Turn>>>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, is_keyed: bool, record: Vec<u8>) {
        if is_keyed && let Some((length, rest)) = record.split_first() {
            let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            match value.is_empty() {
                true => _ = self.newest.remove(&key),
                false => _ = self.newest.insert(key, (value.to_vec(), self.end())),
            }
        }
        self.bytes += record.len();
        self.records.push_back(record);
        while self.bytes > PART_BYTES {
            self.bytes -= self.records.pop_front().map_or(0, |record| record.len());
            self.first += 1;
        }
    }
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let store = Self::default();
        let served = store.clone();
        http::serve(listener, 10_000, Arc::new(move |request| served.handle(request)));
        store
    }

    pub fn set_mode(&self, mode: Mode) {
        note(&format!("store mode={mode:?}"));
        self.shared.0.lock().unwrap().mode = mode;
        self.shared.1.notify_all();
    }

    /// Writes a record of the operator, which the store acknowledges.
    pub fn operate(&self, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let mut state = self.shared.0.lock().unwrap();
        state.parts.entry(("keyed.op".into(), "0".into())).or_default().push(true, record);
        drop(state);
        self.shared.1.notify_all();
        note(&format!("operator wrote {key}: {value}"));
    }

    fn handle(&self, request: Request) -> Reply {
        if self.shared.0.lock().unwrap().mode == Mode::Busy {
            return Reply::json(503, "{}".into());
        }
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let key = (text("topic"), text("part"));
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") => self.append(&request, key),
            ("GET", "/log-read") => self.read(&request, &key),
            ("GET", "/log-newest") => self.newest(&text("after"), &key),
            _ => Reply::json(404, "{}".into()),
        }
    }

    fn append(&self, request: &Request, key: (String, String)) -> Reply {
        let mut records = Vec::new();
        let mut rest = request.body.as_slice();
        while let Some((length, after)) = rest.split_at_checked(4) {
            let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
            let Some((record, after)) = after.split_at_checked(length) else {
                return Reply::json(400, "{}".into());
            };
            records.push(record.to_vec());
            rest = after;
        }
        let largest = records.iter().map(Vec::len).max().unwrap_or(0);
        if largest > RECORD_BYTES || records.iter().map(Vec::len).sum::<usize>() > CALL_BYTES {
            note(&format!("store refused an append with 400: its largest record has {largest} bytes"));
            return Reply::json(400, "{}".into());
        }
        let turn = self.turns.lock().unwrap().entry(key.clone()).or_default().clone();
        let _turn = turn.lock().unwrap();
        thread::sleep(APPEND + Duration::from_secs_f64(request.body.len() as f64 / PARTITION_BYTES_PER_S));
        let is_keyed = key.0.starts_with("keyed.");
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let mut state = self.shared.0.lock().unwrap();
        let part = state.parts.entry(key).or_default();
        if number("at").is_some_and(|at| at != part.end()) {
            return Reply::json(412, format!("{{\"end\":{}}}", part.end()));
        }
        let offset = part.end();
        let writer = request.query.get("producer").cloned().zip(number("epoch")).zip(number("sequence"));
        if let Some(((name, epoch), sequence)) = &writer {
            let producer = part.producers.entry(name.clone()).or_default();
            if *epoch < producer.epoch {
                return Reply::json(409, "{\"reason\":\"fenced\"}".into());
            }
            if *epoch > producer.epoch {
                *producer = Producer { epoch: *epoch, ..Producer::default() };
            }
            if let Some((_, reply)) = producer.replies.iter().find(|(known, _)| known == sequence) {
                return Reply::json(200, reply.clone());
            }
            if let Some(next) = producer.next.filter(|next| next != sequence) {
                return Reply::json(409, format!("{{\"reason\":\"seq\",\"sequence\":{next}}}"));
            }
        }
        if records.is_empty() {
            return Reply::json(200, format!("{{\"offset\":{offset},\"end\":{offset}}}"));
        }
        for record in records {
            part.push(is_keyed, record);
        }
        let reply = format!("{{\"offset\":{offset},\"end\":{}}}", part.end());
        if let Some(((name, _), sequence)) = writer {
            let producer = part.producers.entry(name).or_default();
            producer.next = Some(sequence + 1);
            producer.replies.push_back((sequence, reply.clone()));
            if producer.replies.len() > REMEMBERED_REPLIES {
                producer.replies.pop_front();
            }
        }
        drop(state);
        self.shared.1.notify_all();
        Reply::json(200, reply)
    }

    fn read(&self, request: &Request, key: &(String, String)) -> Reply {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let (from, max_bytes) = (number("from").unwrap_or(0), number("max_kb").unwrap_or(1_024) * 1_024);
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if state.mode == Mode::Busy {
                return Reply::json(503, "{}".into());
            }
            let part = state.parts.entry(key.clone()).or_default();
            if from < part.first {
                return Reply::json(410, format!("{{\"first_offset\":{}}}", part.first));
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if part.end() > from || left.is_zero() {
                let mut body = part.end().to_be_bytes().to_vec();
                body.extend(part.first.to_be_bytes());
                for record in part.records.iter().skip((from - part.first) as usize) {
                    if body.len() > 16 && (body.len() + record.len()) as u64 > max_bytes {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Reply(200, body);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, after: &str, key: &(String, String)) -> Reply {
        let mut state = self.shared.0.lock().unwrap();
        let part = state.parts.entry(key.clone()).or_default();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (value, offset)) in &part.newest {
            if !after.is_empty() && key.as_str() <= after {
                continue;
            }
            if items.len() >= PAGE_ITEMS || (bytes > 0 && bytes + value.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += value.len();
            let (key, value) = (quoted(key), base64(value));
            items.push(format!("{{\"key\":{key},\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let end = part.end();
        Reply::json(200, format!("{{\"items\":[{}],\"has_more\":{has_more},\"end\":{end}}}", items.join(",")))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            match at <= chunk.len() {
                true => out.push(char::from(DIGITS[(bits >> (18 - 6 * at)) as usize & 63])),
                false => out.push('='),
            }
        }
    }
    out
}

/// Returns the address that the store listens at.
pub fn address(ip: &str) -> SocketAddr {
    format!("{ip}:8524").parse().expect("an address")
}
