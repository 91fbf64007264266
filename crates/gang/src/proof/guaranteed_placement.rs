use model::job::Member;

/// Where one gang of a guarantee fits beside all other guaranteed gangs and the work that cannot be
/// stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuaranteedPlacement {
    /// Name of the client account.
    pub account: String,
    /// Name of the guarantee.
    pub guarantee: String,
    /// The job that counts against the guarantee and uses this placement; `None` while the guarantee
    /// is unused.
    pub job: Option<u64>,
    /// One entry per task of the guaranteed shape.
    pub members: Vec<Member>,
}
