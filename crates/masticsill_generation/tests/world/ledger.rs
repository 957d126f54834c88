//! The naive version: every run's whole answer, as a plain list.

/// Answers by run. Every token is unique, so an answer that joins two runs always shows.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    answers: Vec<Vec<u32>>,
    producers: Vec<usize>,
}

impl Ledger {
    /// Notes a run that continues after the tokens given.
    pub(crate) fn begin(&mut self, resumed: &[u32]) -> usize {
        self.answers.push(resumed.to_vec());
        self.answers.len() - 1
    }

    /// Makes a run's next token and returns its index and number.
    pub(crate) fn produce(&mut self, run: usize) -> (u32, u32) {
        let id = u32::try_from(self.producers.len()).unwrap();
        let index = u32::try_from(self.answers[run].len()).unwrap();
        self.producers.push(run);
        self.answers[run].push(id);
        (index, id)
    }

    /// Whether the tokens are the beginning of the answer that produced the last of them.
    pub(crate) fn is_one_answer(&self, received: &[u32]) -> bool {
        let Some(last) = received.last() else {
            return true;
        };
        let run = self.producers[usize::try_from(*last).unwrap()];
        self.answers[run].starts_with(received)
    }
}
