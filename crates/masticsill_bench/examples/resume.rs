//! How long answers stand still after a death, and what the deaths cost, by kind of death.
//!
//! `resume [DEATHS [LANES [ROW]]]`: deaths of each kind, spread over that many systems of a kind, all
//! at once; with a row, only that row of the table, counted from 0. Each system has one entry and four agents with an engine each; a round begins eight
//! streams, brings about one death below some of them and puts everything right again. Every
//! fourth round is the naive baseline: callers ask the engines and begin again from the start.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use eyre::eyre;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use masticsill_bench::{EventReader, System, SystemSettings, Table, ms, number};
use masticsill_testkit::{AnswerSpec, EngineStats, ProxyMode, expected_text};
use masticsill_types::{ModelId, VersionId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::runtime::Runtime;
use tokio::task::JoinSet;
use tokio::time::timeout;

const ENGINES: usize = 4;
const STREAMS: usize = 8;
const STEP_MS: u64 = 20;
const TOKENS: u32 = 75;
const SEED: u64 = 7;
const PROMPT_WORDS: usize = 200;
const EARLIEST_DEATH_MS: u64 = 350;
const LATEST_DEATH_MS: u64 = 700;
/// Time for a restarted process to be in every view again.
const SETTLE_MS: u64 = 1_000;
const ANSWER_BOUND_MS: u64 = 20_000;
const DEFAULT_SILENCE_MS: u64 = 800;
const NAIVE_EVERY: usize = 4;
/// A lane that has not had all its deaths by then ends; the table says how many it had.
const LONGEST_RUN: Duration = Duration::from_mins(8);
/// Longest stall that the histograms tell apart, in microseconds.
const LARGEST_US: u64 = 60_000_000;
/// What stands before the index in an event id.
const LINEAGE_END: char = '.';

/// What is done to the instance with the most streams.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Death {
    AgentKilled,
    EngineFrozen,
    EngineKilled,
    InstanceLost,
    InstanceSilent,
    PathCut,
    PathSilent,
}

impl Death {
    const ALL: [Self; 7] = [
        Self::EngineKilled,
        Self::EngineFrozen,
        Self::InstanceLost,
        Self::InstanceSilent,
        Self::AgentKilled,
        Self::PathCut,
        Self::PathSilent,
    ];

    /// Whether a caller that asks the engine itself notices it.
    fn hits_engine(self) -> bool {
        match self {
            Self::EngineFrozen | Self::EngineKilled | Self::InstanceLost | Self::InstanceSilent => {
                true
            }
            Self::AgentKilled | Self::PathCut | Self::PathSilent => false,
        }
    }
}

impl fmt::Display for Death {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::AgentKilled => "agent killed",
            Self::EngineFrozen => "engine frozen",
            Self::EngineKilled => "engine killed",
            Self::InstanceLost => "agent and engine killed (resets seen)",
            Self::InstanceSilent => "agent and engine stopped (silence)",
            Self::PathCut => "path cut (resets)",
            Self::PathSilent => "path silent (black hole)",
        })
    }
}

/// How a round's callers ask.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// Through the system, without a death.
    FailureFree,
    /// At the engines, from the start again after a cut.
    Naive,
    /// Through the system.
    Through,
}

/// What the rounds of one kind and way saw.
#[derive(Clone, Debug)]
struct Tally {
    answers: u64,
    broken: u64,
    deaths: u64,
    decoded: u64,
    /// Decode steps of a round without a death.
    free_decoded: u64,
    /// Tokens prefilled in a round without a death.
    free_prefilled: u64,
    gap_us: Histogram<u64>,
    hit: u64,
    moved: u64,
    prefilled: u64,
    problems: IndexMap<String, u64>,
    resume_us: Histogram<u64>,
    wrong: u64,
}

impl Tally {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(LARGEST_US, 3).expect("the bounds are valid");
        Self {
            answers: 0,
            broken: 0,
            deaths: 0,
            decoded: 0,
            free_decoded: 0,
            free_prefilled: 0,
            gap_us: histogram(),
            hit: 0,
            moved: 0,
            prefilled: 0,
            problems: IndexMap::new(),
            resume_us: histogram(),
            wrong: 0,
        }
    }

    fn merge(&mut self, other: &Self) {
        self.answers += other.answers;
        self.broken += other.broken;
        self.deaths += other.deaths;
        self.decoded += other.decoded;
        self.free_decoded = other.free_decoded;
        self.free_prefilled = other.free_prefilled;
        self.gap_us += &other.gap_us;
        self.hit += other.hit;
        self.moved += other.moved;
        self.prefilled += other.prefilled;
        self.resume_us += &other.resume_us;
        self.wrong += other.wrong;
        for (problem, count) in &other.problems {
            *self.problems.entry(problem.clone()).or_default() += count;
        }
    }
}

/// One answer as its caller saw it.
#[derive(Debug, Default)]
struct Seen {
    is_whole: bool,
    is_wrong: bool,
    /// The events on both sides of a move.
    moves: Vec<(Instant, Instant)>,
    problem: String,
}

/// A kind of death in a system of its own.
struct Lane {
    death: Death,
    deaths: usize,
    runtime: Runtime,
    silence_ms: u64,
    random: ChaCha8Rng,
    number: u64,
    system: System,
}

fn main() -> eyre::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let mut argument = |default: usize| -> eyre::Result<usize> {
        Ok(arguments
            .next()
            .map(|text| text.parse())
            .transpose()?
            .unwrap_or(default))
    };
    let (deaths, lanes, only) = (argument(200)?, argument(2)?, argument(usize::MAX)?);
    let mut plans: Vec<(Death, u64)> = Death::ALL.map(|death| (death, DEFAULT_SILENCE_MS)).to_vec();
    plans.extend([(Death::InstanceSilent, 300), (Death::InstanceSilent, 2_000)]);
    if only < plans.len() {
        plans = vec![plans[only]];
    }
    let mut running = Vec::new();
    for (plan, (death, silence_ms)) in plans.iter().copied().enumerate() {
        for lane in 0..lanes {
            let number = (plan * lanes + lane) as u64;
            // The ends of the setting get half as many: their rounds are the longest.
            let is_end = silence_ms != DEFAULT_SILENCE_MS;
            let lane_deaths = deaths / lanes / if is_end { 2 } else { 1 };
            let lane = move || run_lane(death, silence_ms, lane_deaths, number);
            running.push((plan, thread::spawn(lane)));
        }
    }
    let mut tallies = vec![(Tally::new(), Tally::new()); plans.len()];
    for (plan, lane) in running {
        match lane.join() {
            Ok(Ok((through, naive))) => {
                tallies[plan].0.merge(&through);
                tallies[plan].1.merge(&naive);
            }
            Ok(Err(error)) => println!("a lane of {} failed: {error}", plans[plan].0),
            Err(_) => println!("a lane of {} panicked", plans[plan].0),
        }
    }
    print_tallies(&plans, &tallies);
    Ok(())
}

fn print_tallies(plans: &[(Death, u64)], tallies: &[(Tally, Tally)]) {
    let mut table = Table::new(&[
        "death",
        "silence_ms",
        "way",
        "deaths",
        "streams hit",
        "moved",
        "resume p50 ms",
        "p95",
        "p99",
        "max",
        "gap p50 ms",
        "p99",
        "extra decode %",
        "extra prefill %",
        "answers",
        "broken",
        "wrong",
    ]);
    for ((death, silence_ms), (through, naive)) in plans.iter().zip(tallies) {
        for (way, tally) in [("through", through), ("naive", naive)] {
            if tally.deaths == 0 {
                continue;
            }
            let rounds = tally.deaths;
            table.add([
                death.to_string(),
                silence_ms.to_string(),
                way.to_owned(),
                rounds.to_string(),
                tally.hit.to_string(),
                tally.moved.to_string(),
                ms(&tally.resume_us, 0.5),
                ms(&tally.resume_us, 0.95),
                ms(&tally.resume_us, 0.99),
                ms(&tally.resume_us, 1.0),
                ms(&tally.gap_us, 0.5),
                ms(&tally.gap_us, 0.99),
                extra(tally.decoded, rounds * tally.free_decoded),
                extra(tally.prefilled, rounds * tally.free_prefilled),
                tally.answers.to_string(),
                tally.broken.to_string(),
                tally.wrong.to_string(),
            ]);
        }
        for (problem, count) in &through.problems {
            println!("{death}, silence {silence_ms} ms: {count} x {problem}");
        }
    }
    println!("{table}");
}

fn extra(used: u64, needed: u64) -> String {
    format!("{:.2}", (number(used) / number(needed) - 1.0) * 100.0)
}

fn prompt(name: &str) -> String {
    // The name stands in every word, so that no prompt finds another's prefix in a cache.
    let word = format!("{name} ");
    word.repeat(PROMPT_WORDS)
}

fn run_lane(
    death: Death,
    silence_ms: u64,
    deaths: usize,
    number: u64,
) -> eyre::Result<(Tally, Tally)> {
    let system = System::start(SystemSettings {
        engine_count: ENGINES,
        entry: json!({"silence_ms": silence_ms}),
        is_proxied: true,
        slots: 16,
        step_ms: STEP_MS,
        ..SystemSettings::default()
    });
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    let mut lane = Lane {
        death,
        deaths,
        runtime,
        silence_ms,
        random: ChaCha8Rng::seed_from_u64(number),
        number,
        system,
    };
    thread::sleep(Duration::from_millis(SETTLE_MS));
    lane.run()
}

impl Lane {
    fn run(&mut self) -> eyre::Result<(Tally, Tally)> {
        let (mut through, mut naive) = (Tally::new(), Tally::new());
        let mut free = Tally::new();
        self.run_round(0, Way::FailureFree, &mut free)?;
        through.free_decoded = free.decoded;
        through.free_prefilled = free.prefilled;
        naive.free_decoded = free.decoded;
        naive.free_prefilled = free.prefilled;
        let mut round = 0;
        let started = Instant::now();
        while through.deaths < self.deaths as u64 && started.elapsed() < LONGEST_RUN {
            round += 1;
            if self.death.hits_engine() && round % NAIVE_EVERY == 0 {
                self.run_round(round, Way::Naive, &mut naive)?;
            } else {
                self.run_round(round, Way::Through, &mut through)?;
            }
        }
        Ok((through, naive))
    }

    fn run_round(&mut self, round: usize, way: Way, tally: &mut Tally) -> eyre::Result<()> {
        let before = self.stats();
        let delay_ms = self.random.random_range(EARLIEST_DEATH_MS..LATEST_DEATH_MS);
        let mut streams = self.begin_streams(round, way);
        let runtime = &self.runtime;
        let delay = Duration::from_millis(delay_ms);
        runtime.block_on(async { tokio::time::sleep(delay).await });
        // The callers go on reading on the runtime's own thread meanwhile.
        let at_death = self.stats();
        let victim = (0..ENGINES).max_by_key(|index| at_death[*index].running);
        let victim = victim.expect("there are engines");
        let died_at = Instant::now();
        if way != Way::FailureFree {
            self.bring_about(victim)?;
        }
        let seen = self.runtime.block_on(async {
            let mut seen = Vec::new();
            while let Some(result) = streams.join_next().await {
                seen.push(result);
            }
            seen
        });
        if way != Way::FailureFree {
            self.put_right(victim)?;
        }
        thread::sleep(Duration::from_millis(SETTLE_MS));
        let after = self.stats();
        let mut moved = 0;
        for seen in seen {
            let seen = seen?;
            tally.answers += 1;
            tally.broken += u64::from(!seen.is_whole);
            tally.wrong += u64::from(seen.is_wrong);
            if !seen.problem.is_empty() {
                *tally.problems.entry(seen.problem).or_default() += 1;
            }
            for (last, next) in seen.moves.iter().filter(|(_, next)| *next > died_at) {
                moved += 1;
                record(&mut tally.resume_us, *next - died_at);
                record(&mut tally.gap_us, *next - *last);
            }
        }
        tally.deaths += 1;
        tally.hit += at_death[victim].running;
        tally.moved += moved;
        for index in 0..ENGINES {
            let is_reset = after[index].started < before[index].started
                || index == victim && self.kills_engine() && way != Way::FailureFree;
            let last = if is_reset {
                at_death[index]
            } else {
                after[index]
            };
            tally.decoded += last.decode_steps.saturating_sub(before[index].decode_steps);
            tally.prefilled += last
                .prefill_tokens
                .saturating_sub(before[index].prefill_tokens);
        }
        Ok(())
    }

    fn stats(&self) -> Vec<EngineStats> {
        (0..ENGINES)
            .map(|index| self.system.engine_stats(index))
            .collect()
    }

    fn kills_engine(&self) -> bool {
        matches!(self.death, Death::EngineKilled | Death::InstanceLost)
    }

    fn begin_streams(&self, round: usize, way: Way) -> JoinSet<Seen> {
        let mut streams = JoinSet::new();
        let runtime = self.runtime.handle();
        for stream in 0..STREAMS {
            let prompt = prompt(&format!("{:03}x{round:05}x{stream}", self.number));
            if way == Way::Naive {
                let engines: VecDeque<SocketAddr> = (0..ENGINES)
                    .map(|index| self.system.engines[(stream + index) % ENGINES].address())
                    .collect();
                streams.spawn_on(ask_naively(engines, prompt, self.silence_ms), runtime);
            } else {
                let entry = self.system.deployment.http("entry-0");
                streams.spawn_on(ask_through(entry, prompt), runtime);
            }
        }
        streams
    }

    fn bring_about(&mut self, victim: usize) -> eyre::Result<()> {
        let engine = &mut self.system.engines[victim].process;
        let agent = self.system.deployment.node_mut(&format!("agent-{victim}"));
        match self.death {
            Death::AgentKilled => agent.process.kill(),
            Death::EngineFrozen => engine.pause()?,
            Death::EngineKilled => engine.kill(),
            Death::InstanceLost => {
                agent.process.kill();
                engine.kill();
            }
            Death::InstanceSilent => {
                agent.process.pause()?;
                engine.pause()?;
            }
            Death::PathCut => agent.proxy.set_mode(ProxyMode::Cut),
            Death::PathSilent => agent.proxy.set_mode(ProxyMode::BlackHole(None)),
        }
        Ok(())
    }

    fn put_right(&mut self, victim: usize) -> eyre::Result<()> {
        let name = format!("agent-{victim}");
        match self.death {
            Death::AgentKilled => self.system.deployment.restart(&name),
            Death::EngineFrozen => self.system.engines[victim].process.resume()?,
            Death::EngineKilled => self.system.restart_engine(victim),
            Death::InstanceLost => {
                self.system.restart_engine(victim);
                self.system.deployment.restart(&name);
            }
            Death::InstanceSilent => {
                self.system.engines[victim].process.resume()?;
                self.system.deployment.node_mut(&name).process.resume()?;
            }
            Death::PathCut | Death::PathSilent => {
                self.system
                    .deployment
                    .node(&name)
                    .proxy
                    .set_mode(ProxyMode::Pass);
            }
        }
        Ok(())
    }
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX));
}

fn expected(prompt: &str) -> String {
    expected_text(&AnswerSpec {
        adapter: None,
        max_tokens: TOKENS,
        model: ModelId::new("draft").expect("a valid name"),
        prompt: prompt.to_owned(),
        seed: SEED,
        version: VersionId::new("v1").expect("a valid name"),
    })
}

async fn ask_through(address: SocketAddr, prompt: String) -> Seen {
    let mut seen = Seen::default();
    if let Err(error) = read_through(address, &prompt, &mut seen).await {
        seen.problem = error.to_string();
    }
    seen
}

async fn read_through(address: SocketAddr, prompt: &str, seen: &mut Seen) -> eyre::Result<()> {
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
fn kind_of(data: &str) -> String {
    let error: Value = serde_json::from_str(data).unwrap_or_default();
    format!("{}: {}", error["error"]["kind"], error["error"]["message"])
}

/// An id without its index.
fn lineage_of(id: &str) -> String {
    let mut parts = id.rsplitn(3, LINEAGE_END);
    // After the lineage stand the next index and the holder's hint.
    parts.nth(2).unwrap_or(id).to_owned()
}

/// Asks one engine after another, each time from the start, until the whole answer has come.
async fn ask_naively(mut engines: VecDeque<SocketAddr>, prompt: String, silence_ms: u64) -> Seen {
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
struct NaiveProgress {
    is_again: bool,
    last_at: Option<Instant>,
    tokens: u64,
}

async fn read_naively(
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
