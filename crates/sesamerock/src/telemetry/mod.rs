//! Logging setup and metrics of a process.

use std::time::SystemTime;

use eyre::WrapErr as _;
use log::LevelFilter;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider as _, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use sesamerock_gateway::sink::Sink;

/// Starts logging to standard error, one key=value line per event.
///
/// # Errors
/// Fails if a logger was set before.
pub fn start_log(level: LevelFilter) -> eyre::Result<()> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            let now = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default();
            out.finish(format_args!(
                "time={}.{:06} level={} module={} {}",
                now.as_secs(),
                now.subsec_micros(),
                record.level().as_str().to_ascii_lowercase(),
                record.target(),
                message
            ));
        })
        .level(LevelFilter::Warn)
        .level_for("sesamerock", level)
        .level_for("sesamerock_client", level)
        .chain(std::io::stderr())
        .apply()
        .wrap_err("the logger was started twice")
}

/// Starts logging to standard output through a separate thread, so that a slow
/// reader of the output does not block other threads.
///
/// # Errors
/// Fails if a logger was set before, or if the thread cannot be started.
pub fn start_stdout_log(level: LevelFilter) -> eyre::Result<()> {
    let sink = Sink::start().wrap_err("cannot start the log thread")?;
    let output = fern::Output::call(move |record| {
        let now = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        sink.write(format!(
            "time={}.{:03} level={} {}",
            now.as_secs(),
            now.subsec_millis(),
            record.level().as_str().to_ascii_lowercase(),
            record.args()
        ));
    });
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("sesamerock", level)
        .level_for("sesamerock_adapter", level)
        .level_for("sesamerock_gateway", level)
        .chain(output)
        .apply()
        .wrap_err("the logger was started twice")
}

/// Metrics of a process and the registry from which they are scraped.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    // Dropping the provider would stop the metrics.
    _provider: SdkMeterProvider,
    /// Requests answered, by status class.
    pub requests: Counter<u64>,
    /// Attempts that were refused with `executed: no`, by reason.
    pub refusals: Counter<u64>,
    /// Attempts after the first.
    pub retries: Counter<u64>,
    /// Second attempts sent beside a slow look-up.
    pub hedges: Counter<u64>,
    /// Second attempts whose answer was used.
    pub hedges_won: Counter<u64>,
    /// Streams that moved to another upstream.
    pub resumes: Counter<u64>,
    /// Requests in progress.
    pub in_flight: UpDownCounter<i64>,
    /// Time to the first byte of an answer, in seconds.
    pub first_byte: Histogram<f64>,
    /// Control version in effect.
    pub version: opentelemetry::metrics::Gauge<u64>,
    /// Calls that the agent counts as in flight at its upstream.
    pub calls: opentelemetry::metrics::Gauge<u64>,
    /// Limit of calls in flight that the agent has determined.
    pub limit: opentelemetry::metrics::Gauge<u64>,
    /// Anchors in the agent's summary of the engine's prefix cache.
    pub cache_anchors: opentelemetry::metrics::Gauge<u64>,
    /// Anchors that the agent has sent to entries, four bytes each.
    pub cache_told: Counter<u64>,
}

impl Metrics {
    /// Creates the metrics of a role.
    ///
    /// # Errors
    /// Fails if the exporter cannot be registered.
    pub fn new(role: &'static str) -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(role);
        Ok(Self {
            requests: meter.u64_counter("sesamerock_requests").build(),
            refusals: meter.u64_counter("sesamerock_refusals").build(),
            retries: meter.u64_counter("sesamerock_retries").build(),
            hedges: meter.u64_counter("sesamerock_hedges").build(),
            hedges_won: meter.u64_counter("sesamerock_hedges_won").build(),
            resumes: meter.u64_counter("sesamerock_resumes").build(),
            in_flight: meter.i64_up_down_counter("sesamerock_in_flight").build(),
            first_byte: meter
                .f64_histogram("sesamerock_first_byte")
                .with_unit("s")
                .build(),
            version: meter.u64_gauge("sesamerock_version").build(),
            calls: meter.u64_gauge("sesamerock_calls").build(),
            limit: meter.u64_gauge("sesamerock_limit").build(),
            cache_anchors: meter.u64_gauge("sesamerock_cache_anchors").build(),
            cache_told: meter.u64_counter("sesamerock_cache_told").build(),
            registry,
            _provider: provider,
        })
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}
