use {
    super::Error,
    bytes::Bytes,
    http::{Method, StatusCode},
    serde::{Deserialize, de::DeserializeOwned},
};

/// Longest message of an instance that is shown, in characters.
const MAX_MESSAGE_CHARS: usize = 600;

/// One call of the HTTP API. Every call may be sent again: changes carry a key or have the same effect
/// however often they are made.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// JSON body; empty if none.
    pub body: Bytes,
    /// Whether it changes something.
    pub changes: bool,
    /// What is done to what, for messages, for example `cancel job vestland-12`.
    pub what: String,
}

impl Call {
    /// Returns a reading call.
    pub fn read(path: impl Into<String>, what: impl Into<String>) -> Call {
        Call {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
            changes: false,
            what: what.into(),
        }
    }

    /// Returns a reading call with a body of JSON.
    pub fn ask(path: impl Into<String>, body: Vec<u8>, what: impl Into<String>) -> Call {
        Call {
            changes: false,
            ..Call::change(path, body, what)
        }
    }

    /// Returns a changing call with a body of JSON.
    pub fn change(path: impl Into<String>, body: Vec<u8>, what: impl Into<String>) -> Call {
        Call {
            method: Method::POST,
            path: path.into(),
            body: body.into(),
            changes: true,
            what: what.into(),
        }
    }
}

/// The body of an error.
#[derive(Debug, Deserialize)]
pub(super) struct Message {
    pub(super) error_code: Option<String>,
    pub(super) message: String,
}

impl Message {
    pub(super) fn read(body: &[u8]) -> Option<Message> {
        serde_json::from_slice(body).ok()
    }
}

/// A final answer: success, or a refusal that another instance would repeat.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
    /// Address of the instance that answered.
    pub instance: String,
    /// What was asked.
    pub what: String,
    /// Whether the call changes something.
    pub changes: bool,
    /// Whether an earlier send of the call may have been carried out.
    pub doubt: bool,
}

impl Answer {
    /// Returns the body of a success as a `T`, or the refusal as an error.
    pub fn accept<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if self.status.is_success() {
            serde_json::from_slice(&self.body).map_err(|error| self.unreadable(&error.to_string()))
        } else {
            Err(self.refusal())
        }
    }

    /// Returns the error for a refusal. A refusal of a resend says nothing about the first send, since
    /// an instance may refuse for what it knows now before it looks for the key.
    pub fn refusal(&self) -> Error {
        let message = match Message::read(&self.body) {
            Some(read) => burn::printable(&read.message, MAX_MESSAGE_CHARS),
            None => format!("status {} without a message", self.status.as_u16()),
        };
        let (what, instance) = (self.what.clone(), self.instance.clone());
        if self.doubt && self.status != StatusCode::CONFLICT {
            return Error::Unknown {
                what,
                reason: format!(
                    "an earlier send may have been carried out, and {instance} refused the resend: {message}"
                ),
            };
        }
        if self.status == StatusCode::CONFLICT {
            Error::Conflict {
                what,
                instance,
                message,
            }
        } else {
            Error::Refused {
                what,
                instance,
                message,
            }
        }
    }

    /// Returns the error for a body that is not what the API promises.
    pub fn unreadable(&self, reason: &str) -> Error {
        let reason = format!(
            "the answer of {} with status {} is not understood ({}); check that the address is the API \
             of an instance of this version",
            self.instance,
            self.status.as_u16(),
            burn::printable(reason, MAX_MESSAGE_CHARS)
        );
        let what = self.what.clone();
        if self.changes {
            Error::Unknown { what, reason }
        } else {
            Error::Unreachable { what, reason }
        }
    }
}
