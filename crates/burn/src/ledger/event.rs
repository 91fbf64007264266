use {model::account::Measure, std::time::Duration};

/// How one job or request went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome<'a> {
    /// It took this long; good if within the bound of the objective.
    Took(Duration),
    /// Good whatever the bound.
    Good,
    /// Bad, with a short reason such as `queue-full`.
    Bad(&'a str),
}

/// One event of a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// Client account.
    pub account: &'a str,
    /// Job class or request class, as in the objective.
    pub class: &'a str,
    /// The measured quantity.
    pub measure: Measure,
    /// How it went.
    pub outcome: Outcome<'a>,
}
