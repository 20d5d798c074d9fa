//! Counters, gauges and latency histograms of a process, served as text.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use http::StatusCode;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use sorrelland_fleet::forecast_errors::ForecastError;
use sorrelland_platform::serve::{self, Handler, Response};

/// Result of serving metrics.
pub type Result<T> = serve::Result<T>;

/// Bucket boundaries, from a local answer to the longest wait of a caller.
const LATENCY_BUCKETS_S: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 3.0];

/// Bucket boundaries of the errors of forecasts, in percent of the true remaining time.
const ERROR_BUCKETS_PERCENT: [f64; 9] = [5.0, 10.0, 20.0, 30.0, 50.0, 75.0, 100.0, 200.0, 400.0];

struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    events: Counter<u64>,
    announcements: Counter<u64>,
    incarnations_ended: Counter<u64>,
    reports_ignored: Counter<u64>,
    submissions_refused: Counter<u64>,
    submissions_not_run: Counter<u64>,
    cancels: Counter<u64>,
    request_seconds: Histogram<f64>,
    append_seconds: Histogram<f64>,
    pass_seconds: Histogram<f64>,
    pass_gap_seconds: Histogram<f64>,
    forecast_error_percent: Histogram<u64>,
    gauges: Gauge<u64>,
}

static METRICS: OnceLock<Metrics> = OnceLock::new();

/// Sets up the instruments of this process, and starts a server at `address` whose `handler` serves them.
///
/// # Errors
///
/// Fails if the address can't be bound.
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
        meter.f64_histogram(name).with_boundaries(LATENCY_BUCKETS_S.to_vec()).with_unit("s").build()
    };
    let metrics = Metrics {
        events: meter.u64_counter("sorrelland_events").build(),
        announcements: meter.u64_counter("sorrelland_announcements").build(),
        incarnations_ended: meter.u64_counter("sorrelland_incarnations_ended").build(),
        reports_ignored: meter.u64_counter("sorrelland_reports_ignored").build(),
        submissions_refused: meter.u64_counter("sorrelland_submissions_refused").build(),
        submissions_not_run: meter.u64_counter("sorrelland_submissions_not_run").build(),
        cancels: meter.u64_counter("sorrelland_cancels").build(),
        request_seconds: latency("sorrelland_request_seconds"),
        append_seconds: latency("sorrelland_append_seconds"),
        pass_seconds: latency("sorrelland_pass_seconds"),
        pass_gap_seconds: latency("sorrelland_pass_gap_seconds"),
        forecast_error_percent: meter
            .u64_histogram("sorrelland_forecast_error_percent")
            .with_boundaries(ERROR_BUCKETS_PERCENT.to_vec())
            .build(),
        gauges: meter.u64_gauge("sorrelland_level").build(),
        registry,
        _provider: provider,
    };
    // A second call is a bug in the caller; the instruments of the first call stay in use.
    let _ = METRICS.set(metrics);
    let server = serve::start(address, handler)?;
    tokio::spawn(async move {
        if let Err(e) = server.await {
            log::warn!("event=server_failed cause=\"{e}\"");
        }
    });
    Ok(())
}

/// Answers with the metrics of this process in the Prometheus text format.
pub(crate) fn render() -> Response {
    let Some(metrics) = METRICS.get() else { return Response::new(StatusCode::SERVICE_UNAVAILABLE) };
    match TextEncoder::new().encode_to_string(&metrics.registry.gather()) {
        Ok(text) => Response { body: text, ..Response::new(StatusCode::OK) },
        Err(e) => {
            log::warn!("event=no_metrics cause=\"{e}\"");
            Response::new(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Counts a logged event by its name.
pub fn count_event(name: &str) {
    if let Some(metrics) = METRICS.get() {
        metrics.events.add(1, &[KeyValue::new("event", name.to_owned())]);
    }
}

/// Counts an announcement that an agent received, by its effect.
pub fn count_announcement(effect: &'static str) {
    if let Some(metrics) = METRICS.get() {
        metrics.announcements.add(1, &[KeyValue::new("effect", effect)]);
    }
}

/// Counts a worker incarnation whose runs an agent gave up, by the cause.
pub fn count_incarnation_end(cause: &'static str) {
    if let Some(metrics) = METRICS.get() {
        metrics.incarnations_ended.add(1, &[KeyValue::new("cause", cause)]);
    }
}

/// Counts agents' reports that the planner ignored, by the reason.
pub fn count_ignored_reports(reason: &'static str, count: u64) {
    if let Some(metrics) = METRICS.get() {
        metrics.reports_ignored.add(count, &[KeyValue::new("reason", reason)]);
    }
}

/// Counts submissions that the planner refused, by the cause.
pub fn count_refusals(cause: &'static str, count: u64) {
    if let Some(metrics) = METRICS.get() {
        metrics.submissions_refused.add(count, &[KeyValue::new("cause", cause)]);
    }
}

/// Counts a submission that the planner answered with "not run", by the reason.
pub fn count_not_run(reason: &'static str) {
    if let Some(metrics) = METRICS.get() {
        metrics.submissions_not_run.add(1, &[KeyValue::new("reason", reason)]);
    }
}

/// Counts a cancel that an entry answered, by the reason for the answer.
pub fn count_cancel(reason: &'static str) {
    if let Some(metrics) = METRICS.get() {
        metrics.cancels.add(1, &[KeyValue::new("reason", reason)]);
    }
}

/// Records how long the answer to a request took.
pub fn record_request(operation: &'static str, status: StatusCode, started_at: Instant) {
    if let Some(metrics) = METRICS.get() {
        let labels = [KeyValue::new("what", operation), KeyValue::new("status", i64::from(status.as_u16()))];
        metrics.request_seconds.record(started_at.elapsed().as_secs_f64(), &labels);
    }
}

/// Records how long an append to the store took, by its outcome.
pub fn record_append(outcome: &'static str, started_at: Instant) {
    if let Some(metrics) = METRICS.get() {
        metrics
            .append_seconds
            .record(started_at.elapsed().as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }
}

/// Records how long a planning pass took, and the time between its start and the end of the one before.
pub fn record_pass(pass: Duration, gap: Duration) {
    if let Some(metrics) = METRICS.get() {
        metrics.pass_seconds.record(pass.as_secs_f64(), &[]);
        metrics.pass_gap_seconds.record(gap.as_secs_f64(), &[]);
    }
}

/// Records the size of an error of a forecast, by the age of the run and whether it took longer than forecast.
pub fn record_forecast_error(error: ForecastError) {
    if let Some(metrics) = METRICS.get() {
        let side = if error.percent < 0 { "short" } else { "long" };
        let labels = [KeyValue::new("age_ms", error.age_ms as i64), KeyValue::new("forecast", side)];
        metrics.forecast_error_percent.record(error.percent.unsigned_abs(), &labels);
    }
}

/// Sets a gauge, such as the number of live jobs or the version of the desired state.
pub fn set_gauge(name: &'static str, value: u64) {
    if let Some(metrics) = METRICS.get() {
        metrics.gauges.record(value, &[KeyValue::new("of", name)]);
    }
}
