//! What the router is told of a session's attempts.

use masticsill_routing::{BackEndTarget, PrefixBlock, WorkRequest};
use masticsill_types::GenerationSpec;

use crate::session::Session;

/// Prompt bytes that are taken for one token.
const BYTES_PER_TOKEN: usize = 4;
/// Prompt bytes of one block; a shorter prompt is not worth sending after its cache.
const BLOCK_BYTES: usize = 256;
/// Blocks told at most; what lies beyond them hardly changes the choice.
const MAX_BLOCKS: usize = 32;
const HASH_START: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_FACTOR: u64 = 0x0000_0100_0000_01b3;

/// The request for a session's next attempt: what is still to be generated, after everything
/// that was accepted.
pub(crate) fn describe_work(session: &Session) -> WorkRequest {
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
        prefix: list_blocks(spec),
        prompt_tokens: prompt_tokens.saturating_add(accepted),
        target: BackEndTarget::Engine(spec.target.clone()),
        tried: session.tried.iter().cloned().collect(),
        workspace: spec.workspace.clone(),
    }
}

/// The prompt's prefixes as every entry hashes them, so that all send a prefix the same way.
fn list_blocks(spec: &GenerationSpec) -> Vec<PrefixBlock> {
    let blocks = spec.prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let mut hash = HASH_START;
    let mut tokens = 0;
    let mut prefix = Vec::new();
    for block in blocks.take(MAX_BLOCKS) {
        hash = block.iter().copied().fold(hash, hash_byte);
        tokens += to_u32(BLOCK_BYTES / BYTES_PER_TOKEN);
        prefix.push(PrefixBlock { hash, tokens });
    }
    prefix
}

fn hash_byte(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(HASH_FACTOR)
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
