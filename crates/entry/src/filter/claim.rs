use {
    super::{chain::Context, keys::Hold},
    crate::{
        call::Call,
        deps::{Begin, Claims},
        desk::Ticket,
        refusal::{Refused, Told},
    },
    http::StatusCode,
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Time to commit a claim. The group answers within its call timeout; this bounds a fault of the group.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);

/// Times that the end of a claim is reported, a second apart. A claim whose end is never reported stays
/// "running" until its instance dies, and then becomes unknown.
const SETTLE_TRIES: u32 = 30;

/// Time between two reports of the end of a claim.
const SETTLE_PAUSE: Duration = Duration::from_secs(1);

/// A claim that this request holds.
pub(super) struct Claimed {
    claims: Arc<dyn Claims>,
    account: String,
    key: String,
    /// Keeps the key from being claimed again until the end of this claim is known.
    _hold: Arc<Hold>,
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
    let running = || Refused::unknown(StatusCode::CONFLICT, "running");
    let hold = Arc::new(context.keys.hold(&call.account, key).ok_or_else(running)?);
    // The call keeps the key for as long as its answer is under way.
    let _ = call.hold.set(hold.clone());
    let claims = &context.deps.claims;
    let held = Claimed {
        claims: claims.clone(),
        account: call.account.clone(),
        key: key.to_owned(),
        _hold: hold,
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
        Begin::Running => Err(running()),
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
            tokio::spawn(held.release());
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
        if refused.ran == Told::No {
            // The caller hears "not run" only after the release, or a quick resend would find the claim
            // running.
            let _ = timeout(CLAIM_TIMEOUT, tokio::spawn(self.release())).await;
        } else {
            tokio::spawn(self.lose());
        }
    }

    async fn release(self) {
        for _ in 0..SETTLE_TRIES {
            if self.claims.release(&self.account, &self.key).await {
                return;
            }
            sleep(SETTLE_PAUSE).await;
        }
    }

    async fn lose(self) {
        for _ in 0..SETTLE_TRIES {
            if self.claims.lost(&self.account, &self.key).await {
                return;
            }
            sleep(SETTLE_PAUSE).await;
        }
    }
}
