use crate::call::Reply;

/// Outcome of a call to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The leader answered.
    Answered(Reply),
    /// The call was not carried out and never will be; the text gives the reason.
    NotRun(String),
    /// It is not known whether the call was carried out; the text gives the reason.
    Unknown(String),
}
