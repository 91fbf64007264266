use {
    control::instance,
    dropshot::{ClientErrorStatusCode, ErrorStatusCode, HttpError},
};

/// Code of answers that say that nothing was changed.
pub(super) const NOT_RUN: &str = "NotRun";

/// Code of answers that leave open whether something was changed.
pub(super) const UNKNOWN: &str = "Unknown";

/// Returns a client error with a code and what to do next.
pub(super) fn client(status: ClientErrorStatusCode, code: &str, message: String) -> HttpError {
    HttpError::for_client_error(Some(code.to_owned()), status, message)
}

/// Converts the failure of a command or query.
pub(super) fn unavailable(error: &instance::Error) -> HttpError {
    let (code, message) = match error {
        instance::Error::Unknown(reason) => (
            UNKNOWN,
            format!("it is not known whether this was done: {reason}; resend with the same key"),
        ),
        other => (NOT_RUN, format!("{other}; nothing was changed, try again")),
    };
    answer(code, message)
}

/// An instance that does not know whether its configuration is current does nothing.
pub(super) fn not_current() -> HttpError {
    let message = "this instance does not know whether its configuration is current; nothing was \
                   changed, ask another instance";
    answer(NOT_RUN, message.into())
}

/// The message of a server error is meant for the caller, too.
fn answer(code: &str, message: String) -> HttpError {
    HttpError {
        status_code: ErrorStatusCode::SERVICE_UNAVAILABLE,
        error_code: Some(code.to_owned()),
        internal_message: message.clone(),
        external_message: message,
        headers: None,
    }
}

/// A command returned an answer that does not belong to it.
pub(super) fn unexpected() -> HttpError {
    HttpError::for_internal_error("the state machine returned an answer of another command".into())
}
