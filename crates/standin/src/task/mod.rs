//! Tasks that end with their owners.

use tokio::task::JoinHandle;

/// A task that ends with its owner.
#[derive(Debug)]
pub struct Task(pub JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}
