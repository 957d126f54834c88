//! What is played.

use super::engine::EngineModel;

/// Who decides where requests go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The product's dispatcher.
    Dispatcher,
    /// The naive one for comparison: each request goes at once to the least loaded engine.
    LeastLoaded,
}

/// An overload.
#[derive(Clone, Copy, Debug)]
pub struct OverloadPlan {
    /// Time to the first event that callers aim at.
    pub aim_ms: u64,
    /// When the overload comes.
    pub begins_ms: u64,
    /// Time that callers give.
    pub deadline_ms: u64,
    /// When the overload goes.
    pub ends_ms: u64,
    /// Engines.
    pub engines: usize,
    /// The engines' times.
    pub engine: EngineModel,
    /// Entries.
    pub entries: usize,
    /// Part of the requests that one workspace sends, from zero to one.
    pub hot_share: f64,
    /// How long new requests come.
    pub length_ms: u64,
    /// The overload's requests, in times of the usual ones.
    pub load: f64,
    /// Pause between two words of the others' requests that an entry hears; zero if it hears each as it
    /// comes.
    pub pause_ms: u64,
    /// Who decides.
    pub policy: Policy,
    /// Seed of all that is random.
    pub seed: u64,
    /// Usual requests in a second.
    pub usual_per_s: f64,
    /// How long the word of a stream takes to the other entries.
    pub word_ms: u64,
}

impl Default for OverloadPlan {
    /// Today's small deployment: an overload of 20 s on a day of 34 s.
    fn default() -> Self {
        Self {
            aim_ms: 4_500,
            begins_ms: 4_000,
            deadline_ms: 25_000,
            ends_ms: 24_000,
            engines: 24,
            engine: EngineModel::default(),
            entries: 9,
            hot_share: 0.1,
            length_ms: 34_000,
            load: 1.0,
            pause_ms: 0,
            policy: Policy::Dispatcher,
            seed: 1,
            usual_per_s: 6.24,
            word_ms: 40,
        }
    }
}
