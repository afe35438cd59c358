//! Tokio tasks that are aborted when their handle is dropped.

use tokio::task::JoinHandle;

/// Handle of a task that is aborted on drop.
#[derive(Debug)]
pub struct Task(pub JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}
