use async_trait::async_trait;
pub use route::claim::Answer;

/// What a non-idempotent request with a key finds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// The claim is committed; the request may be sent once.
    Granted,
    /// It ran; this is the first answer, without body if that was not kept.
    Answered(Answer),
    /// An instance runs it.
    Running,
    /// It may have run.
    Unknown,
    /// The key belongs to another request.
    Mismatch,
    /// No claim could be committed, or it is unknown whether one was.
    Unavailable,
}

/// Durable claims of non-idempotent requests.
#[async_trait]
pub trait Claims: Send + Sync {
    /// Claims the request for this process; returns only after the claim is committed.
    async fn begin(&self, account: &str, key: &str, digest: u64) -> Begin;

    /// Records that bytes are sent. The request path does not wait for it: a claim whose instance dies is
    /// unknown either way.
    async fn sent(&self, account: &str, key: &str);

    /// Commits the first answer. Returns false if that failed.
    async fn answer(&self, account: &str, key: &str, answer: Answer) -> bool;

    /// Commits that nothing was sent. Returns true once this process has no claim under the key, also if it
    /// never had one; false if that could not be found out.
    async fn release(&self, account: &str, key: &str) -> bool;

    /// Commits that the answer was lost. Returns false if that failed.
    async fn lost(&self, account: &str, key: &str) -> bool;
}
