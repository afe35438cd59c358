//! Tests that the slot of each call is freed, however the call ends.

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures::poll;
use sesamerock_base::key::Workspace;
use sesamerock_base::time::Moment;
use sesamerock_gateway::admit::{
    self, AdmissionController, Candidate, Refusal, SlotRequest, UpstreamPool,
};
use sesamerock_gateway::clock;
use sesamerock_gateway::relay::permit::{Permit, acquire};
use sesamerock_gateway::relay::{self, Shared};
use sesamerock_gateway::state::View;
use sesamerock_gateway::suspect::Suspects;
use sesamerock_gateway::upstream::Record;

const SLOTS: u32 = 3;

/// Returns the state of a gateway with one upstream.
fn shared() -> Arc<Shared> {
    let admission = AdmissionController::new(admit::Settings::default(), Arc::from("a"));
    let shared = Shared::new(relay::Settings::default(), admission, Suspects::default());
    let record = Record {
        id: Arc::from("u"),
        born: None,
        service: Arc::from("s"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Arc::from("a"),
        slots: SLOTS,
        draining: false,
        cold: Duration::ZERO,
    };
    let candidate = Candidate {
        record: Arc::new(record),
        cold_until: Moment::default(),
        cold_limit: OnceLock::new(),
    };
    let pool = UpstreamPool {
        candidates: vec![candidate],
        ..UpstreamPool::default()
    };
    shared.publish(View {
        pools: HashMap::from([(Arc::from("s"), pool)]),
        complete: true,
        ..View::default()
    });
    Arc::new(shared)
}

fn slot_request(call: u64) -> SlotRequest {
    SlotRequest {
        call,
        service: Arc::from("s"),
        workspace: Workspace(0),
        tokens: 100,
        urgency: 1,
        latest_start: clock::now() + Duration::from_secs(10),
        pause: None,
        exclude: Vec::new(),
        origin: admit::demand::Origin::default(),
    }
}

/// Takes slots until a call has to wait.
async fn fill(shared: &Arc<Shared>, from: u64) -> Vec<Permit> {
    let mut permits = Vec::new();
    for call in from.. {
        let mut request = Box::pin(acquire(shared, slot_request(call)));
        match poll!(&mut request) {
            std::task::Poll::Ready(Ok(permit)) => permits.push(permit),
            _ => return permits,
        }
    }
    permits
}

/// Regression: a slot that was assigned to a waiting call whose caller left before the call's task
/// ran was never freed. After a crowd that asked and left, the gateway refused everybody (review/7).
#[tokio::test]
async fn regression_a_slot_assigned_to_a_call_that_is_dropped_is_freed() {
    let shared = shared();
    let mut permits = fill(&shared, 0).await;
    let slots = permits.len();
    assert!(slots > 0);
    for round in 1..=10_u64 {
        let mut waiting: Vec<_> = (0..slots as u64)
            .map(|call| Box::pin(acquire(&shared, slot_request(round * 100 + call))))
            .collect();
        for call in &mut waiting {
            assert!(poll!(call).is_pending());
        }
        // Each slot passes to a waiting call, which does not learn of it.
        permits.clear();
        assert_eq!(shared.admission().totals().0, slots as u32);
        drop(waiting);
        assert_eq!(shared.admission().totals(), (0, 0), "round {round}");
        permits = fill(&shared, round * 100 + 50).await;
        assert_eq!(permits.len(), slots, "round {round}");
    }
}

/// The same, varied: a call that has learned of its slot, one that is still queued, and one to
/// which the slot of another dropped call passes on.
#[tokio::test]
async fn slots_of_dropped_calls_pass_on() -> Result<(), Refusal> {
    let shared = shared();
    let mut permits = fill(&shared, 0).await;
    let slots = permits.len() as u32;
    let mut first = Box::pin(acquire(&shared, slot_request(100)));
    let mut second = Box::pin(acquire(&shared, slot_request(101)));
    assert!(poll!(&mut first).is_pending());
    assert!(poll!(&mut second).is_pending());
    permits.pop();
    drop(first);
    let permit = second.await?;
    assert_eq!(shared.admission().totals(), (slots, 0));
    drop(permit);
    assert_eq!(shared.admission().totals(), (slots - 1, 0));
    let queued = fill(&shared, 200).await;
    assert_eq!(queued.len(), 1);
    drop((permits, queued));
    assert_eq!(shared.admission().totals(), (0, 0));
    Ok(())
}
