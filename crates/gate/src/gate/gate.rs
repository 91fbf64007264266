use {
    super::{Outcome, Targets},
    crate::call::{Reply, Request, SERVICE},
    model::clock::Clock,
    peers::Peers,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time,
    wire::Verdict,
};

/// Pause before another instance is asked while no leader is known. An election takes about a second.
const PAUSE: Duration = Duration::from_millis(80);

/// Redirects that are followed without a pause.
const REDIRECTS: u32 = 3;

/// Calls the leader. All calls can be repeated: jobs and configurations have ids of their own.
#[derive(Clone)]
pub struct Gate {
    shared: Arc<Shared>,
}

struct Shared {
    peers: Peers,
    clock: Arc<dyn Clock>,
    targets: Mutex<Targets>,
    /// When the leader last answered.
    answered: Mutex<Option<Instant>>,
}

impl Gate {
    /// A gate that knows no instance yet.
    pub fn open(peers: Peers, clock: Arc<dyn Clock>) -> Gate {
        Gate {
            shared: Arc::new(Shared {
                peers,
                clock,
                targets: Mutex::default(),
                answered: Mutex::default(),
            }),
        }
    }

    /// Which instances to call.
    pub fn targets(&self) -> MutexGuard<'_, Targets> {
        let targets = self.shared.targets.lock();
        targets.unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the leader last answered; none if it never has.
    pub fn silence(&self) -> Option<Duration> {
        let answered = *self.answered();
        answered.map(|at| self.shared.clock.now().saturating_duration_since(at))
    }

    /// Calls the leader, and repeats the call for at most `patience` while none answers.
    pub async fn call(&self, request: &Request, patience: Duration) -> Outcome {
        let bytes = match postcard::to_stdvec(request) {
            Ok(bytes) => bytes,
            Err(error) => return Outcome::NotRun(error.to_string()),
        };
        let until = self.shared.clock.now() + patience;
        let mut reason = "no control instance is known".to_owned();
        let mut unknown = false;
        let mut redirects = 0;
        loop {
            let target = self.targets().pick();
            let left = until.saturating_duration_since(self.shared.clock.now());
            if left.is_zero() {
                return match unknown {
                    true => Outcome::Unknown(reason),
                    false => Outcome::NotRun(reason),
                };
            }
            let Some(target) = target else {
                time::sleep(PAUSE.min(left)).await;
                continue;
            };
            let answer = self.shared.peers.propose(target, SERVICE, &bytes);
            match time::timeout(left, answer).await {
                Ok(Ok(Verdict::Answer(bytes))) => {
                    return self.take(target, &bytes);
                }
                Ok(Ok(Verdict::NotLeader(leader))) => {
                    reason = format!("instance {target} does not lead");
                    let mut targets = self.targets();
                    let news = leader.filter(|leader| *leader != target);
                    targets.set_leader(news);
                    drop(targets);
                    redirects += 1;
                    if news.is_some() && redirects <= REDIRECTS {
                        continue;
                    }
                }
                Ok(Ok(Verdict::NotRun(text))) => reason = text,
                Ok(Ok(Verdict::Unknown(text))) => {
                    unknown = true;
                    reason = text;
                }
                Ok(Err(peers::Error::NoAnswer(text))) => {
                    unknown = true;
                    reason = text;
                    self.targets().fail(target);
                }
                Ok(Err(error)) => {
                    reason = error.to_string();
                    self.targets().fail(target);
                }
                Err(_) => {
                    unknown = true;
                    reason = format!("no answer from instance {target} in time");
                    self.targets().fail(target);
                }
            }
            time::sleep(PAUSE.min(left)).await;
        }
    }

    fn take(&self, target: u64, bytes: &[u8]) -> Outcome {
        match postcard::from_bytes::<Reply>(bytes) {
            Ok(reply) => {
                *self.answered() = Some(self.shared.clock.now());
                self.note_leader(target);
                if let Reply::Members(members) = &reply {
                    self.targets().set_members(members.clone());
                }
                Outcome::Answered(reply)
            }
            Err(error) => Outcome::Unknown(format!("malformed answer: {error}")),
        }
    }

    fn note_leader(&self, id: u64) {
        let mut targets = self.targets();
        if targets.leader() != Some(id) {
            log::info!("event=leader_found leader={id}");
            targets.set_leader(Some(id));
        }
    }

    fn answered(&self) -> MutexGuard<'_, Option<Instant>> {
        let answered = self.shared.answered.lock();
        answered.unwrap_or_else(PoisonError::into_inner)
    }
}
