//! Stand-in for the service at `advice`, as PROTOCOL.md describes it: it knows the workers by their ids, admits all of them,
//! and handles one call at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{Json, quoted};
use crate::record::note;

pub const DECIDE_MS: u64 = 50;
pub const EACH_MS: u64 = 2;
pub const VALID_MS: u64 = 3_000;

type Tickets = BTreeMap<(String, String), (String, Instant)>;

#[derive(Clone, Default)]
pub struct Policy {
    known: Arc<Mutex<BTreeSet<String>>>,
    /// Newest ticket and its end by step and worker.
    tickets: Arc<Mutex<Tickets>>,
    turn: Arc<Mutex<()>>,
}

impl Policy {
    pub fn serve(&self, listener: TcpListener) {
        let policy = self.clone();
        http::serve(listener, 1_000, Arc::new(move |request| policy.advise(request)));
    }

    /// Adds a worker, which it knows by its id.
    pub fn add(&self, worker: &str) {
        self.known.lock().unwrap().insert(worker.to_owned());
    }

    /// Returns whether a ticket is valid for a step on a worker.
    pub fn is_valid(&self, step: &str, worker: &str, ticket: &str) -> bool {
        let tickets = self.tickets.lock().unwrap();
        let known = tickets.get(&(step.to_owned(), worker.to_owned()));
        known.is_some_and(|(issued, until)| issued == ticket && Instant::now() < *until)
    }

    fn advise(&self, request: Request) -> Reply {
        let _turn = self.turn.lock().unwrap();
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return Reply::json(400, "{}".into());
        };
        let (step, workers) = (body.get("step").text(), body.get("workers").list());
        thread::sleep(Duration::from_millis(DECIDE_MS + EACH_MS * workers.len() as u64));
        let known = self.known.lock().unwrap().clone();
        let mut rows = Vec::new();
        for worker in workers.iter().map(Json::text).filter(|worker| known.contains(*worker)) {
            let ticket = format!("t-{step}-{worker}");
            let until = Instant::now() + Duration::from_millis(VALID_MS + 500);
            self.tickets.lock().unwrap().insert((step.into(), worker.into()), (ticket.clone(), until));
            rows.push(format!("[{},{}]", quoted(worker), quoted(&ticket)));
        }
        let reply = format!("{{\"admitted\":[{}],\"valid_ms\":{VALID_MS}}}", rows.join(","));
        note(&format!("advice asked: {} -> {reply}", String::from_utf8_lossy(&request.body)));
        Reply::json(200, reply)
    }
}
