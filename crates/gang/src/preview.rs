use {
    model::job::Member,
    serde::{Deserialize, Serialize},
};

/// What would become of a job if it was submitted now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Preview {
    /// It would get a place at once.
    Starts {
        /// Worker and accelerators of every task.
        members: Vec<Member>,
        /// Whether it would count against none of the guarantees of its account.
        borrowed: bool,
    },
    /// It would wait.
    Waits {
        /// The rule that blocks it and what would unblock it.
        reason: String,
        /// Jobs that would be stopped for it.
        stopped: Vec<u64>,
    },
    /// It would fail without a start.
    Fails {
        /// Why it cannot run.
        reason: String,
    },
}
