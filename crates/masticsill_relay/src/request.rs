//! A caller's complete request, and the head with which it is forwarded.

use std::sync::Arc;

use bytes::Bytes;
use masticsill_catalogue::{Route, RouteKind};
use masticsill_http1::{HeadWriter, Header, HeaderList, RequestHead};
use masticsill_quarantine::Fingerprint;
use masticsill_registry::{Announcement, AttemptKey};
use masticsill_types::{ClockMs, Priority};

use crate::config::HeaderNames;
use crate::request_stage::RequestStage;

/// The lowest priority that engines distinguish.
const LOWEST_PRIORITY: u32 = 9;

/// A request that may be sent to endpoints.
#[derive(Clone, Debug)]
pub(crate) struct RelayRequest {
    pub(crate) body: Bytes,
    /// When the caller gives up, whatever the route allows.
    pub(crate) caller_leaves_at: ClockMs,
    pub(crate) deadline_at: ClockMs,
    /// Identifies the content of the request, whatever the attempt.
    pub(crate) fingerprint: Fingerprint,
    /// Estimate of how long the caller has waited in attempts before this one, in milliseconds.
    pub(crate) had_waited_ms: u64,
    pub(crate) head: RequestHead,
    /// The id of this attempt of the caller; empty if it gave none.
    pub(crate) id: String,
    pub(crate) priority: Priority,
    pub(crate) received_at: ClockMs,
    pub(crate) route: Arc<Route>,
    /// The service chosen among those of the route.
    pub(crate) service: String,
    pub(crate) stage: RequestStage,
    /// The workspace that owns the caller's API key.
    pub(crate) workspace: Option<String>,
}

/// Header fields that one attempt adds to the caller's request.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendOptions {
    /// Where the engine is to keep a copy of the run's KV cache.
    pub(crate) backup_at: Option<String>,
    /// The last event that the caller has, if that differs from what the caller said.
    pub(crate) last_event: Option<u64>,
    /// The KV cache copy from which the engine is to resume the run.
    pub(crate) resume_from: Option<String>,
}

impl RelayRequest {
    /// Time left until the deadline, in milliseconds.
    pub(crate) fn left_ms(&self, now: ClockMs) -> u64 {
        self.deadline_at.since(now)
    }

    /// The last event that the caller says it has.
    pub(crate) fn last_event(&self, names: &HeaderNames) -> Option<u64> {
        self.head.headers.number(&names.last_event)
    }

    /// The attempt that brought the first event of the stream, if the caller continues one and names
    /// the attempt.
    pub(crate) fn continued_attempt(&self, names: &HeaderNames) -> Option<&str> {
        self.head.headers.text(&names.resumes)
    }

    /// Whether the caller already has a part of the stream, from an earlier attempt.
    pub(crate) fn is_continuation(&self, names: &HeaderNames) -> bool {
        let has_events = self.last_event(names).is_some_and(|last| last > 0);
        has_events || self.continued_attempt(names).is_some()
    }

    /// Identifies the attempt that brought the first event of the stream: an earlier one, if the
    /// caller names it, or else this one. None if that attempt has no id.
    pub(crate) fn first_attempt(&self, names: &HeaderNames) -> Option<AttemptKey> {
        let id = match self.continued_attempt(names) {
            Some(id) => id,
            None if self.is_continuation(names) => "",
            None => &self.id,
        };
        let workspace = self.workspace.as_deref();
        (!id.is_empty()).then(|| AttemptKey::new(workspace, id))
    }

    /// Number of prompt tokens, if the caller states it.
    pub(crate) fn prompt_tokens(&self, names: &HeaderNames) -> Option<u64> {
        let counts = self.head.headers.text(&names.token_count)?;
        counts.split(',').next()?.trim().parse().ok()
    }

    /// Number of tokens that a run of the request occupies in an engine's KV cache at its end; 0 if
    /// the caller does not state it.
    pub(crate) fn held_tokens(&self, names: &HeaderNames) -> u64 {
        let counts = self.head.headers.text(&names.token_count);
        let counts = counts.unwrap_or_default().split(',');
        let counts = counts.filter_map(|count| count.trim().parse::<u64>().ok());
        counts.fold(0, u64::saturating_add)
    }

    /// The two parts to send to an endpoint in turn.
    pub(crate) fn bytes_for(
        &self,
        names: &HeaderNames,
        endpoint: &Announcement,
        now: ClockMs,
        options: &SendOptions,
    ) -> [Bytes; 2] {
        let mut writer = HeadWriter::request(&self.head.method, &self.head.target);
        let is_forwarded = |field: &&Header| !is_managed_field(names, options, &field.name);
        for field in self.head.headers.end_to_end().filter(is_forwarded) {
            writer.copy(field);
        }
        writer.field(&names.deadline_ms, self.left_ms(now));
        writer.field(&names.expected_endpoint, &endpoint.id);
        if let Some(workspace) = &self.workspace {
            writer.field(&names.workspace, workspace);
        }
        if self.route.kind == RouteKind::Stream {
            writer.field(
                &names.priority,
                self.priority.workspace.min(LOWEST_PRIORITY),
            );
        }
        if let Some(last_event) = options.last_event {
            writer.field(&names.last_event, last_event);
        }
        if let Some(backup_at) = &options.backup_at {
            writer.field(&names.backup_at, backup_at);
        }
        if let Some(resume_from) = &options.resume_from {
            writer.field(&names.resume_from, resume_from);
        }
        if !self.body.is_empty() || has_length(&self.head.headers) {
            writer.field("Content-Length", self.body.len());
        }
        writer.finish_with(&self.body)
    }
}

/// Whether the caller sent a body. An empty body is still a body, and some servers require its
/// length.
fn has_length(headers: &HeaderList) -> bool {
    let mut fields = headers.iter();
    fields.any(|field| field.is("content-length") || field.is("transfer-encoding"))
}

/// Whether a field is written by the relay itself, or is one that no caller may set.
fn is_managed_field(names: &HeaderNames, options: &SendOptions, field: &str) -> bool {
    let own = [
        "content-length",
        "expect",
        &names.api_key,
        &names.backup_at,
        &names.deadline_ms,
        &names.expected_endpoint,
        &names.priority,
        &names.resume_from,
        &names.workspace,
    ];
    let is_replaced = options.last_event.is_some() && field.eq_ignore_ascii_case(&names.last_event);
    let is_reserved = || {
        names
            .reserved
            .iter()
            .any(|name| field.eq_ignore_ascii_case(name))
    };
    is_replaced || own.iter().any(|name| field.eq_ignore_ascii_case(name)) || is_reserved()
}
