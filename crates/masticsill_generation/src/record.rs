//! The record of one generation.

use std::fmt;

use masticsill_types::{
    AttemptState, GenerationId, GenerationSpec, Lineage, NodeId, Segment, Token, TokenIndex,
};
use masticsill_wire::agent::{RecordSnapshot, StartRequest};

/// How many of the tokens offered to a record were accepted and dropped.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AppendOutcome {
    /// Number of tokens appended.
    pub accepted: usize,
    /// Number of tokens dropped: already in the record, beyond a gap, of another lineage, or after
    /// the end of the attempt.
    pub dropped: usize,
}

/// Why a record can't be built from a peer's message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// The history is empty or does not begin at index zero.
    HistoryStart,
    /// The history's lineages or indices do not ascend.
    HistoryOrder,
    /// The last lineage starts at an index beyond the given tokens.
    MissingTokens,
    /// The attempt to start already has tokens; a second run would produce another branch.
    StartedBefore,
}

impl fmt::Display for RecordError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::HistoryStart => "the history does not begin at token zero; send it whole",
            Self::HistoryOrder => "the history does not ascend; send it in order",
            Self::MissingTokens => "tokens named by the history are missing; send them from zero",
            Self::StartedBefore => "the attempt ran before; begin the next attempt",
        })
    }
}

impl std::error::Error for RecordError {}

/// One generation: its specification, the history of its lineages and every token from index zero.
///
/// A lineage identifies one branch of the answer: the tokens of its own segment and all tokens
/// before them. Records of two branches are never merged.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    history: Vec<Segment>,
    spec: GenerationSpec,
    state: AttemptState,
    tokens: Vec<Token>,
}

impl Record {
    /// Creates the record of the first owner's first attempt, without tokens; `nonce` is random.
    #[must_use]
    pub fn new(spec: GenerationSpec, nonce: u32) -> Self {
        let first = Segment {
            first_index: TokenIndex(0),
            lineage: Lineage::first(nonce),
        };
        Self {
            history: vec![first],
            spec,
            state: AttemptState::Running,
            tokens: Vec::new(),
        }
    }

    /// Creates a record from the snapshot that a peer sent.
    ///
    /// # Errors
    ///
    /// [`RecordError`] when the history does not fit the tokens.
    pub fn from_snapshot(snapshot: RecordSnapshot) -> Result<Self, RecordError> {
        check_history(&snapshot.history, snapshot.tokens.len())?;
        Ok(Self {
            history: snapshot.history,
            spec: snapshot.spec,
            state: snapshot.state,
            tokens: snapshot.tokens,
        })
    }

    /// Creates the record of an attempt from its owner's start request.
    ///
    /// # Errors
    ///
    /// [`RecordError`] when the history does not fit the accepted tokens, or when tokens were
    /// accepted under the attempt's own lineage.
    pub fn from_start(request: StartRequest) -> Result<Self, RecordError> {
        let record = Self::from_snapshot(RecordSnapshot {
            history: request.history,
            spec: request.spec,
            state: AttemptState::Running,
            tokens: request.accepted,
        })?;
        if record.lineage_start() != record.next_index() {
            return Err(RecordError::StartedBefore);
        }
        Ok(record)
    }

    /// A copy of the record for a peer.
    #[must_use]
    pub fn snapshot(&self) -> RecordSnapshot {
        RecordSnapshot {
            history: self.history.clone(),
            spec: self.spec.clone(),
            state: self.state,
            tokens: self.tokens.clone(),
        }
    }

    /// The request that starts the current attempt at an agent.
    #[must_use]
    pub fn start_request(&self, entry: NodeId) -> StartRequest {
        StartRequest {
            accepted: self.tokens.clone(),
            entry,
            history: self.history.clone(),
            spec: self.spec.clone(),
        }
    }

    /// The generation's identity.
    #[must_use]
    pub fn id(&self) -> GenerationId {
        self.spec.id
    }

    /// The specification of what is generated.
    #[must_use]
    pub fn spec(&self) -> &GenerationSpec {
        &self.spec
    }

    /// The lineages, oldest first.
    #[must_use]
    pub fn history(&self) -> &[Segment] {
        &self.history
    }

    /// The current lineage.
    #[must_use]
    pub fn lineage(&self) -> Lineage {
        self.last_segment().lineage
    }

    /// Index of the current lineage's first token.
    #[must_use]
    pub fn lineage_start(&self) -> TokenIndex {
        self.last_segment().first_index
    }

    /// Every token, from index zero.
    #[must_use]
    pub fn tokens(&self) -> &[Token] {
        &self.tokens
    }

    /// The tokens from `index` on; empty when the record ends before it.
    #[must_use]
    pub fn tokens_from(&self, index: TokenIndex) -> &[Token] {
        self.tokens.get(position(index)..).unwrap_or_default()
    }

    /// Index of the next token.
    #[must_use]
    pub fn next_index(&self) -> TokenIndex {
        index_at(self.tokens.len())
    }

    /// Maximum number of tokens of the whole answer.
    #[must_use]
    pub fn max_tokens(&self) -> u32 {
        self.spec.sampling.max_tokens
    }

    /// Whether the answer has reached its maximum number of tokens.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.next_index().0 >= self.max_tokens()
    }

    /// State of the current attempt.
    #[must_use]
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// Whether the current attempt is running.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.state == AttemptState::Running
    }

    /// The lineage under which the token before `index` was accepted; the first lineage for index
    /// zero.
    #[must_use]
    pub fn lineage_before(&self, index: TokenIndex) -> Lineage {
        let is_before = |segment: &&Segment| segment.first_index < index;
        let segment = self.history.iter().rev().find(is_before);
        segment.unwrap_or(self.first_segment()).lineage
    }

    /// Appends the offered tokens that directly follow those in the record.
    ///
    /// Tokens of another lineage, tokens beyond a gap, tokens after the attempt's end and tokens
    /// already in the record are dropped.
    pub fn append_tokens(
        &mut self,
        lineage: Lineage,
        first_index: TokenIndex,
        tokens: Vec<Token>,
    ) -> AppendOutcome {
        let offered_count = tokens.len();
        let is_gap = first_index > self.next_index();
        if lineage != self.lineage() || is_gap || !self.is_running() {
            return AppendOutcome {
                accepted: 0,
                dropped: offered_count,
            };
        }
        let known = position(self.next_index()) - position(first_index);
        let dropped = known.min(offered_count);
        self.tokens.extend(tokens.into_iter().skip(dropped));
        AppendOutcome {
            accepted: offered_count - dropped,
            dropped,
        }
    }

    /// Ends the current attempt and returns whether the end was accepted.
    ///
    /// The end is accepted only once, only for the current lineage, and only when `end_index` is
    /// the next index: an end that arrives before its last tokens would truncate the answer.
    pub fn end_attempt(
        &mut self,
        lineage: Lineage,
        end_index: TokenIndex,
        end: AttemptState,
    ) -> bool {
        let is_current = lineage == self.lineage() && end_index == self.next_index();
        if !is_current || !self.is_running() {
            return false;
        }
        self.state = end;
        true
    }

    /// Begins the same owner's next attempt, which continues after the tokens so far, and returns
    /// its lineage.
    pub fn begin_attempt(&mut self) -> Lineage {
        self.state = AttemptState::Running;
        self.append(self.lineage().next_attempt())
    }

    /// Transfers the attempt to a new owner and returns the new lineage; `nonce` is random and
    /// never used twice.
    pub fn change_owner(&mut self, nonce: u32) -> Lineage {
        self.append(self.lineage().next_owner(nonce))
    }

    /// Whether a caller whose last lineage is `seen` and whose next token is `next_index` can be
    /// resumed from this record.
    #[must_use]
    pub fn can_resume(&self, seen: Lineage, next_index: TokenIndex) -> bool {
        let is_seen = |segment: &Segment| segment.lineage == seen;
        let Some(found) = self.history.iter().position(is_seen) else {
            return false;
        };
        let first = self.history[found].first_index;
        let following = self.history.get(found + 1);
        let end = following.map_or(self.next_index(), |segment| segment.first_index);
        (first..=end).contains(&next_index)
    }

    fn append(&mut self, lineage: Lineage) -> Lineage {
        self.history.push(Segment {
            first_index: self.next_index(),
            lineage,
        });
        lineage
    }

    fn first_segment(&self) -> &Segment {
        self.history.first().expect("a history is never empty")
    }

    fn last_segment(&self) -> &Segment {
        self.history.last().expect("a history is never empty")
    }
}

fn check_history(history: &[Segment], token_count: usize) -> Result<(), RecordError> {
    let (Some(first), Some(last)) = (history.first(), history.last()) else {
        return Err(RecordError::HistoryStart);
    };
    if first.first_index != TokenIndex(0) {
        return Err(RecordError::HistoryStart);
    }
    let ascends = |pair: &[Segment]| {
        pair[0].lineage < pair[1].lineage && pair[0].first_index <= pair[1].first_index
    };
    if !history.windows(2).all(ascends) {
        return Err(RecordError::HistoryOrder);
    }
    if position(last.first_index) > token_count {
        return Err(RecordError::MissingTokens);
    }
    Ok(())
}

fn position(index: TokenIndex) -> usize {
    usize::try_from(index.0).expect("a token index fits in memory")
}

fn index_at(position: usize) -> TokenIndex {
    TokenIndex(u32::try_from(position).expect("an answer has fewer than 2^32 tokens"))
}
