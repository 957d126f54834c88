//! The callers of the model: when they ask, with what, and how often.

use masticsill_types::ClockMs;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::plan::{KINDS, OverloadPlan};
use super::tally::CallerRecord;

/// Tokens of the shortest and the longest prompt.
const PROMPT_TOKENS: (u64, u64) = (4_000, 12_000);
/// Prompts from this length on are the longest tenth.
const LONG_TOKENS: u64 = 11_200;
/// Workspaces beside the hot one.
const WORKSPACES: u32 = 9;

/// A request as its caller sends it.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    pub(super) prompt_tokens: u64,
    pub(super) record: CallerRecord,
    pub(super) workspace: String,
}

/// Draws every request of a plan.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are positive and small"
)]
pub(super) fn draw_asks(plan: &OverloadPlan, random: &mut ChaCha8Rng) -> Vec<Ask> {
    let mut asks = Vec::new();
    let mut at_ms = 0.0;
    while (at_ms as u64) < plan.length_ms {
        let now_ms = at_ms as u64;
        let is_overload = (plan.begins_ms..plan.ends_ms).contains(&now_ms);
        let weights = plan
            .kinds
            .map(|it| it.share * if is_overload { it.load } else { 1.0 });
        let times = if is_overload { plan.load } else { 1.0 } * weights.iter().sum::<f64>();
        let kind = draw_kind(&weights, random);
        asks.push(draw_ask(plan, random, ClockMs(now_ms), kind));
        let per_ms = plan.usual_per_s * times / 1_000.0;
        at_ms += -random.random::<f64>().max(1e-9).ln() / per_ms;
    }
    asks
}

/// Draws the number of a kind in proportion to the weights.
fn draw_kind(weights: &[f64; KINDS], random: &mut ChaCha8Rng) -> usize {
    // A plan with a single kind draws nothing.
    if weights[1..].iter().all(|weight| *weight == 0.0) {
        return 0;
    }
    let mut left = random.random::<f64>() * weights.iter().sum::<f64>();
    let is_drawn = |weight: &f64| {
        left -= weight;
        left < 0.0
    };
    weights.iter().position(is_drawn).unwrap_or_default()
}

fn draw_ask(plan: &OverloadPlan, random: &mut ChaCha8Rng, asked_at: ClockMs, kind: usize) -> Ask {
    let prompt_tokens = random.random_range(PROMPT_TOKENS.0..=PROMPT_TOKENS.1);
    let is_hot = random.random::<f64>() < plan.hot_share;
    let workspace = if is_hot {
        "hot".to_owned()
    } else {
        format!("w{}", random.random_range(0..WORKSPACES))
    };
    Ask {
        prompt_tokens,
        record: CallerRecord {
            asked_at,
            dark_sends: 0,
            first_at: None,
            meetings: 0,
            is_done: false,
            is_hot,
            is_long: prompt_tokens >= LONG_TOKENS,
            kind,
            refusal_ms: None,
            refusals: 0,
        },
        workspace,
    }
}
