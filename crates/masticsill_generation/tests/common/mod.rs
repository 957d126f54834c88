//! Test data shared by several tests.

#![allow(dead_code)]

use masticsill_generation::{GenerationLimits, Record};
use masticsill_types::{
    Class, EntryId, GenerationId, GenerationSpec, ModelId, ModelTarget, NodeId, Sampling, Token,
    VersionId, WorkspaceId,
};

pub(crate) const LIMITS: GenerationLimits = GenerationLimits {
    batch_delay_ms: 2,
    retention_ms: 10_000,
    max_bytes: 1_000_000,
    max_records: 64,
    orphan_ms: 2_000,
    retry_after_ms: 500,
};

pub(crate) fn spec(id: u128, max_tokens: u32) -> GenerationSpec {
    GenerationSpec {
        catalogue_entry: EntryId::new("drafts").unwrap(),
        class: Class::PatientDraft,
        id: GenerationId(id),
        prompt: "plan the bathroom".to_owned(),
        sampling: Sampling {
            max_tokens,
            seed: 7,
            temperature_milli: 700,
            top_p_milli: 950,
        },
        target: ModelTarget {
            adapter: None,
            model: ModelId::new("draft-large").unwrap(),
            version: VersionId::new("1").unwrap(),
        },
        workspace: WorkspaceId::new("fliesenwerk").unwrap(),
    }
}

pub(crate) fn record() -> Record {
    Record::new(spec(1, 100), 11)
}

pub(crate) fn node(name: &str) -> NodeId {
    NodeId::new(name).unwrap()
}

/// Tokens with the given ids; the bytes of each are its id in decimal.
pub(crate) fn tokens(ids: impl IntoIterator<Item = u32>) -> Vec<Token> {
    let token = |id: u32| Token {
        bytes: id.to_string().into_bytes(),
        id,
    };
    ids.into_iter().map(token).collect()
}
