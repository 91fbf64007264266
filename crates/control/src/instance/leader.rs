use {
    super::{Error, Instance, Method, Query},
    crate::{
        peers,
        state::{Answer, Command},
    },
    serde::de::DeserializeOwned,
    std::time::Duration,
    tokio::time,
    wire::Verdict,
};

/// Time for which a command or query is tried on the instances that may lead.
const ASK_LIMIT: Duration = Duration::from_secs(6);

/// Pause before the next round when no instance leads.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// What is asked of a group's leader.
#[derive(Clone, Copy)]
enum Ask<'a> {
    Propose(&'a [u8]),
    Query(&'a [u8]),
    Report(&'a [u8]),
}

impl Instance {
    /// Executes a command in a group, wherever its leader is. Every command may be proposed more than once,
    /// so an answer that was lost is asked for again.
    pub async fn propose(&self, group: &str, command: &Command) -> Result<Answer, Error> {
        let mut command = command.clone();
        if let Command::Claim { at_ms, .. } | Command::Settle { at_ms, .. } = &mut command {
            *at_ms = self.stamp(*at_ms);
        }
        let bytes = self.ask(group, Ask::Propose(&command.encode())).await?;
        serde_json::from_slice(&bytes).map_err(|error| Error::Unknown(error.to_string()))
    }

    /// Reads from the leader of a group.
    pub async fn query<T: DeserializeOwned>(&self, group: &str, query: &Query) -> Result<T, Error> {
        let bytes = serde_json::to_vec(query).map_err(|error| Error::NotRun(error.to_string()))?;
        let bytes = self.ask(group, Ask::Query(&bytes)).await?;
        serde_json::from_slice(&bytes).map_err(|error| Error::NotRun(error.to_string()))
    }

    /// Reports to the leader of a group; returns its grants.
    pub(super) async fn report(&self, group: &str, report: &[u8]) -> Result<Vec<u8>, Error> {
        self.ask(group, Ask::Report(report)).await
    }

    async fn ask(&self, group: &str, ask: Ask<'_>) -> Result<Vec<u8>, Error> {
        let members = self
            .setup
            .groups
            .get(group)
            .ok_or_else(|| Error::NotRun(format!("there is no group {group}")))?;
        let end = self.setup.clock.now() + ASK_LIMIT;
        let mut unknown = None;
        let mut reason = String::from("no instance of the group leads");
        let mut next = self.hint(group);
        let mut index = 0;
        let mut redirected = false;
        loop {
            let target = next.take().unwrap_or_else(|| {
                index += 1;
                members[index % members.len()]
            });
            match self.ask_one(target, group, ask).await {
                Ok(Verdict::Answer(bytes)) => {
                    self.remember(group, target);
                    return Ok(bytes);
                }
                Ok(Verdict::NotLeader(leader)) => next = leader.filter(|id| *id != target),
                // The leader itself refuses, so no other instance will accept.
                Ok(Verdict::NotRun(text)) if unknown.is_none() => return Err(Error::NotRun(text)),
                Ok(Verdict::NotRun(text)) => reason = text,
                Ok(Verdict::Unknown(text)) => unknown = Some(text),
                Err(peers::Error::NoAnswer(text)) => unknown = Some(text),
                Err(error) => reason = error.to_string(),
            }
            if self.setup.clock.now() >= end {
                return Err(match (unknown, ask) {
                    (Some(text), Ask::Propose(_)) => Error::Unknown(text),
                    (Some(text), _) => Error::NotRun(text),
                    (None, _) => Error::NotRun(reason),
                });
            }
            // Two instances that take each other for the leader would be asked without a pause.
            if next.is_none() || redirected {
                time::sleep(ASK_PAUSE).await;
            }
            redirected = next.is_some() && !redirected;
        }
    }

    async fn ask_one(
        &self,
        target: u64,
        group: &str,
        ask: Ask<'_>,
    ) -> Result<Verdict, peers::Error> {
        if target == self.setup.id {
            let answer = async {
                match ask {
                    Ask::Propose(bytes) => self.execute(group, bytes).await,
                    Ask::Query(bytes) => self.answer(group, bytes).await,
                    Ask::Report(bytes) => self.take_report(group, self.setup.id, bytes).await,
                }
            };
            // A replica whose disk has stalled does not answer.
            let limit = self.setup.call_timeout;
            return time::timeout(limit, answer).await.map_err(|_| {
                let reason = format!("no answer within {} ms", limit.as_millis());
                peers::Error::NoAnswer(reason)
            });
        }
        match ask {
            Ask::Propose(bytes) => {
                let result = self.peers.propose(target, group, bytes).await;
                self.calls.made(Method::Propose, result)
            }
            Ask::Query(bytes) => {
                let result = self.peers.query(target, group, bytes).await;
                self.calls.made(Method::Query, result)
            }
            Ask::Report(bytes) => {
                let result = self.peers.report(target, group, bytes).await;
                self.calls.made(Method::Report, result)
            }
        }
    }

    /// The instance that is believed to lead a group.
    pub(super) fn hint(&self, group: &str) -> Option<u64> {
        let local = self.groups.get(group).and_then(|group| group.view().leader);
        local.or_else(|| self.hints().get(group).copied())
    }

    pub(super) fn remember(&self, group: &str, leader: u64) {
        self.hints().insert(group.to_owned(), leader);
    }
}
