//! The position in an answer that a caller sends when it reconnects.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::str::FromStr;

use masticsill_types::{Attempt, GenerationId, Lineage, NodeId, OwnerEpoch, TokenIndex};

/// Which agent ran a generation, as a hash of the agent's node id.
///
/// The hint only decides which agent is asked first: a wrong or outdated hint costs time, not
/// correctness.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HolderHint(pub u32);

impl From<&NodeId> for HolderHint {
    fn from(agent: &NodeId) -> Self {
        let mut hasher = DefaultHasher::new();
        agent.hash(&mut hasher);
        let upper_half = hasher.finish() >> u32::BITS;
        Self(u32::try_from(upper_half).expect("half of 64 bits fits 32 bits"))
    }
}

/// A position in an answer: all tokens before `next_index` were received, the last one under
/// `lineage`.
///
/// Its text form is the `id` of a server-sent event: `GENERATION-EPOCH.ATTEMPT.NEXT_INDEX.HOLDER`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Which agent ran the generation when the last token was delivered.
    pub holder: HolderHint,
    /// The generation.
    pub id: GenerationId,
    /// The owner epoch and attempt that produced the last token received.
    pub lineage: Lineage,
    /// Index of the next token to deliver.
    pub next_index: TokenIndex,
}

/// An event id that can't be parsed, and so was not issued by this system.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PositionError;

impl fmt::Display for PositionError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(
            "Last-Event-ID is not an id of this service; send the last `id:` received, unchanged",
        )
    }
}

impl std::error::Error for PositionError {}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}-{}.{}.{:x}",
            self.id, self.lineage, self.next_index, self.holder.0
        )
    }
}

impl FromStr for Position {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (id, rest) = text.split_once('-').ok_or(PositionError)?;
        let mut numbers = rest.splitn(4, '.');
        let epoch = parse_next::<u64>(&mut numbers)?;
        let attempt = parse_next::<u32>(&mut numbers)?;
        let next_index = parse_next::<u32>(&mut numbers)?;
        let holder = numbers.next().ok_or(PositionError)?;
        let holder = u32::from_str_radix(holder, 16).map_err(|_| PositionError)?;
        let id = u128::from_str_radix(id, 16).map_err(|_| PositionError)?;
        Ok(Self {
            holder: HolderHint(holder),
            id: GenerationId(id),
            lineage: Lineage {
                epoch: OwnerEpoch(epoch),
                attempt: Attempt(attempt),
            },
            next_index: TokenIndex(next_index),
        })
    }
}

fn parse_next<'a, T: FromStr>(
    numbers: &mut impl Iterator<Item = &'a str>,
) -> Result<T, PositionError> {
    let text = numbers.next().ok_or(PositionError)?;
    text.parse().map_err(|_| PositionError)
}
