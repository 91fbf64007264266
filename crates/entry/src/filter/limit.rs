use {
    crate::{desk::Ticket, refusal::Refused},
    route::Action,
};

/// Refuses requests that cannot meet their deadline or find the queue full. Returns the first send if a
/// slot was free.
pub(super) fn limit(ticket: &mut Ticket) -> Result<Option<Action>, Refused> {
    loop {
        match ticket.try_next() {
            Some(Action::Refuse { refusal, .. }) => return Err(refusal.into()),
            Some(send @ Action::Send { .. }) => return Ok(Some(send)),
            Some(_) => {}
            None => return Ok(None),
        }
    }
}
