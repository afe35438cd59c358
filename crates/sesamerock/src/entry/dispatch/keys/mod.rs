//! Idempotency keys issued by the agents of a plain service.

use std::time::Duration;

use http::{Response, StatusCode};
use sesamerock_client::http::body::Body;
use sesamerock_route::choice::{Cause, Refusal};
use sesamerock_route::pick::Outcome;

use super::unavailable;
use crate::entry::Context;
use crate::entry::operator::json;
use crate::entry::table::Requirements;
use crate::problem::Problem;

/// Answers `POST /v1/keys?service=NAME` with a key for a later call to the
/// service, issued by one of its agents.
pub(in crate::entry) async fn issue(context: &Context, id: &str, query: &str) -> Response<Body> {
    let Some(service) = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("service="))
    else {
        let detail = "expected ?service=NAME";
        return Problem::refused(StatusCode::BAD_REQUEST, "invalid-request", detail).respond(id);
    };
    match issue_key(context, service).await {
        Ok(key) => json(StatusCode::CREATED, &serde_json::json!({ "key": key })),
        Err(problem) => problem.respond(id),
    }
}

/// Creates the problem for a key that no agent can issue.
fn no_key(refusal: &Refusal) -> Problem {
    let detail = format!("no agent issues a key: {}", refusal.cause);
    match refusal.cause {
        Cause::Unserved => Problem::refused(StatusCode::NOT_FOUND, "unknown-target", detail),
        _ => unavailable("no-key", detail, Some(Duration::from_secs(1))),
    }
}

/// Requests a key from the agents of a service, one after the other, until one
/// issues it.
///
/// # Errors
/// Returns the [`Problem`] to respond with if no agent issues a key.
async fn issue_key(context: &Context, service: &str) -> Result<String, Problem> {
    let mut excluded = Vec::new();
    loop {
        let target = {
            let requirements = Requirements {
                pool: service,
                service: true,
                workspace: "",
                tokens: 1,
                urgency: 0,
                prefix: &[],
                excluded: &excluded,
                isolated: false,
                send_once: false,
                key: None,
                method: "POST",
                path: "/",
            };
            context.table().choose(&requirements)
        };
        let target = target.map_err(|refusal| no_key(&refusal))?;
        let issued = context.relays.issue_key(target.agent, service).await;
        let mut table = context.table();
        table.record_outcome(&target, Outcome::Neutral);
        table.record_end(&target);
        drop(table);
        match issued {
            Ok(key) => return Ok(key),
            Err(detail) => log::info!(
                "event=key_not_issued service={service} upstream={} detail={detail:?}",
                target.name
            ),
        }
        excluded.push(target.choice.upstream);
    }
}
