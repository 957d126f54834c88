//! Counts the messages of endpoints that can't be parsed, and logs them at a bounded rate.
//!
//! Clients other than the present endpoints may call, with fields that are missing or of another
//! type. Such messages name no usable endpoint, but the operator must see that they arrive.

use std::sync::{Arc, Mutex, PoisonError};

use masticsill_registry::EndpointId;
use masticsill_runtime::LogRateLimiter;
use masticsill_types::{MonotonicClock, log_event};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::events;

/// Longest untrusted text in a log line.
const MAX_LOGGED_CHARS: usize = 160;

/// Kind of the message that could not be parsed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum UnreadableMessage {
    /// A heartbeat or a deregistration; the request is refused.
    Heartbeat,
    /// Entries of an engine's prompt cache update; these entries are skipped.
    PromptCacheUpdate,
}

impl UnreadableMessage {
    fn name(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::PromptCacheUpdate => "prompt_news",
        }
    }
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct MessageLabel {
    word: &'static str,
}

#[derive(Debug)]
struct Shared {
    clock: MonotonicClock,
    counts: Family<MessageLabel, Counter>,
    pacer: Mutex<LogRateLimiter>,
}

/// Counters of the unreadable messages of one process. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct UnreadableMessages {
    shared: Arc<Shared>,
}

impl UnreadableMessages {
    pub(crate) fn new(clock: MonotonicClock) -> Self {
        let shared = Shared {
            clock,
            counts: Family::default(),
            pacer: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Words of endpoints that could not be read";
        let counts = self.shared.counts.clone();
        registry.register("masticsill_control_unreadable_words", help, counts);
    }

    /// Counts messages of an endpoint that could not be parsed, and logs them if the rate allows.
    pub(crate) fn record(
        &self,
        message: UnreadableMessage,
        endpoint: &EndpointId,
        count: u64,
        cause: &str,
    ) {
        let name = message.name();
        let label = MessageLabel { word: name };
        self.shared.counts.get_or_create(&label).inc_by(count);
        let pacer = self.shared.pacer.lock();
        let mut pacer = pacer.unwrap_or_else(PoisonError::into_inner);
        let passed = pacer.pass(self.shared.clock.now());
        drop(pacer);
        if let Some(held_back) = passed {
            let (endpoint, cause) = (loggable(&endpoint.name), loggable(cause));
            log_event!(
                warn,
                events::WORD_UNREADABLE,
                word = name,
                endpoint = endpoint,
                count = count,
                cause = cause,
                held_back = held_back
            );
        }
    }
}

/// An untrusted text made safe for a log line: shortened, and with line breaks escaped.
fn loggable(text: &str) -> String {
    let shown = text.chars().take(MAX_LOGGED_CHARS);
    shown.flat_map(char::escape_debug).collect()
}
