//! Errors of calls to external services, classified by whether the call may have
//! had an effect.

use std::fmt;

/// Reason why a call to an external service returned no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No byte of the request left this process, so the call had no effect.
    NotSent(String),
    /// The request may have reached the service; its effect is unknown.
    Unknown(String),
    /// The service answered with a status other than 2xx.
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Start of the response body, at most 512 bytes.
        detail: String,
    },
    /// The answer did not have the expected form.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(detail) => write!(f, "not sent: {detail}"),
            Self::Unknown(detail) => write!(f, "outcome unknown: {detail}"),
            Self::Refused { status, detail } => write!(f, "refused with {status}: {detail}"),
            Self::Malformed(detail) => write!(f, "malformed answer: {detail}"),
        }
    }
}

impl std::error::Error for Error {}
