//! Head of a call to an agent: the request's header fields, limits and routing
//! data.

use bytes::Bytes;
use http::Method;
use sesamerock_wire::relay::{CacheCursor, Head, Header};

use super::Run;
use crate::entry::request::{CallRequest, Target};
use crate::entry::table;

/// Returns whether a call may be executed more than once, judging by its
/// method.
///
/// A completion has no effect outside the engine. Calls to a plain service are
/// repeatable if their method is idempotent by definition (RFC 9110, section
/// 9.2.2), unless the release notes say otherwise.
pub(super) fn repeatable(request: &CallRequest) -> bool {
    match request.target {
        Target::Model { .. } => true,
        Target::Service { .. } => [
            Method::GET,
            Method::HEAD,
            Method::OPTIONS,
            Method::PUT,
            Method::DELETE,
        ]
        .contains(&request.method),
    }
}

/// Converts a share to percent, at least 1; 0 stands for no share.
fn percent(share: Option<f64>) -> u32 {
    share.map_or(0, |share| (share * 100.0).round().max(1.0) as u32)
}

impl Run {
    /// Creates the head of an attempt at `target`.
    pub(super) fn head(&self, attempt: u64, target: &table::Target) -> Head {
        let request = &self.request;
        let headers = request
            .headers
            .iter()
            .map(|(name, value)| Header {
                name: name.as_str().to_owned(),
                value: Bytes::copy_from_slice(value.as_bytes()),
            })
            .collect();
        Head {
            request_id: request.id.clone(),
            attempt,
            workspace: request.workspace.clone(),
            upstream: target.name.to_string(),
            method: request.method.as_str().to_owned(),
            path: request.path.as_str().to_owned(),
            headers,
            timeout_ms: request.remaining().as_millis() as u64,
            urgency: u32::from(request.urgency),
            tokens: request.tokens,
            fingerprint: Bytes::copy_from_slice(&request.fingerprint),
            idempotency_key: request.key.clone().unwrap_or_default(),
            repeatable: self.repeatable,
            delivered_tokens: 0,
            delivered_text: String::new(),
            rank: 0,
            version: self.context.control.view().version().0,
            entry: self.context.settings.node.name.clone(),
            body_bytes: request.body.len() as u64,
            await_ready: !self.repeatable,
            model: self.pool().to_owned(),
            suspect: self.isolated(),
            ceiling_percent: self.ceiling(target),
            cache: self.cursor(target),
            ceiling_step_us: target
                .choice
                .max_own_step
                .map_or(0, |slowest| slowest.as_micros() as u32),
            elsewhere: target.choice.elsewhere && self.repeatable,
        }
    }

    /// Returns the load, in percent of the limit, above which the agent should
    /// redirect the call to another upstream, and 0 for none.
    ///
    /// A redirection costs a round trip, about as long as a call to a plain
    /// service takes, so such a call is redirected only if it would have to
    /// queue.
    fn ceiling(&self, target: &table::Target) -> u32 {
        let share = target.choice.ceiling;
        match self.request.target {
            Target::Model { .. } => percent(share),
            Target::Service { .. } => percent(share.map(|share| share.max(1.0))),
        }
    }

    /// Returns up to which point this entry knows the cache of a model's
    /// upstream, so that the agent sends only the later changes; `None` for a
    /// plain service.
    fn cursor(&self, target: &table::Target) -> Option<CacheCursor> {
        let model = matches!(self.request.target, Target::Model { .. });
        model.then_some(CacheCursor {
            epoch: target.cursor.epoch,
            seen: target.cursor.seen,
        })
    }

    /// Returns the name of the requested model or service.
    pub(super) fn pool(&self) -> &str {
        match &self.request.target {
            Target::Model { model, .. } => model,
            Target::Service { name } => name,
        }
    }
}
