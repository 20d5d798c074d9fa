//! Metrics with a Prometheus text form.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// The instruments of a process.
pub struct Metrics {
    registry: Registry,
    _provider: Option<SdkMeterProvider>,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    mismatched: Counter<u64>,
    retries: Counter<u64>,
    job_events: Counter<u64>,
    log_appends: Counter<u64>,
    beats: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments of a process called `name`.
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
            beats: meter.u64_counter("sorrelland_beats").build(),
            _provider: provider,
        }
    }

    /// Counts a request of an account by outcome, with its time in seconds.
    pub fn request(&self, account: &str, outcome: &'static str, seconds: f64) {
        let labels = [KeyValue::new("account", account.to_owned()), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.latency.record(seconds, &labels);
    }

    /// Counts an answer whose identity was not the request's.
    pub fn mismatched(&self) {
        self.mismatched.add(1, &[]);
    }

    /// Counts a retry.
    pub fn retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts an event in the life of jobs.
    pub fn job(&self, event: &'static str) {
        self.job_events.add(1, &[KeyValue::new("event", event)]);
    }

    /// Counts an append to the log by result.
    pub fn append(&self, result: &'static str) {
        self.log_appends.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a heartbeat.
    pub fn beat(&self) {
        self.beats.add(1, &[]);
    }

    /// Returns all metrics in Prometheus text form.
    pub fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
