use {
    super::{Outage, Outcome, Targets, Timeouts},
    crate::call::{Reply, Request, SERVICE},
    futures::{StreamExt, stream::FuturesUnordered},
    model::clock::Clock,
    peers::Peers,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time,
    wire::Verdict,
};

/// Delay before the next attempt after a failed one, or when every known instance is already being called. An election
/// takes about a second.
const RETRY_DELAY: Duration = Duration::from_millis(80);

/// Time without an answer after which the call is also sent to another instance. A commit takes about 30 ms across
/// regions and a few hundred milliseconds on a slow disk.
const HEDGE_DELAY: Duration = Duration::from_millis(250);

/// Redirects to a new leader that are followed without a delay.
const MAX_IMMEDIATE_REDIRECTS: u32 = 3;

/// Client of the leader. All calls can be repeated, because jobs and configurations carry their own ids.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

struct Shared {
    peers: Peers,
    clock: Arc<dyn Clock>,
    targets: Mutex<Targets>,
    /// When the leader last answered.
    last_answer_at: Mutex<Option<Instant>>,
}

impl Client {
    /// Creates a client without known instances; set them with [`Targets::set_seeds`].
    pub fn open(peers: Peers, clock: Arc<dyn Clock>) -> Client {
        Client {
            shared: Arc::new(Shared {
                peers,
                clock,
                targets: Mutex::default(),
                last_answer_at: Mutex::default(),
            }),
        }
    }

    /// The known instances, locked while the guard is held.
    pub fn targets(&self) -> MutexGuard<'_, Targets> {
        let targets = self.shared.targets.lock();
        targets.unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the leader last answered; `None` if it never has.
    pub fn since_last_answer(&self) -> Option<Duration> {
        let last_answer_at = *self.last_answer_at();
        last_answer_at.map(|at| self.shared.clock.now().saturating_duration_since(at))
    }

    /// Time without an answer of the leader, from which timeouts and retry delays are derived.
    pub fn outage(&self) -> Outage {
        Outage {
            since_last_answer: self.since_last_answer(),
        }
    }

    /// Calls the leader, and retries until it answers or `timeouts` expire.
    ///
    /// A frozen or partitioned instance cannot be told from a slow one. While it does not answer, the call is also
    /// sent to the others, so that a new leader is found as soon as it is elected.
    pub async fn call(&self, request: &Request, timeouts: impl Into<Timeouts>) -> Outcome {
        let bytes = match postcard::to_stdvec(request) {
            Ok(bytes) => bytes,
            Err(error) => return Outcome::NotRun(error.to_string()),
        };
        let timeouts = timeouts.into();
        let start = self.shared.clock.now();
        let mut attempts = FuturesUnordered::new();
        let mut pending: Vec<u64> = Vec::new();
        let mut reason = "no control instance is known".to_owned();
        let mut may_have_run = false;
        let mut redirects = 0;
        loop {
            let is_uncertain = may_have_run || !pending.is_empty();
            let deadline = match is_uncertain {
                true => start + timeouts.unknown,
                false => start + timeouts.not_run,
            };
            let remaining = deadline.saturating_duration_since(self.shared.clock.now());
            if remaining.is_zero() {
                return match is_uncertain {
                    true => Outcome::Unknown(reason),
                    false => Outcome::NotRun(reason),
                };
            }
            let target = self.targets().pick(&pending);
            if let Some(target) = target {
                pending.push(target);
                let answer = self.shared.peers.propose(target, SERVICE, &bytes);
                attempts.push(async move { (target, answer.await) });
            }
            let Ok(next) = time::timeout(HEDGE_DELAY.min(remaining), attempts.next()).await else {
                if let Some(target) = target {
                    reason = format!("instance {target} has not answered");
                }
                continue;
            };
            let Some((target, answer)) = next else {
                time::sleep(RETRY_DELAY.min(remaining)).await;
                continue;
            };
            pending.retain(|id| *id != target);
            match answer {
                Ok(Verdict::Answer(bytes)) => return self.handle_answer(target, &bytes),
                Ok(Verdict::NotLeader(leader)) => {
                    reason = format!("instance {target} does not lead");
                    let new_leader = leader.filter(|id| *id != target && !pending.contains(id));
                    let mut targets = self.targets();
                    if new_leader.is_some() || targets.leader() == Some(target) {
                        targets.set_leader(new_leader);
                    }
                    drop(targets);
                    redirects += 1;
                    if new_leader.is_some() && redirects <= MAX_IMMEDIATE_REDIRECTS {
                        continue;
                    }
                }
                Ok(Verdict::NotRun(text)) => reason = text,
                Ok(Verdict::Unknown(text)) => {
                    may_have_run = true;
                    reason = text;
                }
                Err(error) => {
                    may_have_run |= matches!(error, peers::Error::NoAnswer(_));
                    reason = error.to_string();
                    self.targets().fail(target);
                }
            }
            time::sleep(RETRY_DELAY.min(remaining)).await;
        }
    }

    fn handle_answer(&self, target: u64, bytes: &[u8]) -> Outcome {
        match postcard::from_bytes::<Reply>(bytes) {
            Ok(reply) => {
                *self.last_answer_at() = Some(self.shared.clock.now());
                self.record_leader(target);
                if let Reply::Members(members) = &reply {
                    self.targets().set_members(members.clone());
                }
                Outcome::Answered(reply)
            }
            Err(error) => Outcome::Unknown(format!("malformed answer: {error}")),
        }
    }

    fn record_leader(&self, id: u64) {
        let mut targets = self.targets();
        if targets.leader() != Some(id) {
            log::info!("event=leader_found leader={id}");
            targets.set_leader(Some(id));
        }
    }

    fn last_answer_at(&self) -> MutexGuard<'_, Option<Instant>> {
        let last_answer_at = self.shared.last_answer_at.lock();
        last_answer_at.unwrap_or_else(PoisonError::into_inner)
    }
}
