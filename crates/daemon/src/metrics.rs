//! Metrics, exported in the Prometheus text format.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Metric instruments of one process.
pub struct Metrics {
    registry: Registry,
    _provider: Option<SdkMeterProvider>,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    mismatched: Counter<u64>,
    retries: Counter<u64>,
    job_events: Counter<u64>,
    log_appends: Counter<u64>,
    heartbeats: Counter<u64>,
}

impl Metrics {
    pub fn new(name: &str) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let provider = match exporter {
            Ok(exporter) => Some(SdkMeterProvider::builder().with_reader(exporter).build()),
            Err(e) => {
                log::error!("metrics are not exported: {e}");
                None
            }
        };
        let meter = match &provider {
            Some(provider) => provider.meter("sorrelland"),
            None => opentelemetry::global::meter("sorrelland"),
        };
        log::debug!("metrics of {name} are set up");
        Self {
            registry,
            requests: meter.u64_counter("sorrelland_requests").build(),
            latency: meter.f64_histogram("sorrelland_request_seconds").build(),
            mismatched: meter.u64_counter("sorrelland_mismatched_answers").build(),
            retries: meter.u64_counter("sorrelland_retries").build(),
            job_events: meter.u64_counter("sorrelland_job_events").build(),
            log_appends: meter.u64_counter("sorrelland_log_appends").build(),
            heartbeats: meter.u64_counter("sorrelland_beats").build(),
            _provider: provider,
        }
    }

    /// Counts a request by account and outcome, and records its latency in seconds.
    pub fn record_request(&self, account: &str, outcome: &'static str, seconds: f64) {
        let labels = [KeyValue::new("account", account.to_owned()), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.latency.record(seconds, &labels);
    }

    /// Counts a response that carried the ID of another request.
    pub fn count_mismatched(&self) {
        self.mismatched.add(1, &[]);
    }

    pub fn count_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a state change of a job by event.
    pub fn count_job_event(&self, event: &'static str) {
        self.job_events.add(1, &[KeyValue::new("event", event)]);
    }

    /// Counts an append to the log by result.
    pub fn count_append(&self, result: &'static str) {
        self.log_appends.add(1, &[KeyValue::new("result", result)]);
    }

    pub fn count_heartbeat(&self) {
        self.heartbeats.add(1, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
