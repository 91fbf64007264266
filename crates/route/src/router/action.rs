use {
    model::{place::Site, request::Ran},
    std::{fmt, time::Duration},
};

/// What the caller of the router must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Claim the request; answered by [`super::Event::Claimed`] or [`super::Event::Abandoned`].
    Claim {
        /// The request.
        request: u64,
    },
    /// Send the request to an upstream.
    Send {
        /// The request.
        request: u64,
        /// Unique id of this attempt within the instance.
        attempt: u64,
        /// The upstream.
        upstream: String,
        /// Its address.
        address: String,
        /// Its site, to be checked against the account's places once more before sending.
        site: Site,
        /// Whether the upstream is in another region.
        cross_region: bool,
        /// Whether another attempt still runs.
        hedge: bool,
    },
    /// Stop an attempt and report it as finished.
    Cancel {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: u64,
    },
    /// Refuse the request. If it was claimed and did not run, its claim is released.
    Refuse {
        /// The request.
        request: u64,
        /// What the caller is told.
        refusal: Refusal,
    },
}

/// What the caller of a refused request is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether the work may have run.
    pub ran: Ran,
    /// When a resend has a chance.
    pub retry_after: Option<Duration>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The instance has no valid configuration lease.
    Configuration,
    /// No such client account.
    Account,
    /// No live upstream of the service is at a permitted place.
    Place,
    /// The predicted wait exceeds the deadline.
    Overload,
    /// The queue is full.
    Full,
    /// The deadline passed.
    Deadline,
    /// The upstream failed and the request may not be sent again.
    Upstream,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Configuration => "this instance has no configuration in force",
            Reason::Account => "the client account is not in the configuration",
            Reason::Place => {
                "no live upstream of the service is at a place permitted to the account"
            }
            Reason::Overload => "the predicted wait exceeds the deadline",
            Reason::Full => "the queue of the account and class is full",
            Reason::Deadline => "the deadline passed",
            Reason::Upstream => "the upstream failed",
        })
    }
}
