use {model::request::Class, std::time::Duration};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ended {
    /// The whole answer was passed to the caller.
    Answered,
    /// Refused; the work did not run.
    NotRun,
    /// Refused; the work may have run.
    Unknown,
    /// The caller's connection was ended in the middle of the answer.
    Broken,
    /// The caller went away.
    Abandoned,
}

/// The record of one finished request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finished {
    /// The client account; empty if the request named none.
    pub account: String,
    /// The class.
    pub class: Class,
    /// The status that the caller got; 0 if none.
    pub status: u16,
    /// From arrival to the last send to an upstream, or to the refusal.
    pub wait: Duration,
    /// From the last send to the end of the answer.
    pub service: Duration,
    /// How it ended.
    pub outcome: Ended,
    /// Body bytes in both directions.
    pub bytes: u64,
    /// Body bytes in both directions over the link between regions.
    pub cross_region_bytes: u64,
}

/// Receives one record per finished request.
pub trait Observer: Send + Sync {
    /// Takes a record; must not block.
    fn finished(&self, record: Finished);
}
