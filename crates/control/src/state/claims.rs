use {
    super::Answer,
    crate::fault::{self, Fault},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Claims and first answers are kept this long.
const KEEP_MS: u64 = 24 * 3600 * 1000;

/// Releases are remembered this long, so that a delayed copy of the released claim is recognised. Far above
/// the time for which a proposal is tried (6 s).
const KEEP_RELEASED_MS: u64 = 10 * 60 * 1000;

/// Bytes of first answers that are kept. A snapshot holds them as JSON, up to four times as large, and a store
/// takes snapshots of at most 64 MiB.
const KEPT_BYTES: usize = 8 * 1024 * 1024;

/// Claims beyond which new ones are refused, for the same bound on snapshots.
const MAX_CLAIMS: usize = 100_000;

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "end")]
pub enum Stored {
    /// Nothing was sent; the claim is given up and a resend may run.
    Released,
    /// The whole answer was received; the body is absent if it was too large to keep.
    Answered {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Vec<(String, Vec<u8>)>,
        /// The body.
        body: Option<Vec<u8>>,
    },
    /// It was sent and no whole answer was received.
    Unknown,
}

/// Where a claim stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "phase")]
pub enum Phase {
    /// The instance of this id and incarnation may send or has sent the request.
    Held {
        /// Id of the instance.
        instance: u64,
        /// Its incarnation.
        incarnation: u64,
    },
    /// The request ended.
    Ended(Stored),
}

/// The claim on one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the request.
    pub digest: u64,
    /// Where it stands.
    pub phase: Phase,
    /// Milliseconds since the Unix epoch of the last change.
    pub at_ms: u64,
}

/// The claims of a region group by account and key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Claims {
    claims: IndexMap<String, Claim>,
    /// Last release by account and key.
    #[serde(default)]
    released: IndexMap<String, Release>,
    /// Accounts and keys of the answers that are kept, oldest first.
    #[serde(default)]
    kept: VecDeque<String>,
    /// Bytes of these answers.
    #[serde(default)]
    kept_bytes: usize,
}

/// A claim that was given up.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Release {
    holder: (u64, u64),
    at_ms: u64,
}

impl Claims {
    /// Number of claims kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Tells whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Grants the claim on a key, or returns the record of the claim made earlier.
    ///
    /// The `at_ms` of claims and settlements of one holder never repeat and only grow, so that they tell a
    /// resend from another request and an old copy from a new command.
    pub fn claim(
        &mut self,
        id: (&str, &str),
        digest: u64,
        holder: (u64, u64),
        at_ms: u64,
    ) -> Answer {
        let id = name(id);
        let ignored = fault::is(Fault::ClaimGrantedTwice);
        if let Some(claim) = self.claims.get(&id).filter(|_| !ignored) {
            let resent = Phase::Held {
                instance: holder.0,
                incarnation: holder.1,
            };
            // A resend of the same proposal; its first answer was lost before anything was sent.
            if claim.phase == resent && claim.digest == digest && claim.at_ms == at_ms {
                return Answer::Granted;
            }
            return Answer::Claimed(claim.clone());
        }
        let stale = |release: &Release| release.holder == holder && at_ms <= release.at_ms;
        if self.released.get(&id).is_some_and(stale) {
            // The holder has given up this claim and told its caller so; nobody would ever end it.
            return Answer::Claimed(Claim {
                digest,
                phase: Phase::Ended(Stored::Released),
                at_ms,
            });
        }
        if self.claims.len() >= MAX_CLAIMS {
            return Answer::Full;
        }
        let phase = Phase::Held {
            instance: holder.0,
            incarnation: holder.1,
        };
        self.claims.insert(
            id,
            Claim {
                digest,
                phase,
                at_ms,
            },
        );
        Answer::Granted
    }

    /// Records the end of a request by the holder of its claim.
    pub fn settle(
        &mut self,
        id: (&str, &str),
        holder: (u64, u64),
        end: Stored,
        at_ms: u64,
    ) -> Answer {
        let id = name(id);
        let Some(claim) = self.claims.get_mut(&id) else {
            // The claim itself may still be on its way.
            self.note_release(id, holder, &end, at_ms);
            return Answer::Missing;
        };
        let held = Phase::Held {
            instance: holder.0,
            incarnation: holder.1,
        };
        // A settlement older than the claim is a delayed copy that ended an earlier claim of this holder.
        if claim.phase != held || at_ms < claim.at_ms {
            return Answer::Claimed(claim.clone());
        }
        if end == Stored::Released {
            self.claims.swap_remove(&id);
            self.note_release(id, holder, &end, at_ms);
            return Answer::Done;
        }
        let bytes = answer_bytes(&end);
        claim.phase = Phase::Ended(end);
        claim.at_ms = at_ms;
        if bytes > 0 {
            self.kept.push_back(id);
            self.kept_bytes += bytes;
            self.drop_answers();
        }
        Answer::Done
    }

    /// Drops the oldest answers; a resend then hears that the request ran and its answer was not kept.
    fn drop_answers(&mut self) {
        while self.kept_bytes > KEPT_BYTES {
            let Some(id) = self.kept.pop_front() else {
                return;
            };
            if let Some(Claim {
                phase: Phase::Ended(end),
                ..
            }) = self.claims.get_mut(&id)
            {
                self.kept_bytes -= answer_bytes(end);
                if let Stored::Answered { headers, body, .. } = end {
                    (*headers, *body) = (Vec::new(), None);
                }
            }
        }
    }

    fn note_release(&mut self, id: String, holder: (u64, u64), end: &Stored, at_ms: u64) {
        if *end == Stored::Released {
            self.released.insert(id, Release { holder, at_ms });
        }
    }

    /// Removes claims and releases older than they are kept.
    pub fn expire(&mut self, at_ms: u64) {
        self.claims
            .retain(|_, claim| claim.at_ms.saturating_add(KEEP_MS) >= at_ms);
        let claims = &self.claims;
        self.kept.retain(|id| claims.contains_key(id));
        let bytes = |id: &String| match claims.get(id).map(|claim| &claim.phase) {
            Some(Phase::Ended(end)) => answer_bytes(end),
            _ => 0,
        };
        self.kept_bytes = self.kept.iter().map(bytes).sum();
        self.released
            .retain(|_, release| release.at_ms.saturating_add(KEEP_RELEASED_MS) >= at_ms);
    }
}

/// Size of the headers and the body of a kept answer.
fn answer_bytes(end: &Stored) -> usize {
    let Stored::Answered { headers, body, .. } = end else {
        return 0;
    };
    let headers = headers.iter().map(|(name, value)| name.len() + value.len());
    headers.sum::<usize>() + body.as_ref().map_or(0, Vec::len)
}

/// Account names have no line feed, so the pair is unique.
fn name((account, key): (&str, &str)) -> String {
    format!("{account}\n{key}")
}
