use {
    super::{Answer, State},
    crate::faults::{Fault, injected},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Largest body that is kept with an answer.
pub const MAX_KEPT_BODY_BYTES: usize = 64 * 1024;

/// Time for which a claim is kept after its last change.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the request.
    pub digest: u64,
    /// The instance that may send it.
    pub instance: u64,
    /// The process that may send it.
    pub boot: u64,
    /// Where it stands.
    pub state: State,
    /// Wall time of the last change, in milliseconds.
    pub at_ms: u64,
}

/// Result of claiming a request under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request may be sent once.
    Granted,
    /// It ran; this is the first answer.
    Answered(Answer),
    /// An instance is running it.
    Running,
    /// It may have run.
    Unknown,
    /// The key belongs to another request.
    Mismatch,
}

/// All claims of a region group, by account and key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    records: IndexMap<String, Record>,
}

/// Account names have no newline, so the joined text is unique.
fn index(account: &str, key: &str) -> String {
    format!("{account}\n{key}")
}

impl Table {
    /// Claims a request, or returns the state of the earlier one with this key.
    pub fn claim(
        &mut self,
        account: &str,
        key: &str,
        digest: u64,
        (instance, boot): (u64, u64),
        now_ms: u64,
    ) -> Reply {
        let index = index(account, key);
        if let Some(record) = self.records.get(&index).filter(|r| !r.expired(now_ms)) {
            if record.digest != digest {
                return Reply::Mismatch;
            }
            match &record.state {
                State::Claimed | State::Sent => return Reply::Running,
                State::Answered(answer) => return Reply::Answered(answer.clone()),
                State::Unknown => return Reply::Unknown,
                State::Released => {}
            }
        }
        let state = State::Claimed;
        self.records.insert(
            index,
            Record {
                digest,
                instance,
                boot,
                state,
                at_ms: now_ms,
            },
        );
        Reply::Granted
    }

    /// Records that bytes were sent. Returns false if the claim is not this process's to send.
    pub fn mark_sent(&mut self, account: &str, key: &str, holder: (u64, u64), now_ms: u64) -> bool {
        self.change(account, key, holder, now_ms, State::Sent)
    }

    /// Records the whole answer.
    pub fn record_answer(
        &mut self,
        account: &str,
        key: &str,
        holder: (u64, u64),
        mut answer: Answer,
        now_ms: u64,
    ) -> bool {
        if answer
            .body
            .as_ref()
            .is_some_and(|body| body.len() > MAX_KEPT_BODY_BYTES)
        {
            answer.body = None;
        }
        self.change(account, key, holder, now_ms, State::Answered(answer))
    }

    /// Records that nothing was or will be sent under the claim. Returns true if the holder has no claim
    /// under this key afterwards, also if it never had one.
    pub fn release(&mut self, account: &str, key: &str, holder: (u64, u64), now_ms: u64) -> bool {
        let held = self.get(account, key).is_some_and(|record| {
            (record.instance, record.boot) == holder && record.state != State::Released
        });
        !held || self.change(account, key, holder, now_ms, State::Released)
    }

    /// Records that the answer was lost.
    pub fn mark_unknown(
        &mut self,
        account: &str,
        key: &str,
        holder: (u64, u64),
        now_ms: u64,
    ) -> bool {
        self.change(account, key, holder, now_ms, State::Unknown)
    }

    fn change(
        &mut self,
        account: &str,
        key: &str,
        holder: (u64, u64),
        now_ms: u64,
        next: State,
    ) -> bool {
        let Some(record) = self.records.get_mut(&index(account, key)) else {
            return false;
        };
        let allowed = match (&record.state, &next) {
            (State::Claimed, _) => true,
            (State::Sent, State::Answered(_) | State::Unknown | State::Sent) => true,
            // The answer can arrive after its instance was declared dead.
            (State::Unknown, State::Answered(_)) => true,
            _ => false,
        };
        if (record.instance, record.boot) != holder || !allowed {
            return false;
        }
        record.state = next;
        record.at_ms = now_ms;
        true
    }

    /// Marks the claims of a dead instance as unknown: those of every process other than `live_boot`.
    pub fn mark_instance_dead(&mut self, instance: u64, live_boot: Option<u64>, now_ms: u64) {
        let dead = |record: &Record| record.instance == instance && Some(record.boot) != live_boot;
        if injected(Fault::ForgottenClaim) {
            self.records.retain(|_, record| !dead(record));
            return;
        }
        for record in self.records.values_mut().filter(|record| dead(record)) {
            if matches!(record.state, State::Claimed | State::Sent) {
                record.state = State::Unknown;
                record.at_ms = now_ms;
            }
        }
    }

    /// Removes claims that were kept long enough; running ones stay.
    pub fn expire(&mut self, now_ms: u64) {
        self.records.retain(|_, record| !record.expired(now_ms));
    }

    /// The claim with this key.
    pub fn get(&self, account: &str, key: &str) -> Option<&Record> {
        self.records.get(&index(account, key))
    }

    /// Number of claims kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl Record {
    fn expired(&self, now_ms: u64) -> bool {
        !matches!(self.state, State::Claimed | State::Sent)
            && now_ms.saturating_sub(self.at_ms) >= RETENTION.as_millis() as u64
    }
}
