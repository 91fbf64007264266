use crate::call::Reply;

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The leader answered.
    Answered(Reply),
    /// The call was not carried out and never will be.
    NotRun(String),
    /// It is not known whether the call was carried out.
    Unknown(String),
}
