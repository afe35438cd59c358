//! Requests, at each gateway, what a version of the table that a live gateway knows allows and
//! withdraws.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::caller::route_status;
use crate::knowledge::{Act, Knowledge};
use crate::world::{World, withdrawn_key};

/// Interval between two rounds of requests.
const INTERVAL: Duration = Duration::from_millis(40);

/// Checks one gateway in an endless loop.
pub async fn watch(world: World, number: usize) {
    let recorder = &world.recorder;
    loop {
        sleep(INTERVAL).await;
        let (address, incarnation) = {
            let gateway = world.gateway(number);
            (gateway.process.front_address(), gateway.process.incarnation)
        };
        let versions = recorder.update_knowledge(|known| {
            known.update_removals();
            known.versions()
        });
        for version in versions {
            let sent_at = Instant::now();
            let status = route_status(address, &format!("v{version}"), "key-1").await;
            recorder.update_knowledge(|known| match status {
                Some(200) => known.record_served(number, incarnation, version),
                Some(status @ (401 | 403 | 404)) => {
                    let act = Act::Refused(status);
                    known.check_answer(number, incarnation, version, act, sent_at);
                }
                _ => {}
            });
            let Some(key) = withdrawn_key(version) else {
                continue;
            };
            let sent_at = Instant::now();
            if route_status(address, "safe", &key).await == Some(200) {
                recorder.update_knowledge(|known| {
                    known.check_answer(number, incarnation, version, Act::Accepted, sent_at);
                });
            }
        }
        for finding in recorder.update_knowledge(Knowledge::take_news) {
            recorder.record_event(&finding);
        }
    }
}
