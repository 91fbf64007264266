use {
    crate::{desk::Ticket, refusal::Refused},
    http::StatusCode,
    route::Action,
};

/// Waits until the router binds the request to an upstream.
pub(super) async fn queue(ticket: &mut Ticket) -> Result<Action, Refused> {
    loop {
        match ticket.next().await {
            Some(Action::Refuse { refusal, .. }) => return Err(refusal.into()),
            Some(send @ Action::Send { .. }) => return Ok(send),
            Some(_) => {}
            None => {
                return Err(Refused::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the instance is ending",
                ));
            }
        }
    }
}
