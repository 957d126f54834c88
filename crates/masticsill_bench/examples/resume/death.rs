//! The kinds of death, and the ways to ask.

use std::fmt;

/// What is done to the instance with the most streams.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Death {
    AgentKilled,
    EngineFrozen,
    EngineKilled,
    InstanceLost,
    InstanceSilent,
    PathCut,
    PathSilent,
}

impl Death {
    pub(crate) const ALL: [Self; 7] = [
        Self::EngineKilled,
        Self::EngineFrozen,
        Self::InstanceLost,
        Self::InstanceSilent,
        Self::AgentKilled,
        Self::PathCut,
        Self::PathSilent,
    ];

    /// Whether a caller that asks the engine itself notices it.
    pub(crate) fn hits_engine(self) -> bool {
        match self {
            Self::EngineFrozen | Self::EngineKilled | Self::InstanceLost | Self::InstanceSilent => {
                true
            }
            Self::AgentKilled | Self::PathCut | Self::PathSilent => false,
        }
    }
}

impl fmt::Display for Death {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::AgentKilled => "agent killed",
            Self::EngineFrozen => "engine frozen",
            Self::EngineKilled => "engine killed",
            Self::InstanceLost => "agent and engine killed (resets seen)",
            Self::InstanceSilent => "agent and engine stopped (silence)",
            Self::PathCut => "path cut (resets)",
            Self::PathSilent => "path silent (black hole)",
        })
    }
}

/// How a round's callers ask.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Way {
    /// Through the system, without a death.
    FailureFree,
    /// At the engines, from the start again after a cut.
    Naive,
    /// Through the system.
    Through,
}
