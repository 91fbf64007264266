use {
    super::Slot,
    async_trait::async_trait,
    control::{
        instance::{Instance, Query},
        state::{Answer, Claim, Command, Phase, Stored},
    },
    entry::Begin,
    std::sync::Arc,
};

/// Largest body of a first answer that is kept, in bytes.
const KEPT_BYTES: usize = 64 * 1024;

/// Group that keeps the configuration.
const CONFIG: &str = "config";

/// Claims in the group of the account's home region.
pub struct Claims {
    slot: Slot,
}

impl Claims {
    /// Returns claims that work once the slot is set.
    pub fn new(slot: Slot) -> Claims {
        Claims { slot }
    }

    fn home(&self, account: &str) -> Option<(Arc<Instance>, String)> {
        let instance = self.slot.get()?;
        let config = instance.current()?;
        let group = instance.home(config.homes.get(account)?)?.to_owned();
        Some((instance.clone(), group))
    }

    async fn settle(&self, account: &str, key: &str, end: Stored) -> bool {
        let Some((instance, group)) = self.home(account) else {
            return false;
        };
        let setup = instance.setup();
        let command = Command::Settle {
            account: account.to_owned(),
            key: key.to_owned(),
            instance: setup.id,
            incarnation: setup.incarnation,
            end,
            at_ms: setup.clock.wall_ms(),
        };
        instance.propose(&group, &command).await.is_ok()
    }
}

/// What a resend is told of an earlier claim.
async fn describe(instance: &Instance, claim: Claim, digest: u64) -> Begin {
    if claim.digest != digest {
        return Begin::Mismatch;
    }
    match claim.phase {
        Phase::Ended(Stored::Answered {
            status,
            headers,
            body,
        }) => Begin::Answered(route::claim::Answer {
            status,
            headers,
            body,
        }),
        Phase::Ended(Stored::Released | Stored::Unknown) => Begin::Unknown,
        Phase::Held {
            instance: id,
            incarnation,
        } => {
            let query = Query::Alive {
                instance: id,
                incarnation,
            };
            match instance.query::<bool>(CONFIG, &query).await {
                Ok(true) => Begin::Running,
                _ => Begin::Unknown,
            }
        }
    }
}

#[async_trait]
impl entry::Claims for Claims {
    async fn begin(&self, account: &str, key: &str, digest: u64) -> Begin {
        let Some((instance, group)) = self.home(account) else {
            return Begin::Unavailable;
        };
        let setup = instance.setup();
        let command = Command::Claim {
            account: account.to_owned(),
            key: key.to_owned(),
            digest,
            instance: setup.id,
            incarnation: setup.incarnation,
            at_ms: setup.clock.wall_ms(),
        };
        match instance.propose(&group, &command).await {
            Ok(Answer::Granted) => Begin::Granted,
            Ok(Answer::Claimed(claim)) => describe(&instance, claim, digest).await,
            _ => Begin::Unavailable,
        }
    }

    async fn sent(&self, _account: &str, _key: &str) {
        // The claim is committed before anything is sent; a resend learns nothing more from this.
    }

    async fn answer(&self, account: &str, key: &str, answer: entry::Answer) -> bool {
        let end = Stored::Answered {
            status: answer.status,
            headers: answer.headers,
            body: answer.body.filter(|body| body.len() <= KEPT_BYTES),
        };
        self.settle(account, key, end).await
    }

    async fn release(&self, account: &str, key: &str) -> bool {
        self.settle(account, key, Stored::Released).await
    }

    async fn lost(&self, account: &str, key: &str) -> bool {
        self.settle(account, key, Stored::Unknown).await
    }
}
