//! Callers that look at every event: through the system, and naively at the engines.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::eyre;
use masticsill_bench::EventReader;
use masticsill_testkit::{AnswerSpec, expected_text};
use masticsill_types::{ModelId, VersionId};
use serde_json::{Value, json};
use tokio::time::timeout;

/// What stands before the index in an event id.
pub(crate) const LINEAGE_END: char = '.';
pub(crate) const ANSWER_BOUND_MS: u64 = 20_000;
pub(crate) const TOKENS: u32 = 75;
pub(crate) const SEED: u64 = 7;

/// One answer as its caller saw it.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) is_whole: bool,
    pub(crate) is_wrong: bool,
    /// The events on both sides of a move.
    pub(crate) moves: Vec<(Instant, Instant)>,
    pub(crate) problem: String,
}

pub(crate) fn expected(prompt: &str) -> String {
    expected_text(&AnswerSpec {
        adapter: None,
        max_tokens: TOKENS,
        model: ModelId::new("draft").expect("a valid name"),
        prompt: prompt.to_owned(),
        seed: SEED,
        version: VersionId::new("v1").expect("a valid name"),
    })
}

pub(crate) async fn ask_through(address: SocketAddr, prompt: String) -> Seen {
    let mut seen = Seen::default();
    if let Err(error) = read_through(address, &prompt, &mut seen).await {
        seen.problem = error.to_string();
    }
    seen
}

pub(crate) async fn read_through(
    address: SocketAddr,
    prompt: &str,
    seen: &mut Seen,
) -> eyre::Result<()> {
    let body = json!({
        "model": "draft", "prompt": prompt, "max_tokens": TOKENS, "seed": SEED, "stream": true,
    });
    let mut reader = EventReader::open(address, &body, None).await?;
    let mut text = String::new();
    let mut last: Option<(Instant, String)> = None;
    let bound = Duration::from_millis(ANSWER_BOUND_MS);
    while let Some(event) = timeout(bound, reader.next_event()).await?? {
        if event.is_done() {
            seen.is_whole = true;
            break;
        }
        if event.is_error() {
            return Err(eyre!("{}", kind_of(&event.data)));
        }
        let now = Instant::now();
        let lineage = lineage_of(&event.id);
        if let Some((at, former)) = &last
            && *former != lineage
        {
            seen.moves.push((*at, now));
        }
        last = Some((now, lineage));
        let data: Value = serde_json::from_str(&event.data)?;
        text.push_str(data["choices"][0]["text"].as_str().unwrap_or_default());
    }
    seen.is_wrong = seen.is_whole && text != expected(prompt);
    if !seen.is_whole {
        "cut without an end".clone_into(&mut seen.problem);
    }
    Ok(())
}

/// Kind and message of an error.
pub(crate) fn kind_of(data: &str) -> String {
    let error: Value = serde_json::from_str(data).unwrap_or_default();
    format!("{}: {}", error["error"]["kind"], error["error"]["message"])
}

/// An id without its index.
pub(crate) fn lineage_of(id: &str) -> String {
    let mut parts = id.rsplitn(3, LINEAGE_END);
    // After the lineage stand the next index and the holder's hint.
    parts.nth(2).unwrap_or(id).to_owned()
}

/// Asks one engine after another, each time from the start, until the whole answer has come.
pub(crate) async fn ask_naively(
    mut engines: VecDeque<SocketAddr>,
    prompt: String,
    silence_ms: u64,
) -> Seen {
    let mut seen = Seen::default();
    let mut progress = NaiveProgress::default();
    while !seen.is_whole {
        let Some(engine) = engines.pop_front() else {
            "no engine is left".clone_into(&mut seen.problem);
            return seen;
        };
        // An error is a cut: the answer begins again at the next engine.
        if read_naively(engine, &prompt, silence_ms, &mut progress, &mut seen)
            .await
            .is_err()
        {
            progress.is_again = true;
        }
    }
    seen
}

#[derive(Debug, Default)]
pub(crate) struct NaiveProgress {
    pub(crate) is_again: bool,
    pub(crate) last_at: Option<Instant>,
    pub(crate) tokens: u64,
}

pub(crate) async fn read_naively(
    engine: SocketAddr,
    prompt: &str,
    silence_ms: u64,
    progress: &mut NaiveProgress,
    seen: &mut Seen,
) -> eyre::Result<()> {
    let body = json!({
        "adapter": null, "max_tokens": TOKENS, "model": "draft", "priority": 10, "prompt": prompt,
        "request_id": format!("naive-{}", &prompt[..24]), "resume_token_ids": [], "seed": SEED,
        "stream": true, "temperature": 1.0, "top_p": 1.0, "version": "v1",
    });
    let bound = Duration::from_millis(silence_ms);
    let mut reader = timeout(bound, EventReader::open(engine, &body, None)).await??;
    let mut tokens = 0;
    loop {
        let event = timeout(bound, reader.next_event()).await??;
        let event = event.ok_or_else(|| eyre!("cut"))?;
        if event.is_done() {
            seen.is_whole = true;
            return Ok(());
        }
        let data: Value = serde_json::from_str(&event.data)?;
        tokens += data["tokens"].as_array().map_or(0, Vec::len) as u64;
        if tokens <= progress.tokens {
            continue;
        }
        let now = Instant::now();
        if let Some(last_at) = progress.last_at
            && progress.is_again
        {
            seen.moves.push((last_at, now));
            progress.is_again = false;
        }
        progress.tokens = tokens;
        progress.last_at = Some(now);
    }
}
