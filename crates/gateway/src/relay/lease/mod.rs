//! Slots of upstreams, held by calls.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use super::Shared;
use crate::admit::{HealthSignal, Refusal, SlotRequest, Verdict};
use crate::clock;
use crate::upstream::Record;

/// How often a call that waits looks for an upstream whose pause is over.
const LOOK: Duration = Duration::from_millis(50);

/// A slot of an upstream. Dropping it frees the slot.
#[derive(Debug)]
pub struct Lease {
    shared: Arc<Shared>,
    /// The upstream.
    pub record: Arc<Record>,
    mark: HealthSignal,
}

impl Lease {
    /// Says what the call has shown of the upstream.
    pub fn mark(&mut self, mark: HealthSignal) {
        self.mark = mark;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut admission = self.shared.admission();
        admission.end_call(&self.record, self.mark, clock::now());
        drop(admission);
        self.shared.pump();
    }
}

/// A place in the queue. Dropping it leaves the queue.
struct Place {
    shared: Arc<Shared>,
    service: Arc<str>,
    call: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.waiters().remove(&self.call);
        self.shared.admission().cancel(&self.service, self.call);
    }
}

/// Waits for a slot.
///
/// # Errors
/// Returns the refusal, if there is none in time.
pub async fn acquire(shared: &Arc<Shared>, request: SlotRequest) -> Result<Lease, Refusal> {
    let lease = |record| Lease {
        shared: Arc::clone(shared),
        record,
        mark: HealthSignal::Neutral,
    };
    let call = request.call;
    let service = Arc::clone(&request.service);
    let mut answer = {
        let mut admission = shared.admission();
        match admission.request(request, clock::now()) {
            Verdict::Place(record) => return Ok(lease(record)),
            Verdict::Refuse(refusal) => return Err(refusal),
            Verdict::Wait => {
                let (sender, receiver) = oneshot::channel();
                shared.waiters().insert(call, sender);
                receiver
            }
        }
    };
    let _place = Place {
        shared: Arc::clone(shared),
        service: Arc::clone(&service),
        call,
    };
    loop {
        match timeout(LOOK, &mut answer).await {
            Ok(Ok(Ok(placed))) => return Ok(lease(placed)),
            Ok(Ok(Err(refusal))) => return Err(refusal),
            Ok(Err(_)) => return Err(shared.admission().full_refusal(&service, clock::now())),
            Err(_) => shared.pump(),
        }
    }
}
