use {
    super::{Answer, State},
    crate::faults::{Fault, injected},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Largest body that is kept with an answer; a larger one is left out, and the answer is kept without it.
pub const MAX_KEPT_BODY_BYTES: usize = 64 * 1024;

/// Time for which a claim is kept after its last change.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// A claim: the right of one process to send a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest that the caller computes over the request; the same key with another digest is refused as
    /// [`Reply::Mismatch`].
    pub digest: u64,
    /// The instance that may send it.
    pub instance: u64,
    /// Boot number of the process that may send it; differs for each start of the instance.
    pub boot: u64,
    /// What is known about the request.
    pub state: State,
    /// Wall time of the last change, in milliseconds.
    pub at_ms: u64,
}

/// Reply to [`Table::claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The claim is new; its holder may send the request once.
    Granted,
    /// The request ran under an earlier claim; this is its answer.
    Answered(Answer),
    /// An earlier claim is held, and its request may be running.
    Running,
    /// The request may have run under an earlier claim; whether it did cannot be determined.
    Unknown,
    /// The key was used for another request.
    Mismatch,
}

/// The claims of a region group, by account and idempotency key.
///
/// `holder` is the instance and boot number of the process that made the claim; only that process can change
/// it. Methods that change a claim return false if the holder has no such claim or its state does not allow
/// the change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    records: IndexMap<String, Record>,
}

/// Account names contain no newline, so the joined text is unique.
fn record_key(account: &str, key: &str) -> String {
    format!("{account}\n{key}")
}

impl Table {
    /// Claims a request for the process `(instance, boot)`, unless the key has a claim that is neither released
    /// nor expired; then tells what became of that one.
    pub fn claim(
        &mut self,
        account: &str,
        key: &str,
        digest: u64,
        (instance, boot): (u64, u64),
        now_ms: u64,
    ) -> Reply {
        let record_key = record_key(account, key);
        if let Some(record) = self.records.get(&record_key).filter(|r| !r.expired(now_ms)) {
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
            record_key,
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

    /// Records that bytes of the request were sent to an upstream.
    pub fn mark_sent(&mut self, account: &str, key: &str, holder: (u64, u64), now_ms: u64) -> bool {
        self.change(account, key, holder, now_ms, State::Sent)
    }

    /// Records the whole answer, without its body if that exceeds [`MAX_KEPT_BODY_BYTES`]. Later claims of the
    /// key get this answer.
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

    /// Records that nothing was or will be sent under the claim, so that the key can be claimed again. Returns
    /// true if the holder has no claim under this key afterwards, also if it never had one.
    pub fn release(&mut self, account: &str, key: &str, holder: (u64, u64), now_ms: u64) -> bool {
        let held = self.get(account, key).is_some_and(|record| {
            (record.instance, record.boot) == holder && record.state != State::Released
        });
        !held || self.change(account, key, holder, now_ms, State::Released)
    }

    /// Records that the answer was lost, so that it is unknown whether the request ran.
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
        let Some(record) = self.records.get_mut(&record_key(account, key)) else {
            return false;
        };
        let allowed = match (&record.state, &next) {
            (State::Claimed, _) => true,
            (State::Sent, State::Answered(_) | State::Unknown | State::Sent) => true,
            // An instance that was declared dead may still report the answer.
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

    /// Sets the claims of `instance` that are claimed or sent to unknown, except those of the process `live_boot`,
    /// which is none if no process of the instance is live.
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

    /// Removes claims that have not changed for [`RETENTION`], except those that are claimed or sent.
    pub fn expire(&mut self, now_ms: u64) {
        self.records.retain(|_, record| !record.expired(now_ms));
    }

    /// The claim with this key, also if it has expired and was not yet removed.
    pub fn get(&self, account: &str, key: &str) -> Option<&Record> {
        self.records.get(&record_key(account, key))
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
