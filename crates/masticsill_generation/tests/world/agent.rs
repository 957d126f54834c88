//! An agent's book with an engine that delays, dies, freezes and thaws.

use std::collections::VecDeque;

use indexmap::IndexMap;
use masticsill_generation::{
    EngineCommand, EngineEvent, GenerationTable, PullAnswer, PullNumber, RunNumber,
};
use masticsill_types::{AttemptFailure, ClockMs, FinishReason, TokenIndex};
use masticsill_wire::agent::{Progress, PullRequest};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::ledger::Ledger;
use crate::common::{LIMITS, tokens};

#[derive(Debug)]
struct EngineRun {
    answer: usize,
    is_over: bool,
    max_tokens: u32,
    queue: VecDeque<EngineEvent>,
}

#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) book: GenerationTable,
    pub(crate) life: u32,
    pub(crate) pulls: IndexMap<PullNumber, (usize, u32)>,
    runs: IndexMap<RunNumber, EngineRun>,
}

impl Agent {
    pub(crate) fn new(life: u32) -> Self {
        Self {
            book: GenerationTable::new(LIMITS),
            life,
            pulls: IndexMap::new(),
            runs: IndexMap::new(),
        }
    }

    /// Carries out the book's commands; a cancel is sometimes ignored by the engine.
    pub(crate) fn obey(&mut self, random: &mut ChaCha8Rng, ledger: &mut Ledger) {
        for command in self.book.take_commands() {
            match command {
                EngineCommand::Run(order) => {
                    let resumed = &order.resume_token_ids;
                    assert!(
                        ledger.is_one_answer(resumed),
                        "an engine resumes a mixed answer"
                    );
                    let run = EngineRun {
                        answer: ledger.begin(resumed),
                        is_over: false,
                        max_tokens: order.spec.sampling.max_tokens,
                        queue: VecDeque::new(),
                    };
                    self.runs.insert(order.run, run);
                }
                EngineCommand::Cancel(run) => {
                    if random.random_bool(0.5) {
                        self.runs.swap_remove(&run);
                    }
                }
            }
        }
    }

    /// Lets one run produce up to three tokens, which the book sees later.
    pub(crate) fn produce(&mut self, random: &mut ChaCha8Rng, ledger: &mut Ledger) {
        let Some(run) = pick(&mut self.runs, random) else {
            return;
        };
        let mut first_index = None;
        let mut ids = Vec::new();
        for _ in 0..random.random_range(1..=3) {
            if run.is_over {
                break;
            }
            let (index, id) = ledger.produce(run.answer);
            first_index.get_or_insert(TokenIndex(index));
            ids.push(id);
            run.is_over = index + 1 == run.max_tokens;
        }
        let Some(first_index) = first_index else {
            return;
        };
        run.queue.push_back(EngineEvent::Tokens {
            finish: run.is_over.then_some(FinishReason::Length),
            first_index,
            tokens: tokens(ids),
        });
    }

    /// Brings one event to the book, with faults sometimes twice or out of order.
    pub(crate) fn report(&mut self, now: ClockMs, random: &mut ChaCha8Rng, has_faults: bool) {
        let numbers: Vec<RunNumber> = self.runs.keys().copied().collect();
        let Some(number) = choose(&numbers, random) else {
            return;
        };
        let queue = &mut self.runs[&number].queue;
        if has_faults && queue.len() > 1 && random.random_bool(0.02) {
            queue.swap(0, 1);
        }
        let Some(event) = queue.pop_front() else {
            return;
        };
        if has_faults && random.random_bool(0.05) {
            self.book.apply_event(now, number, event.clone());
        }
        self.book.apply_event(now, number, event);
    }

    /// Fails a run at the book; a frozen one goes on unseen, and its tokens come late.
    pub(crate) fn lose_run(&mut self, now: ClockMs, random: &mut ChaCha8Rng) {
        let numbers: Vec<RunNumber> = self.runs.keys().copied().collect();
        let Some(number) = choose(&numbers, random) else {
            return;
        };
        let is_frozen = random.random_bool(0.5);
        let failure = if is_frozen {
            AttemptFailure::EngineFrozen
        } else {
            self.runs.swap_remove(&number);
            AttemptFailure::EngineLost
        };
        self.book
            .apply_event(now, number, EngineEvent::Failed(failure));
    }

    /// Takes a pull and returns the news that is there at once.
    pub(crate) fn pull(
        &mut self,
        now: ClockMs,
        from: (usize, u32),
        request: &PullRequest,
    ) -> Option<Vec<Progress>> {
        match self.book.pull(now, request) {
            PullAnswer::Ready(news) => Some(news),
            PullAnswer::Waiting(number) => {
                self.pulls.insert(number, from);
                None
            }
        }
    }
}

pub(crate) fn choose<T: Copy>(items: &[T], random: &mut ChaCha8Rng) -> Option<T> {
    if items.is_empty() {
        return None;
    }
    Some(items[random.random_range(0..items.len())])
}

fn pick<'runs>(
    runs: &'runs mut IndexMap<RunNumber, EngineRun>,
    random: &mut ChaCha8Rng,
) -> Option<&'runs mut EngineRun> {
    let positions: Vec<usize> = (0..runs.len()).collect();
    let position = choose(&positions, random)?;
    runs.get_index_mut(position).map(|(_, run)| run)
}
