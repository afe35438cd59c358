//! Permits: the right of a call to use a slot of an upstream.

use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::Shared;
use crate::admit::{HealthSignal, Refusal, SlotRequest, Verdict};
use crate::clock;
use crate::upstream::Record;

/// Interval at which a waiting call checks for an upstream whose back-off has ended.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The right to use a slot of an upstream. Dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    shared: Arc<Shared>,
    /// Upstream whose slot is used.
    pub record: Arc<Record>,
    /// When the slot was assigned.
    pub started: Moment,
    signal: HealthSignal,
}

impl Permit {
    fn new(shared: Arc<Shared>, record: Arc<Record>) -> Self {
        Self {
            shared,
            record,
            started: clock::now(),
            signal: HealthSignal::Neutral,
        }
    }

    /// Sets what is recorded about the upstream when the permit is dropped.
    pub fn set_signal(&mut self, signal: HealthSignal) {
        self.signal = signal;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut admission = self.shared.admission();
        admission.end_call(&self.record, self.signal, clock::now());
        drop(admission);
        self.shared.assign_slots();
    }
}

/// A call that waits in the queue. Dropping it removes the call from the queue, and frees the slot
/// that it may have been assigned without having been told.
struct QueuedCall {
    shared: Arc<Shared>,
    service: Arc<str>,
    call: u64,
    placement: oneshot::Receiver<Result<Arc<Record>, Refusal>>,
}

impl QueuedCall {
    fn permit(&self, record: Arc<Record>) -> Permit {
        Permit::new(Arc::clone(&self.shared), record)
    }
}

impl Drop for QueuedCall {
    fn drop(&mut self) {
        self.shared.waiters().remove(&self.call);
        self.shared.admission().cancel(&self.service, self.call);
        // From here on, a slot that is assigned is freed by the sender.
        self.placement.close();
        if let Ok(Ok(record)) = self.placement.try_recv() {
            drop(self.permit(record));
        }
    }
}

/// Waits for a slot.
///
/// # Errors
/// Returns the refusal if no slot becomes free in time.
pub async fn acquire(shared: &Arc<Shared>, request: SlotRequest) -> Result<Permit, Refusal> {
    let call = request.call;
    let service = Arc::clone(&request.service);
    let placement = {
        let mut admission = shared.admission();
        match admission.request(request, clock::now()) {
            Verdict::Place(record) => return Ok(Permit::new(Arc::clone(shared), record)),
            Verdict::Refuse(refusal) => return Err(refusal),
            Verdict::Wait => {
                let (sender, receiver) = oneshot::channel();
                shared.waiters().insert(call, sender);
                receiver
            }
        }
    };
    let mut queued = QueuedCall {
        shared: Arc::clone(shared),
        service: Arc::clone(&service),
        call,
        placement,
    };
    loop {
        match timeout(RECHECK_INTERVAL, &mut queued.placement).await {
            Ok(Ok(Ok(record))) => return Ok(queued.permit(record)),
            Ok(Ok(Err(refusal))) => return Err(refusal),
            Ok(Err(_)) => return Err(shared.admission().full_refusal(&service, clock::now())),
            Err(_) => shared.assign_slots(),
        }
    }
}
