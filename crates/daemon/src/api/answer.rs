use {
    dropshot::{Body, HttpError},
    http::{Response, StatusCode},
    serde::Serialize,
};

/// Returns a JSON answer with a status of its own.
pub(super) fn json(
    status: StatusCode,
    value: &impl Serialize,
) -> Result<Response<Body>, HttpError> {
    let bytes =
        serde_json::to_vec(value).map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(Body::from(bytes))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}
