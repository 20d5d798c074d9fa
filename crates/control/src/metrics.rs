//! Counters and latency histograms of a process, served as text.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Instant;

use http::StatusCode;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use sorrelland_platform::serve::{self, Answer, Handler};

/// Result of serving metrics.
pub type Result<T> = serve::Result<T>;

/// Boundaries of latencies in seconds: from a local answer to the longest wait of a caller.
const LATENCY_BOUNDS: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 3.0];

struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    events: Counter<u64>,
    requests: Histogram<f64>,
    appends: Histogram<f64>,
    levels: Gauge<u64>,
}

static METRICS: OnceLock<Metrics> = OnceLock::new();

/// Sets the instruments of this process up and serves them at `address`, by `handler`.
///
/// # Errors
///
/// Returns why the address could not be bound.
pub fn serve(address: SocketAddr, handler: Handler) -> Result<()> {
    let registry = Registry::new();
    let exporter = match opentelemetry_prometheus::exporter().with_registry(registry.clone()).build() {
        Ok(exporter) => exporter,
        Err(e) => {
            log::error!("event=no_metrics cause=\"{e}\"");
            return Ok(());
        }
    };
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    let meter = provider.meter("sorrelland");
    let latency = |name: &'static str| {
        meter.f64_histogram(name).with_boundaries(LATENCY_BOUNDS.to_vec()).with_unit("s").build()
    };
    let metrics = Metrics {
        events: meter.u64_counter("sorrelland_events").build(),
        requests: latency("sorrelland_request_seconds"),
        appends: latency("sorrelland_append_seconds"),
        levels: meter.u64_gauge("sorrelland_level").build(),
        registry,
        _provider: provider,
    };
    // A second call would be a fault of the caller; the first instruments stay.
    let _ = METRICS.set(metrics);
    let server = serve::start(address, handler)?;
    tokio::spawn(async move {
        if let Err(e) = server.await {
            log::warn!("event=server_failed cause=\"{e}\"");
        }
    });
    Ok(())
}

/// Returns the metrics of this process as text.
pub(crate) fn text() -> Answer {
    let Some(metrics) = METRICS.get() else { return Answer::new(StatusCode::SERVICE_UNAVAILABLE) };
    match TextEncoder::new().encode_to_string(&metrics.registry.gather()) {
        Ok(text) => Answer { body: text, ..Answer::new(StatusCode::OK) },
        Err(e) => {
            log::warn!("event=no_metrics cause=\"{e}\"");
            Answer::new(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Counts an event of the logs by its name.
pub fn event(name: &str) {
    if let Some(metrics) = METRICS.get() {
        metrics.events.add(1, &[KeyValue::new("event", name.to_owned())]);
    }
}

/// Records how long the answer to a request took.
pub fn request(what: &'static str, status: StatusCode, began: Instant) {
    if let Some(metrics) = METRICS.get() {
        let labels = [KeyValue::new("what", what), KeyValue::new("status", i64::from(status.as_u16()))];
        metrics.requests.record(began.elapsed().as_secs_f64(), &labels);
    }
}

/// Records how long an append to the store took, by its outcome.
pub fn append(outcome: &'static str, began: Instant) {
    if let Some(metrics) = METRICS.get() {
        metrics.appends.record(began.elapsed().as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }
}

/// Sets a level, such as the number of jobs that wait or the version of the desired state.
pub fn level(name: &'static str, value: u64) {
    if let Some(metrics) = METRICS.get() {
        metrics.levels.record(value, &[KeyValue::new("of", name)]);
    }
}
