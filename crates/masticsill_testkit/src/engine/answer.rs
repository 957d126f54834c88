//! The deterministic model: which token follows which.

use masticsill_types::{AdapterId, GenerationSpec, ModelId, VersionId};
use masticsill_wire::engine::{ChunkToken, CompletionBody};

/// Characters that the model splits over two tokens.
const WIDE_CHARACTERS: [char; 8] = ['ä', 'ö', 'ü', 'ß', '€', 'ก', 'ถ', '🧱'];
const SYLLABLES: [&str; 32] = [
    "ba", "be", "bo", "da", "de", "do", "fa", "fe", "ga", "go", "ha", "ka", "ke", "ko", "la", "le",
    "lo", "ma", "me", "mo", "na", "ne", "no", "pa", "ra", "re", "sa", "se", "ta", "te", "to", "wa",
];
const WORD_COUNT: u64 = 32 * 32;
/// Ids from here on are the first parts of wide characters.
const FIRST_LEAD_ID: u32 = 2_000;
/// Ids from here on are the remainders of wide characters.
const FIRST_TAIL_ID: u32 = 3_000;
/// A split position fits below this number.
const SPLITS_PER_CHARACTER: u32 = 4;
/// One token in this many begins a wide character.
const LEAD_INTERVAL: u64 = 6;
/// `[stop:N]` in a prompt makes the model end its answer after N tokens.
const STOP_MARKER: &str = "[stop:";

/// All that decides an answer. Temperature and nucleus threshold have no effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerSpec {
    /// Adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Tokens of the whole answer at most.
    pub max_tokens: u32,
    /// The model.
    pub model: ModelId,
    /// The prompt.
    pub prompt: String,
    /// Sampler seed.
    pub seed: u64,
    /// The model's version.
    pub version: VersionId,
}

impl From<&CompletionBody> for AnswerSpec {
    fn from(body: &CompletionBody) -> Self {
        Self {
            adapter: body.adapter.clone(),
            max_tokens: body.max_tokens,
            model: body.model.clone(),
            prompt: body.prompt.clone(),
            seed: body.seed,
            version: body.version.clone(),
        }
    }
}

impl From<&GenerationSpec> for AnswerSpec {
    fn from(spec: &GenerationSpec) -> Self {
        Self {
            adapter: spec.target.adapter.clone(),
            max_tokens: spec.sampling.max_tokens,
            model: spec.target.model.clone(),
            prompt: spec.prompt.clone(),
            seed: spec.sampling.seed,
            version: spec.target.version.clone(),
        }
    }
}

/// The whole uninterrupted answer that a fake engine gives.
#[must_use]
pub fn expected_answer(spec: &AnswerSpec) -> Vec<ChunkToken> {
    let mut sampler = Sampler::new(spec, &[]);
    std::iter::from_fn(|| sampler.sample()).collect()
}

/// The text of the whole uninterrupted answer.
///
/// # Panics
///
/// Never: whole answers are valid UTF-8.
#[must_use]
pub fn expected_text(spec: &AnswerSpec) -> String {
    let bytes = expected_answer(spec)
        .into_iter()
        .flat_map(|token| token.bytes)
        .collect();
    String::from_utf8(bytes).expect("whole answers are valid UTF-8")
}

/// Produces an answer token by token.
#[derive(Debug)]
pub(crate) struct Sampler {
    index: u32,
    is_stopped_by_model: bool,
    limit: u32,
    previous_id: Option<u32>,
    state: u64,
}

impl Sampler {
    /// Starts after the tokens already given.
    pub(crate) fn new(spec: &AnswerSpec, resume_token_ids: &[u32]) -> Self {
        let stop = stop_length(&spec.prompt).unwrap_or(u32::MAX);
        let mut sampler = Self {
            index: 0,
            is_stopped_by_model: stop < spec.max_tokens,
            limit: stop.min(spec.max_tokens),
            previous_id: None,
            state: target_hash(spec),
        };
        sampler.state = mix_bytes(sampler.state, spec.prompt.as_bytes());
        sampler.state = mix(sampler.state, spec.seed);
        for id in resume_token_ids {
            sampler.accept(*id);
        }
        sampler
    }

    /// Index of the next token.
    pub(crate) fn index(&self) -> u32 {
        self.index
    }

    /// The finish reason once the answer is whole.
    pub(crate) fn finish_reason(&self) -> Option<&'static str> {
        let is_finished = self.index >= self.limit;
        let reason = if self.is_stopped_by_model {
            "stop"
        } else {
            "length"
        };
        is_finished.then_some(reason)
    }

    /// The next token, or none when the answer is whole.
    pub(crate) fn sample(&mut self) -> Option<ChunkToken> {
        if self.finish_reason().is_some() {
            return None;
        }
        let id = self.choose_id();
        self.accept(id);
        let bytes = token_bytes(id);
        Some(ChunkToken { bytes, id })
    }

    fn accept(&mut self, id: u32) {
        self.state = mix(self.state, u64::from(id));
        self.previous_id = Some(id);
        self.index += 1;
    }

    fn choose_id(&self) -> u32 {
        if let Some(tail) = self.previous_id.and_then(tail_of) {
            return tail;
        }
        let choice = self.state >> 8;
        let is_last = self.index + 1 >= self.limit;
        if !is_last && self.state.is_multiple_of(LEAD_INTERVAL) {
            return lead_id(choice);
        }
        narrow(choice % WORD_COUNT)
    }
}

/// A hash of model, version and adapter.
pub(crate) fn target_hash(spec: &AnswerSpec) -> u64 {
    let adapter = spec.adapter.as_ref().map_or("", AdapterId::as_str);
    [spec.model.as_str(), spec.version.as_str(), adapter]
        .iter()
        .fold(0, |state, name| mix_bytes(state, name.as_bytes()))
}

/// Folds a number into a hash (the finaliser of `SplitMix64`).
pub(crate) fn mix(state: u64, value: u64) -> u64 {
    let mut mixed = state
        .rotate_left(5)
        .wrapping_add(value)
        .wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

/// Folds bytes and their count into a hash.
pub(crate) fn mix_bytes(state: u64, bytes: &[u8]) -> u64 {
    let folded = bytes
        .iter()
        .fold(state, |folded, byte| mix(folded, u64::from(*byte)));
    mix(folded, bytes.len() as u64)
}

fn stop_length(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(STOP_MARKER)?;
    let (digits, _) = rest.split_once(']')?;
    digits.parse().ok()
}

fn lead_id(choice: u64) -> u32 {
    let character = narrow(choice % WIDE_CHARACTERS.len() as u64);
    let width = narrow(WIDE_CHARACTERS[character as usize].len_utf8() as u64);
    let split = 1 + narrow((choice >> 8) % u64::from(width - 1));
    FIRST_LEAD_ID + character * SPLITS_PER_CHARACTER + split
}

fn tail_of(id: u32) -> Option<u32> {
    let is_lead = (FIRST_LEAD_ID..FIRST_TAIL_ID).contains(&id);
    is_lead.then(|| id - FIRST_LEAD_ID + FIRST_TAIL_ID)
}

fn token_bytes(id: u32) -> Vec<u8> {
    if id >= FIRST_TAIL_ID {
        return split_character(id - FIRST_TAIL_ID).1;
    }
    if id >= FIRST_LEAD_ID {
        return split_character(id - FIRST_LEAD_ID).0;
    }
    let (first, second) = ((id / 32) as usize, (id % 32) as usize);
    format!("{}{} ", SYLLABLES[first], SYLLABLES[second]).into_bytes()
}

fn split_character(code: u32) -> (Vec<u8>, Vec<u8>) {
    let character = WIDE_CHARACTERS[(code / SPLITS_PER_CHARACTER) as usize];
    let bytes = character.to_string().into_bytes();
    let (lead, tail) = bytes.split_at((code % SPLITS_PER_CHARACTER) as usize);
    (lead.to_vec(), tail.to_vec())
}

fn narrow(value: u64) -> u32 {
    u32::try_from(value).expect("values are reduced below 2^32 first")
}
