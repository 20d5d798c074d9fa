//! The scripts of the review: `cases NAME RECORD` plays one, with the disruption unless TROUBLE=0.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod advice;
mod deployment;
mod ends;
mod http;
mod json;
mod large;
mod policy;
mod record;
mod route;
mod store;
mod worker;
mod writer;

use std::panic;
use std::path::Path;

use deployment::{HOST, SERVICE, ZONES};
use policy::{DECIDE_MS, EACH_MS, VALID_MS};
use worker::Shape;

/// Whether the rule was broken, with what shows it.
pub type Verdict = Result<String, String>;

pub const KEYS: [&str; 2] = ["key-chandler-one", "key-chandler-two"];
pub const URGENT: &str = "/urgent/";
pub const ORDERS: &str = "/orders/";
/// A queue with `advice`.
pub const ADVISED: &str = "/advised/";

/// Ends the case: it couldn't run.
pub fn give_up(why: &str) -> ! {
    record::say(&format!("can't run: {why}"));
    panic::resume_unwind(Box::new(()))
}

/// Returns a desired state with two queues, two tenants and no limit on attempts but `max_attempts`.
pub fn config(version: u64, queues: &[&str], max_attempts: u32) -> String {
    let routes = queues.iter().map(|prefix| {
        let priority = u32::from(*prefix != URGENT);
        let advice = match *prefix == ADVISED {
            true => format!(
                ",\"advice\":{{\"decide_ms\":{DECIDE_MS},\"each_ms\":{EACH_MS},\"valid_ms\":{VALID_MS}}}"
            ),
            false => String::new(),
        };
        format!(
            "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"service\":\"{SERVICE}\",\
             \"priority\":{priority},\"max_attempts\":{max_attempts},\"stretch\":3.0,\"full_credit_ms\":3000,\
             \"timeout_ms\":3000{advice}}}",
            prefix.trim_matches('/')
        )
    });
    let tenants = KEYS.iter().enumerate().map(|(at, key)| {
        format!("{{\"name\":\"tenant-{at}\",\"api_keys\":[\"{key}\"],\"guaranteed\":{{\"gpu\":4}}}}")
    });
    let (routes, tenants): (Vec<_>, Vec<_>) = (routes.collect(), tenants.collect());
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"enforces_capacity\":false}}],\
         \"tenants\":[{}],\"limits\":{{}}}}",
        routes.join(","),
        tenants.join(",")
    )
}

/// A worker like those of the users' sheets: about 128 cores, 256 GB, 8 GPUs, 3 a rack.
pub fn shape(index: usize) -> Shape {
    Shape {
        id: format!("i-{:08x}", 0x7f3a_91c0_u64 + index as u64),
        service: SERVICE.to_owned(),
        zone: ZONES[index % ZONES.len()].to_owned(),
        rack: format!("r{}", index / 3 + 1),
        cpu: 128_000,
        memory_mb: 262_144,
        gpu: 8,
        tells_born: true,
    }
}

/// Returns the name of a job: 16 hexadecimal digits.
pub fn job(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number)
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(name), Some(path)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: cases NAME RECORD");
        std::process::exit(2);
    };
    record::open(Path::new(path));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    deployment::watch();
    record::note(&format!("case {name}, with the disruption: {has_trouble}"));
    let play = match name.as_str() {
        "advice" => advice::play,
        "ends" => ends::play,
        "large" => large::play,
        "route" => route::play,
        "writer" => writer::play,
        _ => {
            eprintln!("no such case");
            std::process::exit(2);
        }
    };
    let code = match panic::catch_unwind(|| play(has_trouble)) {
        Ok(Ok(why)) => {
            record::say(&format!("the rule held: {why}"));
            0
        }
        Ok(Err(why)) => {
            record::say(&format!("THE RULE WAS BROKEN: {why}"));
            1
        }
        Err(_) => 2,
    };
    std::process::exit(code);
}
