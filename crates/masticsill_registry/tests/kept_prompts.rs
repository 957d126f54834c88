//! The index of cached prompts, with updates that arrive late, with gaps and across restarts.

use masticsill_registry::{
    CacheUpdate, CachedPart, CachedTokens, EndpointId, EndpointIncarnation, PromptCacheIndex,
    PromptPart,
};

fn engine(name: &str) -> EndpointId {
    EndpointId::with_unknown_incarnation(name)
}

fn update(epoch: u64, position: u64, parts: &[(&str, u64)]) -> CacheUpdate {
    let parts = parts.iter().map(|(id, tokens)| CachedPart {
        id: (*id).to_owned(),
        tokens: *tokens,
    });
    CacheUpdate {
        epoch,
        is_gap: false,
        incarnation: EndpointIncarnation::UNKNOWN,
        parts: parts.collect(),
        position,
        unreadable: 0,
    }
}

fn prompt(parts: &[(&str, u64)]) -> Vec<PromptPart> {
    let parts = parts.iter().map(|(id, tokens)| PromptPart {
        id: (*id).to_owned(),
        tokens: *tokens,
    });
    parts.collect()
}

fn found(prompts: &PromptCacheIndex, parts: &[(&str, u64)]) -> Vec<(String, u64)> {
    let found = prompts.find(&prompt(parts), 1).into_iter();
    found
        .map(|CachedTokens { endpoint, tokens }| (endpoint.name, tokens))
        .collect()
}

#[test]
fn prompt_is_found_at_engines_that_cache_it() {
    let mut prompts = PromptCacheIndex::default();
    prompts.apply(
        &engine("e"),
        update(7, 2, &[("shared", 200), ("own", 8_000)]),
    );
    prompts.apply(&engine("f"), update(9, 1, &[("shared", 200)]));
    let parts = [("shared", 200), ("own", 8_000)];
    assert_eq!(
        found(&prompts, &parts),
        [("e".to_owned(), 8_200), ("f".to_owned(), 200)]
    );
    assert_eq!(prompts.find(&prompt(&parts), 1_000).len(), 1);
    assert_eq!(prompts.position(&engine("e")), 2);
}

#[test]
fn part_counts_only_after_complete_earlier_parts() {
    let mut prompts = PromptCacheIndex::default();
    prompts.apply(
        &engine("e"),
        update(7, 2, &[("shared", 150), ("own", 8_000)]),
    );
    let cached = found(&prompts, &[("shared", 200), ("own", 8_000)]);
    assert_eq!(cached, [("e".to_owned(), 150)]);
    assert!(found(&prompts, &[("other", 200), ("own", 8_000)]).is_empty());
}

#[test]
fn generated_tokens_do_not_count_as_cached_prompt() {
    let mut prompts = PromptCacheIndex::default();
    prompts.apply(&engine("e"), update(7, 1, &[("own", 9_000)]));
    let cached = found(&prompts, &[("own", 8_000)]);
    assert_eq!(cached, [("e".to_owned(), 8_000)]);
}

#[test]
fn evicted_part_is_not_found() {
    let mut prompts = PromptCacheIndex::default();
    prompts.apply(&engine("e"), update(7, 1, &[("own", 8_000)]));
    prompts.apply(&engine("e"), update(7, 2, &[("own", 4_000)]));
    let cached = found(&prompts, &[("own", 8_000)]);
    assert_eq!(cached, [("e".to_owned(), 4_000)]);
    prompts.apply(&engine("e"), update(7, 3, &[("own", 0)]));
    assert!(found(&prompts, &[("own", 8_000)]).is_empty());
}

#[test]
fn new_epoch_empties_the_cache() {
    let mut prompts = PromptCacheIndex::default();
    prompts.apply(&engine("e"), update(7, 1, &[("own", 8_000)]));
    prompts.apply(&engine("e"), update(8, 0, &[]));
    assert!(found(&prompts, &[("own", 8_000)]).is_empty());
    assert_eq!(prompts.position(&engine("e")), 0);
}

#[test]
fn whole_list_replaces_earlier_changes() {
    let mut prompts = PromptCacheIndex::default();
    prompts.apply(&engine("e"), update(7, 1, &[("own", 8_000)]));
    prompts.replace(&engine("e"), update(7, 40, &[("other", 500)]));
    assert!(found(&prompts, &[("own", 8_000)]).is_empty());
    assert_eq!(found(&prompts, &[("other", 500)]).len(), 1);
    assert_eq!(prompts.position(&engine("e")), 40);
}

#[test]
fn recorded_parts_are_bounded() {
    let mut prompts = PromptCacheIndex::default();
    for number in 0..2_000_u64 {
        let id = number.to_string();
        prompts.apply(&engine("e"), update(7, number, &[(&id, 100)]));
    }
    assert!(found(&prompts, &[("0", 100)]).is_empty());
    assert_eq!(found(&prompts, &[("1999", 100)]).len(), 1);
    prompts.forget(&engine("e"));
    assert!(found(&prompts, &[("1999", 100)]).is_empty());
}

#[test]
fn new_incarnation_inherits_no_cached_prompts() {
    let restarted = EndpointId {
        incarnation: EndpointIncarnation::started_at(2),
        ..engine("e")
    };
    let mut prompts = PromptCacheIndex::default();
    prompts.apply(&engine("e"), update(1, 1, &[("own", 8_000)]));
    assert_eq!(prompts.position(&restarted), 0);
    let found = prompts.find(&prompt(&[("own", 8_000)]), 1);
    assert!(found.iter().all(|cached| cached.endpoint == engine("e")));
    prompts.apply(&restarted, update(1, 0, &[]));
    prompts.forget(&engine("e"));
    assert!(prompts.find(&prompt(&[("own", 8_000)]), 1).is_empty());
}

#[test]
fn update_of_another_incarnation_is_recognized() {
    let incarnation = |started_at_ms| EndpointId {
        incarnation: EndpointIncarnation::started_at(started_at_ms),
        ..engine("e")
    };
    let mut batch = update(1, 1, &[]);
    assert!(batch.may_be_from(&engine("e")) && batch.may_be_from(&incarnation(2)));
    batch.incarnation = EndpointIncarnation::started_at(2);
    assert!(batch.may_be_from(&incarnation(2)) && batch.may_be_from(&engine("e")));
    assert!(!batch.may_be_from(&incarnation(1)) && !batch.may_be_from(&incarnation(3)));
}

#[test]
fn huge_lengths_do_not_overflow() {
    let mut prompts = PromptCacheIndex::default();
    let parts = [("a", u64::MAX), ("b", u64::MAX)];
    prompts.apply(&engine("e"), update(1, 2, &parts));
    assert_eq!(found(&prompts, &parts), [("e".to_owned(), u64::MAX)]);
}
