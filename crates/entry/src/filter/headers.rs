use http::{
    HeaderMap, HeaderName,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
        TRANSFER_ENCODING, UPGRADE,
    },
};

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// Headers that `Connection` must not remove: they decide about framing, identity or routing.
const PROTECTED: [&str; 8] = [
    "host",
    "content-length",
    "x-client-account",
    "x-class",
    "x-deadline-ms",
    "x-service",
    "idempotency-key",
    "x-idempotent",
];

/// Removes the headers that concern the previous connection. Returns false if `Connection` names a header
/// that a caller must not make the next hop lose.
pub(super) fn strip(headers: &mut HeaderMap) -> bool {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !name.is_empty())
        .collect();
    if named.iter().any(|name| PROTECTED.contains(&name.as_str())) {
        return false;
    }
    for name in named {
        headers.remove(name.as_str());
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    true
}

/// Tells whether the headers state the length of the body in more than one way.
pub(super) fn is_ambiguous(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let encodings = headers.get_all(TRANSFER_ENCODING).iter().count();
    lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1)
}
