//! Helpers that build HTTP responses and parse queries.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Response, StatusCode};
use serde::Serialize;
use sesamerock_client::http::body::Body;

/// Makes a JSON response; content that cannot be serialized gives an empty body.
pub(crate) fn json(status: StatusCode, content: &impl Serialize) -> Response<Body> {
    let content = serde_json::to_vec(content).unwrap_or_default();
    with_type(status, "application/json", Body::full(content))
}

/// Makes a plain-text response.
pub(crate) fn text(status: StatusCode, content: &'static str) -> Response<Body> {
    with_type(
        status,
        "text/plain",
        Body::full(Bytes::from_static(content.as_bytes())),
    )
}

/// Makes a response with the content type `kind`.
pub(crate) fn with_type(status: StatusCode, kind: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, http::HeaderValue::from_static(kind));
    response
}

/// Returns the first value of a query parameter, without percent-decoding.
pub(crate) fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
