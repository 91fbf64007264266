use {
    super::chain::Context,
    crate::{
        call::Call,
        deps::{Begin, Claims},
        desk::Ticket,
        refusal::{Refused, Told},
    },
    http::StatusCode,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Time to commit a claim. The group answers within its call timeout; this bounds a fault of the group.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);

/// Times that the end of a claim is reported before the group is left to find out by itself.
const SETTLE_TRIES: u32 = 3;

/// A claim that this request holds.
pub(super) struct Claimed {
    claims: Arc<dyn Claims>,
    account: String,
    key: String,
}

/// Claims a request that is not idempotent, or answers it from the earlier claim with its key.
pub(super) async fn claim(
    context: &Context,
    call: &Call,
    ticket: &mut Ticket,
) -> Result<Option<Claimed>, Refused> {
    let Some(key) = call.claim() else {
        return Ok(None);
    };
    let claims = &context.deps.claims;
    let held = Claimed {
        claims: claims.clone(),
        account: call.account.clone(),
        key: key.to_owned(),
    };
    let begin = timeout(CLAIM_TIMEOUT, claims.begin(&call.account, key, call.digest))
        .await
        .unwrap_or(Begin::Unavailable);
    match begin {
        Begin::Granted => {
            ticket.claimed();
            Ok(Some(held))
        }
        Begin::Answered(answer) => Err(kept(answer)),
        Begin::Running => Err(Refused::unknown(StatusCode::CONFLICT, "running")),
        Begin::Unknown => Err(Refused::unknown(
            StatusCode::CONFLICT,
            "an earlier request with this key may have run; its answer was lost",
        )),
        Begin::Mismatch => Err(Refused::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            "the key was used for another request",
        )),
        Begin::Unavailable => {
            // The claim may have been committed without an answer; nothing is sent under it.
            tokio::spawn(async move { held.release().await });
            Err(Refused::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no claim could be committed; send again with the same key",
            )
            .after(Duration::from_secs(1)))
        }
    }
}

fn kept(answer: route::claim::Answer) -> Refused {
    Refused {
        status: StatusCode::CONFLICT,
        error: "ran, answer not kept".into(),
        ran: Told::NotKept,
        retry_after: None,
        answer: answer.body.is_some().then(|| Box::new(answer)),
    }
}

impl Claimed {
    /// Ends the claim of a request that was refused.
    pub(super) async fn settle(self, refused: &Refused) {
        match refused.ran {
            Told::No => {
                // The caller hears "not run" only after the release, or a quick resend would find the
                // claim running.
                let claims = self.clone_parts();
                let release = tokio::spawn(async move { claims.release().await });
                let _ = timeout(CLAIM_TIMEOUT, release).await;
            }
            _ => {
                tokio::spawn(async move {
                    for _ in 0..SETTLE_TRIES {
                        if self.claims.lost(&self.account, &self.key).await {
                            return;
                        }
                    }
                });
            }
        }
    }

    fn clone_parts(&self) -> Claimed {
        Claimed {
            claims: self.claims.clone(),
            account: self.account.clone(),
            key: self.key.clone(),
        }
    }

    async fn release(&self) {
        for _ in 0..SETTLE_TRIES {
            if self.claims.release(&self.account, &self.key).await {
                return;
            }
        }
    }
}
