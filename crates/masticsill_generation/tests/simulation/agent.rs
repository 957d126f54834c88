//! An agent's generation table with an engine that delays, fails, freezes and thaws.

use std::collections::VecDeque;

use indexmap::IndexMap;
use masticsill_generation::{
    EngineCommand, EngineEvent, GenerationTable, PullAnswer, PullNumber, RunNumber,
};
use masticsill_types::{AttemptFailure, ClockMs, FinishReason, TokenIndex};
use masticsill_wire::agent::{Progress, PullRequest};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::reference::ReferenceAnswers;
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
    pub(crate) table: GenerationTable,
    pub(crate) incarnation: u32,
    pub(crate) pulls: IndexMap<PullNumber, (usize, u32)>,
    runs: IndexMap<RunNumber, EngineRun>,
}

impl Agent {
    pub(crate) fn new(incarnation: u32) -> Self {
        Self {
            table: GenerationTable::new(LIMITS),
            incarnation,
            pulls: IndexMap::new(),
            runs: IndexMap::new(),
        }
    }

    /// Executes the table's commands. The engine ignores some of the cancels.
    pub(crate) fn execute_commands(
        &mut self,
        random: &mut ChaCha8Rng,
        reference: &mut ReferenceAnswers,
    ) {
        for command in self.table.take_commands() {
            match command {
                EngineCommand::Run(run_request) => {
                    let resumed = &run_request.resume_token_ids;
                    assert!(
                        reference.is_prefix_of_one_answer(resumed),
                        "an engine resumes a mixed answer"
                    );
                    let run = EngineRun {
                        answer: reference.begin(resumed),
                        is_over: false,
                        max_tokens: run_request.spec.sampling.max_tokens,
                        queue: VecDeque::new(),
                    };
                    self.runs.insert(run_request.run, run);
                }
                EngineCommand::Cancel(run) => {
                    if random.random_bool(0.5) {
                        self.runs.swap_remove(&run);
                    }
                }
            }
        }
    }

    /// Lets one run produce up to three tokens, which the table receives later.
    pub(crate) fn produce_tokens(
        &mut self,
        random: &mut ChaCha8Rng,
        reference: &mut ReferenceAnswers,
    ) {
        let Some(run) = pick(&mut self.runs, random) else {
            return;
        };
        let mut first_index = None;
        let mut ids = Vec::new();
        for _ in 0..random.random_range(1..=3) {
            if run.is_over {
                break;
            }
            let (index, id) = reference.produce(run.answer);
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

    /// Delivers one event to the table. With faults, some events arrive twice or out of order.
    pub(crate) fn deliver_event(
        &mut self,
        now: ClockMs,
        random: &mut ChaCha8Rng,
        has_faults: bool,
    ) {
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
            self.table.apply_event(now, number, event.clone());
        }
        self.table.apply_event(now, number, event);
    }

    /// Fails a run in the table. A frozen run continues at the engine, and its tokens arrive late.
    pub(crate) fn fail_run(&mut self, now: ClockMs, random: &mut ChaCha8Rng) {
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
        self.table
            .apply_event(now, number, EngineEvent::Failed(failure));
    }

    /// Passes a pull to the table and returns the updates that are available at once.
    pub(crate) fn pull(
        &mut self,
        now: ClockMs,
        from: (usize, u32),
        request: &PullRequest,
    ) -> Option<Vec<Progress>> {
        match self.table.pull(now, request) {
            PullAnswer::Ready(updates) => Some(updates),
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
