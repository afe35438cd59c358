//! Expert load reports and staging of expert maps.

use std::time::Duration;

use http::{Response, StatusCode};
use sesamerock_client::http::body::Body;

use super::Engine;
use crate::reply;

impl Engine {
    /// Handles `/load/experts` and `/maps/NUMBER`; returns `None` for other paths.
    pub(super) fn read_experts(&self, path: &str) -> Option<Response<Body>> {
        let mut state = self.lock();
        let incarnation = state.incarnation;
        let not_found = || reply::text(StatusCode::NOT_FOUND, "nothing known");
        if path == "/load/experts" {
            let Some(rank) = &mut state.rank else {
                return Some(not_found());
            };
            return Some(match rank.experts(incarnation) {
                Ok(Some(experts)) => reply::json(StatusCode::OK, &experts),
                Ok(None) => not_found(),
                Err(reason) => reply::text(StatusCode::SERVICE_UNAVAILABLE, reason),
            });
        }
        let map = path.strip_prefix("/maps/")?.parse().ok()?;
        let rank = state.rank.as_ref();
        let placement = rank.and_then(|rank| rank.placement(map));
        Some(placement.map_or_else(not_found, |placement| {
            reply::json(StatusCode::OK, placement)
        }))
    }

    /// Stages an expert map after `time`; a crash meanwhile cancels the staging.
    pub(super) fn stage(&self, map: u64, incarnation: u64, time: Duration) {
        let engine = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            let mut state = engine.lock();
            let same_incarnation = state.incarnation == incarnation;
            if let Some(rank) = state.rank.as_mut().filter(|_| same_incarnation)
                && !rank.staged.contains(&map)
            {
                rank.staged.push(map);
            }
        });
    }
}
