use {
    crate::fault::{self, Fault},
    indexmap::IndexMap,
    model::{
        config::Config,
        note::{Note, Outcome, Submission},
    },
    serde::{Deserialize, Serialize},
};

/// Outcomes of submissions are kept at least this long for resends.
const KEEP_OUTCOMES_MS: u64 = 7 * 24 * 3600 * 1000;

/// At least this many outcomes are kept whatever their age.
const KEEP_OUTCOMES: usize = 4096;

/// Accepted notes kept for the history.
const KEEP_NOTES: usize = 10_000;

/// An accepted note.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The number it made current.
    pub number: u64,
    /// Key of its submission.
    pub key: String,
    /// Milliseconds since the Unix epoch, by the leader's clock.
    pub at_ms: u64,
    /// The note.
    pub note: Note,
}

/// Decision on one submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Decided {
    expected: u64,
    note: Note,
    outcome: Outcome,
    at_ms: u64,
}

/// The configuration with its history and the outcomes of all recent submissions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Book {
    config: Config,
    history: Vec<Record>,
    outcomes: IndexMap<String, Decided>,
}

impl Book {
    /// The current configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Accepted notes with numbers above `after`, oldest first.
    pub fn history(&self, after: u64) -> &[Record] {
        let start = self
            .history
            .partition_point(|record| record.number <= after);
        &self.history[start..]
    }

    /// Outcome of an earlier submission with this key.
    pub fn outcome(&self, key: &str) -> Option<&Outcome> {
        self.outcomes.get(key).map(|decided| &decided.outcome)
    }

    /// Decides a submission: applied as a whole under the expected number, or not at all.
    pub fn submit(&mut self, submission: Submission, at_ms: u64) -> Outcome {
        if let Some(decided) = self.outcomes.get(&submission.key) {
            let same = decided.note == submission.note && decided.expected == submission.expected;
            return if same {
                decided.outcome.clone()
            } else {
                Outcome::KeyReused
            };
        }
        let outcome = self.decide(&submission, at_ms);
        self.outcomes.insert(
            submission.key,
            Decided {
                expected: submission.expected,
                note: submission.note,
                outcome: outcome.clone(),
                at_ms,
            },
        );
        outcome
    }

    fn decide(&mut self, submission: &Submission, at_ms: u64) -> Outcome {
        let number = self.config.number;
        if submission.expected != number && !fault::is(Fault::NoteWithoutCompare) {
            return self.conflict(submission.expected);
        }
        match self.config.apply(&submission.note) {
            Ok(next) => {
                self.config = next;
                self.history.push(Record {
                    number: self.config.number,
                    key: submission.key.clone(),
                    at_ms,
                    note: submission.note.clone(),
                });
                if self.history.len() > KEEP_NOTES {
                    self.history.remove(0);
                }
                Outcome::Accepted {
                    number: self.config.number,
                }
            }
            Err(faults) => Outcome::Refused {
                faults: faults.iter().map(ToString::to_string).collect(),
            },
        }
    }

    /// Names the note that holds the number after the expected one.
    fn conflict(&self, expected: u64) -> Outcome {
        let winner = self.history(expected).first();
        let (winner, summary) = match winner {
            Some(record) => (record.key.clone(), record.note.summary.clone()),
            None => (
                String::new(),
                "the expected number was never reached".into(),
            ),
        };
        Outcome::Conflict {
            number: self.config.number,
            winner,
            summary,
        }
    }

    /// Removes outcomes that are both older than they must be kept and not among the latest.
    pub fn expire(&mut self, at_ms: u64) {
        let surplus = self.outcomes.len().saturating_sub(KEEP_OUTCOMES);
        let old = |decided: &Decided| decided.at_ms.saturating_add(KEEP_OUTCOMES_MS) < at_ms;
        let count = self
            .outcomes
            .values()
            .take(surplus)
            .take_while(|d| old(d))
            .count();
        self.outcomes.drain(..count);
    }
}
