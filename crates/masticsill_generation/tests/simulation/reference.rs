//! The naive model: the whole answer of every run, as a plain list.

/// Answers by run. Every token is unique, so an answer that mixes two runs is always detected.
#[derive(Debug, Default)]
pub(crate) struct ReferenceAnswers {
    answers: Vec<Vec<u32>>,
    producers: Vec<usize>,
}

impl ReferenceAnswers {
    /// Adds a run that continues after the given tokens and returns its number.
    pub(crate) fn begin(&mut self, resumed: &[u32]) -> usize {
        self.answers.push(resumed.to_vec());
        self.answers.len() - 1
    }

    /// Produces a run's next token and returns its index and id.
    pub(crate) fn produce(&mut self, run: usize) -> (u32, u32) {
        let id = u32::try_from(self.producers.len()).unwrap();
        let index = u32::try_from(self.answers[run].len()).unwrap();
        self.producers.push(run);
        self.answers[run].push(id);
        (index, id)
    }

    /// Whether the tokens are a prefix of the answer whose run produced the last of them.
    pub(crate) fn is_prefix_of_one_answer(&self, received: &[u32]) -> bool {
        let Some(last) = received.last() else {
            return true;
        };
        let run = self.producers[usize::try_from(*last).unwrap()];
        self.answers[run].starts_with(received)
    }
}
