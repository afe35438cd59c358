//! Control state of a process: one thread owns it, all others read snapshots.
//!
//! The control thread applies the records of the log, exchanges them with peers,
//! and publishes an immutable [`view::View`] after every change. Traffic tasks
//! read the view without blocking. See `docs/design.md`, sections 6 and 7.

mod driver;
pub mod pack;
mod publish;
mod reader;
pub mod view;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use eyre::WrapErr as _;
use sesamerock_base::time::Moment;
use sesamerock_client::http::client::{Client, ServiceClient};
use sesamerock_client::{log, vms};
use sesamerock_exchange::message::Message;
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock;
use crate::settings::Node;
use view::View;

/// Capacity of the queue of commands to the control thread.
const COMMAND_CAPACITY: usize = 256;

/// Name of the log stream that carries the control records.
pub const STREAM: &str = "control";

/// Commands that other threads send to the control thread.
#[derive(Debug)]
pub enum Command {
    /// Processes a message of a peer and replies to it.
    Exchange {
        /// Request that the peer sent.
        message: Box<Message>,
        /// Channel for the reply.
        reply: oneshot::Sender<Message>,
    },
    /// Publishes a fact of this node to all peers.
    PublishFact {
        /// Key of the fact, unique within this node.
        key: u64,
        /// Serialized value, at most 8 KiB.
        value: Vec<u8>,
        /// Time until the peers drop the fact.
        ttl: Duration,
    },
    /// Announces to all peers that this process is about to stop.
    Leave,
}

/// Time until which the contact rule lets this node take new work.
///
/// An expiry time and not a flag, since a process that resumes after a pause
/// must not act on a permission from before the pause.
#[derive(Clone, Debug, Default)]
pub struct Lease(Arc<AtomicU64>);

impl Lease {
    /// Returns whether this node may take new work now.
    pub fn is_valid(&self) -> bool {
        clock::now().0 < self.0.load(Ordering::Relaxed)
    }

    fn set(&self, until: Moment) {
        self.0.store(until.0, Ordering::Relaxed);
    }
}

/// Handle of the control thread. The thread ends when the last clone is
/// dropped.
#[derive(Clone, Debug)]
pub struct Control {
    view: Arc<ArcSwap<View>>,
    changed: watch::Receiver<u64>,
    commands: mpsc::Sender<Command>,
    log: log::Remote,
    node: Arc<Node>,
}

impl Control {
    /// Starts the control thread of a node.
    ///
    /// # Errors
    /// Fails if the runtime cannot be built or the thread cannot be spawned.
    pub fn start(node: Node) -> eyre::Result<Self> {
        let client = Client::default();
        let base = format!("http://{}", node.platform);
        let log = log::Remote(ServiceClient::new(client.clone(), base.clone()));
        let list = vms::Remote(ServiceClient::new(client, base));
        let lease = Lease::default();
        let view = Arc::new(ArcSwap::from_pointee(View::new(&node, lease.clone())));
        let (published, changed) = watch::channel(0);
        let (commands, receiver) = mpsc::channel(COMMAND_CAPACITY);
        let node = Arc::new(node);
        let driver = driver::Parts {
            settings: Arc::clone(&node),
            log: log.clone(),
            list,
            output: driver::Output {
                view: Arc::clone(&view),
                published,
                lease,
            },
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("cannot build the control runtime")?;
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                let local = tokio::task::LocalSet::new();
                local.block_on(&runtime, driver.run(receiver));
            })
            .wrap_err("cannot start the control thread")?;
        Ok(Self {
            view,
            changed,
            commands,
            log,
            node,
        })
    }

    /// Returns the view that was published last.
    pub fn view(&self) -> arc_swap::Guard<Arc<View>> {
        self.view.load()
    }

    /// Returns a receiver that changes with every published view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.clone()
    }

    /// Processes a message of a peer and returns the reply, or `None` if this
    /// process is shutting down.
    pub async fn exchange(&self, message: Message) -> Option<Message> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Exchange {
            message: Box::new(message),
            reply,
        };
        self.commands.send(command).await.ok()?;
        answer.await.ok()
    }

    /// Publishes a fact of this node to all peers. The fact is dropped if this
    /// process is shutting down.
    pub async fn publish_fact(&self, key: u64, value: Vec<u8>, ttl: Duration) {
        let command = Command::PublishFact { key, value, ttl };
        if self.commands.send(command).await.is_err() {
            ::log::debug!("event=fact_dropped key={key} reason=ending");
        }
    }

    /// Announces to all peers that this process is about to stop.
    pub async fn leave(&self) {
        if self.commands.send(Command::Leave).await.is_err() {
            ::log::debug!("event=leave_dropped reason=ending");
        }
    }
}
