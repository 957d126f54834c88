//! A kind of death in a system of its own, round after round.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use masticsill_bench::{System, SystemSettings};
use masticsill_testkit::{EngineStats, ProxyMode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

use crate::callers::{Seen, ask_naively, ask_through};
use crate::death::{Death, Way};
use crate::tally::{Tally, record};

pub(crate) const ENGINES: usize = 4;
pub(crate) const STREAMS: usize = 8;
pub(crate) const STEP_MS: u64 = 20;
pub(crate) const PROMPT_WORDS: usize = 200;
pub(crate) const EARLIEST_DEATH_MS: u64 = 350;
pub(crate) const LATEST_DEATH_MS: u64 = 700;
/// Time for a restarted process to be in every view again.
pub(crate) const SETTLE_MS: u64 = 1_000;
pub(crate) const NAIVE_EVERY: usize = 4;
/// A lane that has not had all its deaths by then ends; the table says how many it had.
pub(crate) const LONGEST_RUN: Duration = Duration::from_mins(8);

/// A kind of death in a system of its own.
pub(crate) struct Lane {
    pub(crate) death: Death,
    pub(crate) deaths: usize,
    pub(crate) runtime: Runtime,
    pub(crate) silence_ms: u64,
    pub(crate) random: ChaCha8Rng,
    pub(crate) number: u64,
    pub(crate) system: System,
}

pub(crate) fn run_lane(
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

pub(crate) fn prompt(name: &str) -> String {
    // The name stands in every word, so that no prompt finds another's prefix in a cache.
    let word = format!("{name} ");
    word.repeat(PROMPT_WORDS)
}

impl Lane {
    pub(crate) fn run(&mut self) -> eyre::Result<(Tally, Tally)> {
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

    pub(crate) fn run_round(
        &mut self,
        round: usize,
        way: Way,
        tally: &mut Tally,
    ) -> eyre::Result<()> {
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

    pub(crate) fn stats(&self) -> Vec<EngineStats> {
        (0..ENGINES)
            .map(|index| self.system.engine_stats(index))
            .collect()
    }

    pub(crate) fn kills_engine(&self) -> bool {
        matches!(self.death, Death::EngineKilled | Death::InstanceLost)
    }

    pub(crate) fn begin_streams(&self, round: usize, way: Way) -> JoinSet<Seen> {
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

    pub(crate) fn bring_about(&mut self, victim: usize) -> eyre::Result<()> {
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

    pub(crate) fn put_right(&mut self, victim: usize) -> eyre::Result<()> {
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
