//! The callers of the model: when they ask, with what, and how often.

use masticsill_types::ClockMs;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::plan::OverloadPlan;
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
        let times = if is_overload { plan.load } else { 1.0 };
        asks.push(draw_ask(plan, random, ClockMs(now_ms)));
        let per_ms = plan.usual_per_s * times / 1_000.0;
        at_ms += -random.random::<f64>().max(1e-9).ln() / per_ms;
    }
    asks
}

fn draw_ask(plan: &OverloadPlan, random: &mut ChaCha8Rng, asked_at: ClockMs) -> Ask {
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
            first_at: None,
            meetings: 0,
            is_done: false,
            is_hot,
            is_long: prompt_tokens >= LONG_TOKENS,
            refusal_ms: None,
            refusals: 0,
        },
        workspace,
    }
}
