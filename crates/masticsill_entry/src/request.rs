//! Validation of generation requests and request keys. A validated request is not admitted yet.

use masticsill_types::{EntryId, GenerationId, Sampling, WorkspaceId};
use rand::Rng;

use crate::openai::CompletionRequest;

const DEFAULT_MAX_TOKENS: u32 = 256;
const MAX_TOKENS_LIMIT: u32 = 32_768;
const MAX_TEMPERATURE: f64 = 2.0;
const MAX_KEY_BYTES: usize = 255;

/// A validated request for a generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct GenerationRequest {
    /// The catalogue entry that the caller named as its model.
    pub(crate) catalogue_entry: EntryId,
    /// The prompt.
    pub(crate) prompt: String,
    /// Sampling settings, with a random seed if the caller gave none.
    pub(crate) sampling: Sampling,
}

/// The request key of a caller, from the `Idempotency-Key` header or random.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RequestKey(String);

impl RequestKey {
    /// Parses the value of an `Idempotency-Key` header.
    ///
    /// # Errors
    ///
    /// Returns a message if the value is empty or longer than [`MAX_KEY_BYTES`].
    pub(crate) fn parse(text: &str) -> Result<Self, String> {
        let is_valid = !text.is_empty() && text.len() <= MAX_KEY_BYTES;
        if !is_valid {
            return Err(format!(
                "Idempotency-Key must have 1 to {MAX_KEY_BYTES} bytes"
            ));
        }
        Ok(Self(text.to_owned()))
    }

    /// Creates a random key for a request without one.
    pub(crate) fn random() -> Self {
        Self(uuid::Uuid::new_v4().to_string())
    }

    /// Returns the upper half of all generation ids with this key.
    pub(crate) fn generation_prefix(&self, workspace: &WorkspaceId) -> u64 {
        let half = self.hash(workspace) >> u64::BITS;
        u64::try_from(half).expect("half of 128 bits fits 64 bits")
    }

    /// Creates a new generation id with this key.
    pub(crate) fn new_generation(&self, workspace: &WorkspaceId) -> GenerationId {
        let upper = u128::from(self.generation_prefix(workspace)) << u64::BITS;
        GenerationId(upper | u128::from(rand::rng().random::<u64>()))
    }

    /// Returns the id of the plain call with this key. There is only one.
    pub(crate) fn call_id(&self, workspace: &WorkspaceId) -> GenerationId {
        GenerationId(self.hash(workspace))
    }

    fn hash(&self, workspace: &WorkspaceId) -> u128 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(workspace.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(self.0.as_bytes());
        let mut half = [0; 16];
        hasher.finalize_xof().fill(&mut half);
        u128::from_be_bytes(half)
    }
}

impl TryFrom<CompletionRequest> for GenerationRequest {
    type Error = String;

    fn try_from(body: CompletionRequest) -> Result<Self, Self::Error> {
        let options = body.options;
        let catalogue_entry = EntryId::new(options.model).map_err(|error| error.to_string())?;
        if body.prompt.is_empty() {
            return Err("`prompt` is empty; send at least one character".to_owned());
        }
        let max_tokens = options.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if !(1..=MAX_TOKENS_LIMIT).contains(&max_tokens) {
            return Err(format!(
                "`max_tokens` is {max_tokens}; use 1 to {MAX_TOKENS_LIMIT}"
            ));
        }
        let sampling = Sampling {
            max_tokens,
            seed: options.seed.unwrap_or_else(|| rand::rng().random()),
            temperature_milli: to_thousandths("temperature", options.temperature, MAX_TEMPERATURE)?,
            top_p_milli: to_thousandths("top_p", options.top_p, 1.0)?,
        };
        Ok(Self {
            catalogue_entry,
            prompt: body.prompt,
            sampling,
        })
    }
}

fn to_thousandths(field: &str, value: Option<f64>, max: f64) -> Result<u32, String> {
    let value = value.unwrap_or(1.0);
    if !(0.0..=max).contains(&value) {
        return Err(format!("`{field}` is {value}; use 0 to {max}"));
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let thousandths = (value * 1_000.0).round() as u32;
    Ok(thousandths)
}
