use {
    super::chain::Context,
    crate::{call::Call, desk::Ticket, refusal::Refused},
    route::{Action, Head},
};

/// Refuses requests without a configuration, an account or an upstream at a permitted place.
pub(super) fn place(context: &Context, call: &Call) -> Result<Ticket, Refused> {
    let desk = &context.deps.desk;
    let mut ticket = desk.offer(desk.configuration(), |request| Head {
        request,
        account: call.account.clone(),
        class: call.class,
        service: call.service.clone(),
        deadline: call.deadline,
        idempotent: call.idempotent,
        replayable: call.body.is_kept(),
    });
    if call.idempotent {
        // The router has placed and limited the request in one step; `limit` reads the verdict.
        return Ok(ticket);
    }
    match ticket.try_next() {
        Some(Action::Refuse { refusal, .. }) => Err(refusal.into()),
        _ => Ok(ticket),
    }
}
