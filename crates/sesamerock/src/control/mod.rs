//! Control state of a process: one thread owns it, all others read snapshots.
//!
//! The thread folds the log, exchanges records with peers, and publishes an
//! immutable [`view::View`] whenever something changes. Traffic tasks read the
//! view without waiting. See `docs/design.md`, sections 6 and 7.

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

/// Commands that wait for the control thread.
const COMMANDS: usize = 256;

/// Stream of the log that carries the control records.
pub const STREAM: &str = "control";

/// What other threads ask of the control thread.
#[derive(Debug)]
pub enum Command {
    /// Answer a peer.
    Exchange {
        /// The peer's request.
        message: Box<Message>,
        /// Where the answer goes.
        reply: oneshot::Sender<Message>,
    },
    /// State a fact of this node to all peers.
    State {
        /// Key of the fact, unique within this node.
        key: u64,
        /// Its value.
        value: Vec<u8>,
        /// Time until it expires.
        ttl: Duration,
    },
    /// This process is about to stop.
    Leave,
}

/// Until when the contact rule lets this node take new work.
///
/// It is a moment and not a flag, since a process that was paused must not act
/// on what held before the pause.
#[derive(Clone, Debug, Default)]
pub struct Lease(Arc<AtomicU64>);

impl Lease {
    /// Returns whether new work may be taken now.
    pub fn holds(&self) -> bool {
        clock::now().0 < self.0.load(Ordering::Relaxed)
    }

    fn set(&self, until: Moment) {
        self.0.store(until.0, Ordering::Relaxed);
    }
}

/// Handle of the control thread. When the last clone is dropped, the thread
/// ends.
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
    /// Fails if the thread cannot be started.
    pub fn start(node: Node) -> eyre::Result<Self> {
        let client = Client::default();
        let base = format!("http://{}", node.platform);
        let log = log::Remote(ServiceClient::new(client.clone(), base.clone()));
        let list = vms::Remote(ServiceClient::new(client, base));
        let lease = Lease::default();
        let view = Arc::new(ArcSwap::from_pointee(View::new(&node, lease.clone())));
        let (published, changed) = watch::channel(0);
        let (commands, receiver) = mpsc::channel(COMMANDS);
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
            .wrap_err("cannot make the control runtime")?;
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

    /// Returns the present view.
    pub fn view(&self) -> arc_swap::Guard<Arc<View>> {
        self.view.load()
    }

    /// Returns a receiver that changes with every published view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.clone()
    }

    /// Answers a peer; `None` if this process is ending.
    pub async fn exchange(&self, message: Message) -> Option<Message> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Exchange {
            message: Box::new(message),
            reply,
        };
        self.commands.send(command).await.ok()?;
        answer.await.ok()
    }

    /// States a fact of this node to all peers.
    pub async fn state(&self, key: u64, value: Vec<u8>, ttl: Duration) {
        let command = Command::State { key, value, ttl };
        if self.commands.send(command).await.is_err() {
            ::log::debug!("event=fact_dropped key={key} reason=ending");
        }
    }

    /// Tells all peers that this process is about to stop.
    pub async fn leave(&self) {
        if self.commands.send(Command::Leave).await.is_err() {
            ::log::debug!("event=leave_dropped reason=ending");
        }
    }
}
