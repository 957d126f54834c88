//! Builds the router's description of a session's next attempt.

use masticsill_routing::{BackEndTarget, PrefixBlock, WorkRequest};
use masticsill_types::GenerationSpec;

use crate::session::Session;

/// Prompt bytes assumed per token, for estimates.
const BYTES_PER_TOKEN: usize = 4;
/// Prompt bytes per block. A prompt shorter than one block has no blocks, because routing it to a
/// cached prefix would save too little.
const PREFIX_BLOCK_BYTES: usize = 256;
/// Maximum number of blocks passed to the router; blocks beyond it hardly change the choice.
const MAX_PREFIX_BLOCKS: usize = 32;
/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The request for a session's next attempt, which continues after the tokens accepted so far.
pub(crate) fn build_work_request(session: &Session) -> WorkRequest {
    let spec = session.record.spec();
    let accepted = session.record.next_index().0;
    let prompt_tokens = to_u32(spec.prompt.len() / BYTES_PER_TOKEN);
    WorkRequest {
        catalogue_entry: spec.catalogue_entry.clone(),
        class: spec.class,
        deadline: None,
        id: spec.id,
        kind: session.work_kind(),
        max_tokens: spec.sampling.max_tokens.saturating_sub(accepted),
        prefix: hash_prefix_blocks(spec),
        prompt_tokens: prompt_tokens.saturating_add(accepted),
        target: BackEndTarget::Engine(spec.target.clone()),
        tried: session.tried_agents.iter().cloned().collect(),
        workspace: spec.workspace.clone(),
    }
}

/// Hashes the prompt's prefixes, one per block. Every entry node computes the same hashes, so that
/// all of them route a prefix alike.
fn hash_prefix_blocks(spec: &GenerationSpec) -> Vec<PrefixBlock> {
    let blocks = spec.prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES);
    let mut hash = FNV_OFFSET_BASIS;
    let mut tokens = 0;
    let mut prefix = Vec::new();
    for block in blocks.take(MAX_PREFIX_BLOCKS) {
        hash = block.iter().copied().fold(hash, hash_byte);
        tokens += to_u32(PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN);
        prefix.push(PrefixBlock { hash, tokens });
    }
    prefix
}

fn hash_byte(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
