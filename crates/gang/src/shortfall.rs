use {model::place::Place, std::fmt};

/// A guarantee that cannot be met, fully or in part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Name of the client account.
    pub account: String,
    /// Name of the guarantee.
    pub guarantee: String,
    /// Place of the guarantee.
    pub place: Place,
    /// Number of guaranteed gangs that do not fit.
    pub missing: u16,
    /// Why they do not fit.
    pub cause: Cause,
}

/// Why a guarantee cannot be met.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The account is not permitted to use the place of the guarantee.
    NotPermitted,
    /// No worker in the place is in service.
    NoWorker,
    /// The shape would not fit even if every worker in service were idle.
    ShapeTooLarge,
    /// The shape fits an idle place, but not beside other guarantees and work that cannot be
    /// preempted.
    InsufficientCapacity,
    /// The quota of the account is less than its guarantees plus its pinned work outside of them.
    QuotaTooLow,
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Shortfall {
            account,
            guarantee,
            place,
            missing,
            ..
        } = self;
        write!(
            f,
            "`{account}.guarantees.{guarantee}`: {missing} missing in {place}: "
        )?;
        f.write_str(match self.cause {
            Cause::NotPermitted => "the account may not use the place; permit it or withdraw the guarantee",
            Cause::NoWorker => "no worker in service there; return or add workers",
            Cause::ShapeTooLarge => "no worker, rack or data centre there can hold the shape; make the shape smaller",
            Cause::InsufficientCapacity => {
                "other guarantees and work that cannot be stopped leave no room; add workers or lower a count"
            }
            Cause::QuotaTooLow => "the quota is below the guaranteed accelerators; raise the quota",
        })
    }
}
