use {
    model::{place::Site, request::Ran},
    std::{fmt, time::Duration},
};

/// An action that the caller of the router must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Claim the request under its idempotency key, then report [`super::Event::Claimed`] or, if the claim
    /// was not granted, [`super::Event::Abandoned`].
    Claim {
        /// Id of the request, from [`super::Head`].
        request: u64,
    },
    /// Send the request to an upstream.
    Send {
        /// Id of the request, from [`super::Head`].
        request: u64,
        /// Unique id of this attempt within the instance.
        attempt: u64,
        /// Name of the upstream.
        upstream: String,
        /// Address of the upstream, as it announced it.
        address: String,
        /// Its site. The caller checks again, right before sending, that it is permitted to the account.
        site: Site,
        /// Whether the upstream is in another region.
        cross_region: bool,
        /// Whether another attempt of the request is still running.
        hedge: bool,
    },
    /// Stop an attempt, then report it by [`super::Event::Finished`].
    Cancel {
        /// Id of the request, from [`super::Head`].
        request: u64,
        /// Id of the attempt, from [`Action::Send`].
        attempt: u64,
    },
    /// Refuse the request. If it was claimed and did not run, its claim is released.
    Refuse {
        /// Id of the request, from [`super::Head`].
        request: u64,
        /// What the client is told.
        refusal: Refusal,
    },
}

/// What the client of a refused request is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Time after which a retry may succeed; none if no such time is known.
    pub retry_after: Option<Duration>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The instance has no valid lease on a configuration.
    Configuration,
    /// The client account is not in the configuration.
    Account,
    /// No live upstream of the service is at a place permitted to the account.
    Place,
    /// The predicted wait is too long for the deadline, or exceeds the bound on a standing queue.
    Overload,
    /// The queue of the account, class and service is full, or all queues together are.
    Full,
    /// The deadline passed, or passes before a waiting request can be answered.
    Deadline,
    /// The upstream failed, and the request may not be sent again, no other upstream can take it, or the retry
    /// budget is used up.
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
