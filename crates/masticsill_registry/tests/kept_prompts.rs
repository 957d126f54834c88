//! What engines keep of prompts, by news that come late, with gaps and across restarts.

use masticsill_registry::{
    CacheUpdate, CachedPart, CachedTokens, EndpointId, EndpointIncarnation, PromptCacheIndex,
    PromptPart,
};

fn engine(name: &str) -> EndpointId {
    EndpointId::with_unknown_incarnation(name)
}

fn news(epoch: u64, position: u64, parts: &[(&str, u64)]) -> CacheUpdate {
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
fn a_prompt_is_found_where_it_was_read() {
    let mut prompts = PromptCacheIndex::default();
    prompts.apply(&engine("e"), news(7, 2, &[("shared", 200), ("own", 8_000)]));
    prompts.apply(&engine("f"), news(9, 1, &[("shared", 200)]));
    let parts = [("shared", 200), ("own", 8_000)];
    assert_eq!(
        found(&prompts, &parts),
        [("e".to_owned(), 8_200), ("f".to_owned(), 200)]
    );
    assert_eq!(prompts.find(&prompt(&parts), 1_000).len(), 1);
    assert_eq!(prompts.position(&engine("e")), 2);
}

#[test]
fn a_part_without_those_before_it_serves_nobody() {
    let mut prompts = PromptCacheIndex::default();
    prompts.apply(&engine("e"), news(7, 2, &[("shared", 150), ("own", 8_000)]));
    let kept = found(&prompts, &[("shared", 200), ("own", 8_000)]);
    assert_eq!(kept, [("e".to_owned(), 150)]);
    assert!(found(&prompts, &[("other", 200), ("own", 8_000)]).is_empty());
}

#[test]
fn what_was_generated_is_no_more_of_the_prompt() {
    let mut prompts = PromptCacheIndex::default();
    prompts.apply(&engine("e"), news(7, 1, &[("own", 9_000)]));
    let kept = found(&prompts, &[("own", 8_000)]);
    assert_eq!(kept, [("e".to_owned(), 8_000)]);
}

#[test]
fn a_dropped_part_is_forgotten() {
    let mut prompts = PromptCacheIndex::default();
    prompts.apply(&engine("e"), news(7, 1, &[("own", 8_000)]));
    prompts.apply(&engine("e"), news(7, 2, &[("own", 4_000)]));
    let kept = found(&prompts, &[("own", 8_000)]);
    assert_eq!(kept, [("e".to_owned(), 4_000)]);
    prompts.apply(&engine("e"), news(7, 3, &[("own", 0)]));
    assert!(found(&prompts, &[("own", 8_000)]).is_empty());
}

#[test]
fn a_restarted_engine_keeps_nothing() {
    let mut prompts = PromptCacheIndex::default();
    prompts.apply(&engine("e"), news(7, 1, &[("own", 8_000)]));
    prompts.apply(&engine("e"), news(8, 0, &[]));
    assert!(found(&prompts, &[("own", 8_000)]).is_empty());
    assert_eq!(prompts.position(&engine("e")), 0);
}

#[test]
fn a_list_replaces_what_was_known() {
    let mut prompts = PromptCacheIndex::default();
    prompts.apply(&engine("e"), news(7, 1, &[("own", 8_000)]));
    prompts.replace(&engine("e"), news(7, 40, &[("other", 500)]));
    assert!(found(&prompts, &[("own", 8_000)]).is_empty());
    assert_eq!(found(&prompts, &[("other", 500)]).len(), 1);
    assert_eq!(prompts.position(&engine("e")), 40);
}

#[test]
fn only_so_many_parts_are_remembered() {
    let mut prompts = PromptCacheIndex::default();
    for number in 0..2_000_u64 {
        let id = number.to_string();
        prompts.apply(&engine("e"), news(7, number, &[(&id, 100)]));
    }
    assert!(found(&prompts, &[("0", 100)]).is_empty());
    assert_eq!(found(&prompts, &[("1999", 100)]).len(), 1);
    prompts.forget(&engine("e"));
    assert!(found(&prompts, &[("1999", 100)]).is_empty());
}

#[test]
fn a_new_life_keeps_nothing_of_the_former_one() {
    let reborn = EndpointId {
        incarnation: EndpointIncarnation::started_at(2),
        ..engine("e")
    };
    let mut prompts = PromptCacheIndex::default();
    prompts.apply(&engine("e"), news(1, 1, &[("own", 8_000)]));
    assert_eq!(prompts.position(&reborn), 0);
    let found = prompts.find(&prompt(&[("own", 8_000)]), 1);
    assert!(found.iter().all(|kept| kept.endpoint == engine("e")));
    prompts.apply(&reborn, news(1, 0, &[]));
    prompts.forget(&engine("e"));
    assert!(prompts.find(&prompt(&[("own", 8_000)]), 1).is_empty());
}

#[test]
fn news_of_another_life_are_told_apart() {
    let incarnation = |started_at_ms| EndpointId {
        incarnation: EndpointIncarnation::started_at(started_at_ms),
        ..engine("e")
    };
    let mut told = news(1, 1, &[]);
    assert!(told.may_be_from(&engine("e")) && told.may_be_from(&incarnation(2)));
    told.incarnation = EndpointIncarnation::started_at(2);
    assert!(told.may_be_from(&incarnation(2)) && told.may_be_from(&engine("e")));
    assert!(!told.may_be_from(&incarnation(1)) && !told.may_be_from(&incarnation(3)));
}

#[test]
fn absurd_lengths_are_no_overflow() {
    let mut prompts = PromptCacheIndex::default();
    let parts = [("a", u64::MAX), ("b", u64::MAX)];
    prompts.apply(&engine("e"), news(1, 2, &parts));
    assert_eq!(found(&prompts, &parts), [("e".to_owned(), u64::MAX)]);
}
