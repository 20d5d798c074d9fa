//! Tests an entry's state of the agents.

use std::time::{Duration, Instant};

use sorrelland_core::id::WorkerId;
use sorrelland_core::shape::Amount;
use sorrelland_core::topology::Place;
use sorrelland_daemon::entry::fleet::Fleet;
use sorrelland_lease::KeyWindow;
use sorrelland_wire::entry::{Heartbeat, Report};

/// Returns a heartbeat with a report of the worker's agent.
fn heartbeat(worker: &WorkerId, incarnation: u64) -> Heartbeat {
    let report = Report {
        place: Place::new("region", "domain", "rack"),
        address: format!("127.0.0.1:{incarnation}"),
        capacity: Amount::new(8, 8),
        draining: false,
        window: KeyWindow { worker: worker.clone(), incarnation, number: 0 },
        shares: Vec::new(),
    };
    Heartbeat {
        worker: worker.clone(),
        incarnation,
        report_number: 1,
        in_flight: 0,
        service_us: 0,
        config_offset: 1,
        report: Some(report),
    }
}

#[test]
fn heartbeat_of_earlier_agent_process_keeps_newer_process() {
    let worker = WorkerId::new("worker-1");
    let mut fleet = Fleet::new("domain");
    let connected_at = Instant::now();
    fleet.record_heartbeat(heartbeat(&worker, 2), connected_at + Duration::from_secs(1));
    fleet.record_heartbeat(heartbeat(&worker, 1), connected_at);
    assert_eq!(fleet.rows()[&worker].incarnation, 2);
    assert_eq!(fleet.rows()[&worker].report.address, "127.0.0.1:2");
    fleet.record_heartbeat(heartbeat(&worker, 3), connected_at + Duration::from_secs(2));
    assert_eq!(fleet.rows()[&worker].incarnation, 3);
}
