//! What endpoints say and nobody can read: counted, and logged within a bound.
//!
//! Other writers than the endpoints of today may call, with fields that are missing or of another
//! type. What they say names no endpoint to use, and must not hide that they say it.

use std::sync::{Arc, Mutex, PoisonError};

use masticsill_registry::EndpointId;
use masticsill_runtime::LogRateLimiter;
use masticsill_types::{MonotonicClock, log_event};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::events;

/// Characters of a foreign text that go into a log line.
const MAX_LOGGED_CHARS: usize = 160;

/// What could not be read.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum UnreadableWord {
    /// A heartbeat or a deregistration; it is refused.
    Heartbeat,
    /// Entries of an engine's news of prompts; they are passed over.
    PromptNews,
}

impl UnreadableWord {
    fn name(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::PromptNews => "prompt_news",
        }
    }
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct WordLabel {
    word: &'static str,
}

#[derive(Debug)]
struct Shared {
    clock: MonotonicClock,
    counts: Family<WordLabel, Counter>,
    pacer: Mutex<LogRateLimiter>,
}

/// The unreadable words of one process. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct UnreadableWords {
    shared: Arc<Shared>,
}

impl UnreadableWords {
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

    /// Notes words of an endpoint that could not be read.
    pub(crate) fn note(
        &self,
        word: UnreadableWord,
        endpoint: &EndpointId,
        count: u64,
        cause: &str,
    ) {
        let name = word.name();
        let label = WordLabel { word: name };
        self.shared.counts.get_or_create(&label).inc_by(count);
        let pacer = self.shared.pacer.lock();
        let mut pacer = pacer.unwrap_or_else(PoisonError::into_inner);
        let passed = pacer.pass(self.shared.clock.now());
        drop(pacer);
        if let Some(held_back) = passed {
            let (endpoint, cause) = (logged(&endpoint.name), logged(cause));
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

/// A foreign text as it may stand in a log line: short, and without line breaks.
fn logged(text: &str) -> String {
    let shown = text.chars().take(MAX_LOGGED_CHARS);
    shown.flat_map(char::escape_debug).collect()
}
