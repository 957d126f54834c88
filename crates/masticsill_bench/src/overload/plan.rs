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

/// Requests of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindPlan {
    /// Time to the first event that callers aim at.
    pub aim_ms: u64,
    /// The overload's requests of this kind, in times of those of the plan's load.
    pub load: f64,
    /// Priority of the route; zero is the most urgent.
    pub priority: u32,
    /// Share of the usual requests.
    pub share: f64,
}

/// Maximum number of kinds of requests in a plan.
pub const KINDS: usize = 3;

/// An overload.
#[derive(Clone, Copy, Debug)]
pub struct OverloadPlan {
    /// Whether control replicas grant engines to queued requests.
    pub are_engines_granted: bool,
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
    /// The kinds of requests; their shares add up to one.
    pub kinds: [KindPlan; KINDS],
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
    /// Priority of every workspace, if workspaces have one.
    pub workspace_priority: Option<u32>,
    /// Usual requests in a second.
    pub usual_per_s: f64,
    /// Delay until the other entries know of a stream, in milliseconds.
    pub word_ms: u64,
}

impl Default for OverloadPlan {
    /// Today's small deployment: an overload of 20 s on a day of 34 s.
    fn default() -> Self {
        let only = KindPlan {
            aim_ms: 4_500,
            load: 1.0,
            priority: 0,
            share: 1.0,
        };
        let none = KindPlan { share: 0.0, ..only };
        Self {
            are_engines_granted: true,
            begins_ms: 4_000,
            deadline_ms: 25_000,
            ends_ms: 24_000,
            engines: 24,
            engine: EngineModel::default(),
            entries: 9,
            hot_share: 0.1,
            kinds: [only, none, none],
            length_ms: 34_000,
            load: 1.0,
            pause_ms: 0,
            policy: Policy::Dispatcher,
            seed: 1,
            workspace_priority: None,
            usual_per_s: 6.24,
            word_ms: 40,
        }
    }
}

impl OverloadPlan {
    /// Twice the usual load, of three kinds that differ in priority and target latency, the most
    /// urgent first. During the overload one of them comes `times` as often as that.
    #[must_use]
    pub fn burst_of(kind: usize, times: f64) -> Self {
        let calm = |aim_ms, share, priority| KindPlan {
            aim_ms,
            load: 1.0,
            priority,
            share,
        };
        let mut kinds = [
            calm(4_000, 0.27, 0),
            calm(5_000, 0.53, 1),
            calm(10_000, 0.2, 2),
        ];
        kinds[kind].load = times;
        Self {
            kinds,
            load: 2.0,
            ..Self::default()
        }
    }

    /// The same plan, with all kinds equally urgent.
    #[must_use]
    pub fn without_priorities(mut self) -> Self {
        for kind in &mut self.kinds {
            kind.priority = 0;
        }
        self
    }
}
