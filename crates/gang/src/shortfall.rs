use {model::place::Place, std::fmt};

/// A guarantee, or a part of its count, that cannot be proved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Name of the client account.
    pub account: String,
    /// Name of the guarantee.
    pub guarantee: String,
    /// Where the shapes must fit.
    pub place: Place,
    /// Guaranteed gangs that do not fit.
    pub missing: u16,
    /// Why.
    pub cause: Cause,
}

/// Why a guarantee cannot be proved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The account may not use the place of the guarantee.
    NotPermitted,
    /// No worker in the place is in service.
    NoWorker,
    /// The shape fits nowhere in the place, even when every worker in service is empty.
    ShapeTooLarge,
    /// The shapes do not fit beside other guarantees and work that cannot be stopped.
    InsufficientCapacity,
    /// The account's quota is below the sum of its guarantees and its work that cannot be stopped.
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
