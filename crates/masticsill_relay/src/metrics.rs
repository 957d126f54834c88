//! Counters, gauges and histograms of a relay. docs/METRICS.md lists their names and labels.

use std::sync::atomic::AtomicU64;

use masticsill_registry::{EndpointState, StateGauges};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use masticsill_dispatch::EndpointTable;

/// Histogram buckets of durations in milliseconds: from a lookup to a long generation.
const TIME_BUCKETS_MS: [f64; 14] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 350.0, 700.0, 1_500.0, 3_000.0, 4_500.0, 8_000.0,
    15_000.0, 30_000.0,
];

/// Kind and outcome of a request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct RequestLabels {
    pub(crate) kind: &'static str,
    pub(crate) outcome: &'static str,
}

/// Kind of a request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct KindLabel {
    pub(crate) kind: &'static str,
}

/// Cause of a counted event.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct CauseLabel {
    pub(crate) cause: &'static str,
}

/// Whether a stream is new, or one that its caller continues.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct StreamLabel {
    pub(crate) kind: &'static str,
}

impl StreamLabel {
    pub(crate) fn new(is_continued: bool) -> Self {
        Self {
            kind: if is_continued { "continued" } else { "new" },
        }
    }
}

/// Service and side of a roll-out.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct SideLabels {
    pub(crate) service: String,
    pub(crate) side: &'static str,
}

impl SideLabels {
    pub(crate) fn new(service: &str, is_target: bool) -> Self {
        Self {
            service: service.to_owned(),
            side: side_name(is_target),
        }
    }
}

/// Service, side and outcome of an attempt during a roll-out.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct SideOutcomeLabels {
    pub(crate) outcome: &'static str,
    pub(crate) service: String,
    pub(crate) side: &'static str,
}

impl SideOutcomeLabels {
    pub(crate) fn new(service: &str, is_target: bool, is_failed: bool) -> Self {
        Self {
            outcome: if is_failed { "failed" } else { "answered" },
            service: service.to_owned(),
            side: side_name(is_target),
        }
    }
}

fn side_name(is_target: bool) -> &'static str {
    if is_target { "target" } else { "old" }
}

/// The metrics of one relay.
#[derive(Clone, Debug)]
pub(crate) struct RelayMetrics {
    pub(crate) active: Gauge,
    pub(crate) answer_ms: Family<KindLabel, Histogram, fn() -> Histogram>,
    pub(crate) attempt_failures: Family<CauseLabel, Counter>,
    pub(crate) broken_off: Family<CauseLabel, Counter>,
    pub(crate) continuations_failed: Family<CauseLabel, Counter>,
    pub(crate) document_behind: Gauge,
    pub(crate) document_version: Gauge<u64, AtomicU64>,
    pub(crate) endpoints: StateGauges,
    pub(crate) endpoints_limited: Gauge,
    pub(crate) event_gap_ms: Histogram,
    pub(crate) first_event_ms: Histogram,
    pub(crate) kept_tokens: Counter,
    pub(crate) late_ms: Histogram,
    pub(crate) overload_refused: Counter,
    pub(crate) quarantined: Gauge,
    pub(crate) requests: Family<RequestLabels, Counter>,
    pub(crate) resumes: Family<CauseLabel, Counter>,
    pub(crate) retries_left: Gauge,
    pub(crate) retries_refused: Counter,
    pub(crate) rollout_answers: Family<SideOutcomeLabels, Counter>,
    pub(crate) rollout_sends: Family<SideLabels, Counter>,
    pub(crate) runs_crashed: Counter,
    pub(crate) runs_left_alive: Counter,
    pub(crate) streams_asked: Family<StreamLabel, Counter>,
    pub(crate) streams_begun: Family<StreamLabel, Counter>,
    pub(crate) streams_continued: Counter,
    pub(crate) tokens_prefilled_again: Counter,
    pub(crate) wait_ms: Histogram,
}

fn time_histogram() -> Histogram {
    Histogram::new(TIME_BUCKETS_MS)
}

impl RelayMetrics {
    /// Creates the metrics and registers them.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let metrics = Self {
            active: Gauge::default(),
            answer_ms: Family::new_with_constructor(time_histogram),
            attempt_failures: Family::default(),
            broken_off: Family::default(),
            continuations_failed: Family::default(),
            document_behind: Gauge::default(),
            document_version: Gauge::default(),
            endpoints: StateGauges::default(),
            endpoints_limited: Gauge::default(),
            event_gap_ms: time_histogram(),
            first_event_ms: time_histogram(),
            kept_tokens: Counter::default(),
            late_ms: time_histogram(),
            overload_refused: Counter::default(),
            quarantined: Gauge::default(),
            requests: Family::default(),
            resumes: Family::default(),
            retries_left: Gauge::default(),
            retries_refused: Counter::default(),
            rollout_answers: Family::default(),
            rollout_sends: Family::default(),
            runs_crashed: Counter::default(),
            runs_left_alive: Counter::default(),
            streams_asked: Family::default(),
            streams_begun: Family::default(),
            streams_continued: Counter::default(),
            tokens_prefilled_again: Counter::default(),
            wait_ms: time_histogram(),
        };
        metrics.register(registry);
        metrics
    }

    fn register(&self, registry: &mut Registry) {
        let help = "Requests that are being answered";
        registry.register("masticsill_relay_active", help, self.active.clone());
        let help = "Time from a request to the end of its answer";
        registry.register("masticsill_relay_answer_ms", help, self.answer_ms.clone());
        let help = "Exchanges with endpoints that gave no answer to pass on";
        let failures = self.attempt_failures.clone();
        registry.register("masticsill_relay_attempt_failures", help, failures);
        let help = "Streams that were broken off, by what kept them from going on";
        let broken_off = self.broken_off.clone();
        registry.register("masticsill_relay_streams_broken_off", help, broken_off);
        let help = "Time by which the relay's own thread ran too late";
        registry.register("masticsill_relay_late_ms", help, self.late_ms.clone());
        let help = "Whether a newer document than the one in force here is known";
        let behind = self.document_behind.clone();
        registry.register("masticsill_relay_document_behind", help, behind);
        let help = "Version of the document in force here";
        let version = self.document_version.clone();
        registry.register("masticsill_relay_document_version", help, version);
        self.endpoints
            .register("masticsill_relay_endpoints", registry);
        let help = "Endpoints of plain services that are given fewer requests at once";
        registry.register(
            "masticsill_relay_endpoints_limited",
            help,
            self.endpoints_limited.clone(),
        );
        let help = "Longest pause between the events of a stream";
        registry.register(
            "masticsill_relay_event_gap_ms",
            help,
            self.event_gap_ms.clone(),
        );
        let help = "Time from a request to its first event";
        registry.register(
            "masticsill_relay_first_event_ms",
            help,
            self.first_event_ms.clone(),
        );
        let help = "Prompt tokens that the chosen engines kept already";
        let kept = self.kept_tokens.clone();
        registry.register("masticsill_relay_kept_tokens", help, kept);
        let help = "Requests that were refused because they could not be answered in time";
        registry.register(
            "masticsill_relay_overload_refused",
            help,
            self.overload_refused.clone(),
        );
        let help = "Time for which requests waited for an endpoint with room";
        registry.register("masticsill_relay_wait_ms", help, self.wait_ms.clone());
        let help = "Requests that crash endpoints and are sent nowhere";
        let quarantined = self.quarantined.clone();
        registry.register("masticsill_relay_quarantined", help, quarantined);
        let help = "Runs that ended together with their endpoints";
        let crashed = self.runs_crashed.clone();
        registry.register("masticsill_relay_runs_crashed", help, crashed);
        let help = "Requests that endpoints answered or failed while a roll-out was in progress";
        let answers = self.rollout_answers.clone();
        registry.register("masticsill_relay_rollout_answers", help, answers);
        let help = "Requests that were sent to endpoints while a roll-out was in progress";
        let sends = self.rollout_sends.clone();
        registry.register("masticsill_relay_rollout_sends", help, sends);
        let help = "Silent runs that were left although their endpoints accepted connections";
        let left = self.runs_left_alive.clone();
        registry.register("masticsill_relay_runs_left_alive", help, left);
        let help = "Prompt tokens that are prefilled again after such runs";
        let again = self.tokens_prefilled_again.clone();
        registry.register("masticsill_relay_tokens_prefilled_again", help, again);
        let help = "Streams that callers asked for, new ones and continued ones";
        let asked = self.streams_asked.clone();
        registry.register("masticsill_relay_streams_asked", help, asked);
        let help = "Streams of which a caller got an event from this relay";
        let begun = self.streams_begun.clone();
        registry.register("masticsill_relay_streams_begun", help, begun);
        let help = "Streams that callers continued with another attempt";
        let continued = self.streams_continued.clone();
        registry.register("masticsill_relay_streams_continued", help, continued);
        let help = "Continued streams that ended without an event";
        let failed = self.continuations_failed.clone();
        registry.register("masticsill_relay_continuations_failed", help, failed);
        let help = "Requests by kind and outcome";
        registry.register("masticsill_relay_requests", help, self.requests.clone());
        let help = "Streams that went on at another endpoint";
        registry.register("masticsill_relay_resumes", help, self.resumes.clone());
        let help = "Extra sends that the scarcest service's budget still allows";
        registry.register(
            "masticsill_relay_retries_left",
            help,
            self.retries_left.clone(),
        );
        let help = "Extra sends that a budget did not allow";
        registry.register(
            "masticsill_relay_retries_refused",
            help,
            self.retries_refused.clone(),
        );
    }

    /// Counts a finished request.
    pub(crate) fn note_end(&self, kind: &'static str, outcome: &'static str) {
        self.requests
            .get_or_create(&RequestLabels { kind, outcome })
            .inc();
    }

    /// Records the duration of a finished request, in milliseconds.
    pub(crate) fn note_answer_ms(&self, kind: &'static str, answer_ms: u64) {
        self.answer_ms
            .get_or_create(&KindLabel { kind })
            .observe(as_f64(answer_ms));
    }

    /// Records how long a request was queued for an endpoint, in milliseconds.
    pub(crate) fn note_wait_ms(&self, wait_ms: u64) {
        self.wait_ms.observe(as_f64(wait_ms));
    }

    /// Updates the gauges of the endpoints.
    pub(crate) fn note_endpoints(&self, table: &EndpointTable) {
        let shown = [
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Gone,
        ];
        let states: Vec<EndpointState> = table.iter().map(|it| it.announcement.state).collect();
        self.endpoints.update(&shown, &states);
        let limited = table
            .iter()
            .filter(|it| it.concurrency.is_limited())
            .count();
        self.endpoints_limited
            .set(i64::try_from(limited).unwrap_or(i64::MAX));
    }
}

/// Converts milliseconds for a histogram; durations are far below the type's precision limit.
pub(crate) fn as_f64(time_ms: u64) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let time_ms = time_ms as f64;
    time_ms
}
