//! Tests the decoding of jobs whose placement operators ask for.

use serde_json::{Value, json};
use sorrelland_control::operators::decode_trial;
use sorrelland_fleet::desired::{Account, Desired, Queue};

fn desired() -> Desired {
    let queue = |name: &str, public: bool| Queue { name: name.to_owned(), public, ..Queue::default() };
    Desired {
        version: 1,
        queues: vec![queue("closed", false), queue("open", true)],
        accounts: [("museum".to_owned(), Account::default())].into(),
        keys: [("key".to_owned(), "guest".to_owned())].into(),
        ..Desired::default()
    }
}

fn error(job: &Value) -> String {
    decode_trial(job.to_string().as_bytes(), &desired()).unwrap_err().to_string()
}

// Guards against a job that a caller could submit but an operator can't ask about.
#[yare::parameterized(
    account_with_guarantee = { json!({"queue": "closed", "account": "museum"}), "closed", "museum" },
    account_with_key = { json!({"queue": "closed", "account": "guest"}), "closed", "guest" },
    public_queue = { json!({"queue": "open"}), "open", "" },
)]
fn decode_trial_takes_job_of_caller(job: Value, queue: &str, account: &str) {
    let mut job = job;
    job["steps"] = json!([{"count": 2, "gpu": 4, "gang_scheduled": true}]);
    let sub = decode_trial(job.to_string().as_bytes(), &desired()).unwrap();
    assert_eq!((sub.queue.as_str(), sub.account.as_str()), (queue, account));
    assert!(sub.steps[0].gang && sub.steps[0].resources.accelerators == 4);
}

// Guards against bad input that is answered as if it were a job, or whose error doesn't name the field.
#[yare::parameterized(
    no_queue = { json!({"account": "museum", "steps": []}), "queue is missing" },
    queue_of_other_type = { json!({"queue": 1, "account": "museum"}), "queue: 1 is not a string" },
    unknown_queue = { json!({"queue": "elsewhere"}), "unknown queue \"elsewhere\"; known: closed, open" },
    no_account = { json!({"queue": "closed", "steps": []}), "account is missing" },
    unknown_account = {
        json!({"queue": "closed", "account": "nobody"}),
        "unknown account \"nobody\"; known: guest, museum",
    },
    no_steps = { json!({"queue": "open"}), "missing field `steps`" },
    empty_steps = { json!({"queue": "open", "steps": []}), "steps: at least one is needed" },
    no_subtasks = { json!({"queue": "open", "steps": [{}]}), "steps[0].count: at least 1 is needed" },
    no_object = { json!([1]), "not a JSON object" },
)]
fn decode_trial_rejects(job: Value, expected: &str) {
    let error = error(&job);
    assert!(error.contains(expected), "{error}");
}
