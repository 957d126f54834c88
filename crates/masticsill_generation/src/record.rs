//! The record of one generation.

use std::fmt;

use masticsill_types::{
    AttemptState, GenerationId, GenerationSpec, Lineage, NodeId, Segment, Token, TokenIndex,
};
use masticsill_wire::agent::{RecordSnapshot, StartRequest};

/// What became of tokens that were offered to a record.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AppendOutcome {
    /// Tokens appended.
    pub accepted: usize,
    /// Tokens refused: already had, beyond a gap, or of another lineage.
    pub dropped: usize,
}

/// Why a record can't be built from a peer's message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// The history is empty or does not begin at index zero.
    HistoryStart,
    /// The history's lineages or indices do not ascend.
    HistoryOrder,
    /// The history names an index beyond the tokens given.
    MissingTokens,
    /// The attempt to start has tokens already: another run of it would be another branch.
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

/// One generation: what is generated, the history of lineages and every token from index zero.
///
/// A lineage names one branch of the answer: the tokens of its own stretch and everything before
/// it. Records of two branches are never joined.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    history: Vec<Segment>,
    spec: GenerationSpec,
    state: AttemptState,
    tokens: Vec<Token>,
}

impl Record {
    /// A record of the first owner's first attempt, without tokens; `nonce` is random.
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

    /// The record that a peer handed over.
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

    /// The record of an attempt that an owner starts.
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

    /// What is generated.
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

    /// Tokens of the whole answer at most.
    #[must_use]
    pub fn max_tokens(&self) -> u32 {
        self.spec.sampling.max_tokens
    }

    /// Whether the answer has as many tokens as it may have.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.next_index().0 >= self.max_tokens()
    }

    /// Where the current attempt stands.
    #[must_use]
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// Whether the current attempt runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.state == AttemptState::Running
    }

    /// The lineage under which the token before `index` was taken; the first one for index zero.
    #[must_use]
    pub fn lineage_before(&self, index: TokenIndex) -> Lineage {
        let is_before = |segment: &&Segment| segment.first_index < index;
        let segment = self.history.iter().rev().find(is_before);
        segment.unwrap_or(self.first_segment()).lineage
    }

    /// Appends the tokens that follow the record's own.
    ///
    /// Tokens of another lineage, tokens beyond a gap and tokens after the attempt's end are
    /// refused; tokens that the record has already are dropped.
    pub fn append_tokens(
        &mut self,
        lineage: Lineage,
        first_index: TokenIndex,
        tokens: Vec<Token>,
    ) -> AppendOutcome {
        let offered = tokens.len();
        let is_gap = first_index > self.next_index();
        if lineage != self.lineage() || is_gap || !self.is_running() {
            return AppendOutcome {
                accepted: 0,
                dropped: offered,
            };
        }
        let known = position(self.next_index()) - position(first_index);
        let dropped = known.min(offered);
        self.tokens.extend(tokens.into_iter().skip(dropped));
        AppendOutcome {
            accepted: offered - dropped,
            dropped,
        }
    }

    /// Ends the current attempt and returns whether it did.
    ///
    /// The end is taken only for the current lineage, only once, and only when `end_index` is the
    /// next index: an end that overtook its tokens is not the answer's end.
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

    /// Begins the same owner's next attempt after the tokens so far.
    pub fn begin_attempt(&mut self) -> Lineage {
        self.state = AttemptState::Running;
        self.append(self.lineage().next_attempt())
    }

    /// Hands the attempt to a new owner from here on; `nonce` is random and never used twice.
    pub fn change_owner(&mut self, nonce: u32) -> Lineage {
        self.append(self.lineage().next_owner(nonce))
    }

    /// Whether a caller that saw `seen` and wants `next_index` can be continued from this record.
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
