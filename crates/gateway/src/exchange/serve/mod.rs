//! The server side of the exchange between gateways.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures::StreamExt as _;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamerock_base::time::Moment;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel as _};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::delta::{Link, Message};
use super::traffic::{self, Kind};
use super::{Delivery, Exchange, LocalNode};
use crate::admit::group::Listing;
use crate::clock;
use crate::pool;
use crate::state::Snapshot;
use crate::store::Offset;
use crate::table::Content;

/// Maximum size of a message between nodes, in bytes; fits a table of thousands of routes.
const MESSAGE_BYTES: usize = 32 << 20;
/// Delay before accepting again after a failure, such as a lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Most tables that a node hands out within [`TABLE_INTERVAL`]. Where it alone knows the newest one,
/// all others ask it at once; those that have got it answer the rest.
const MAX_TABLES: u32 = 8;
/// Interval between the heartbeats after which the others ask again.
const TABLE_INTERVAL: Duration = Duration::from_millis(200);

/// How many tables a node may hand out.
#[derive(Debug, Default)]
struct Allowance {
    since: Moment,
    taken: u32,
}

impl Allowance {
    /// Returns whether a table may be handed out now, and counts it.
    fn take(&mut self, now: Moment) -> bool {
        if now.since(self.since) >= TABLE_INTERVAL {
            *self = Self {
                since: now,
                taken: 0,
            };
        }
        self.taken += 1;
        self.taken <= MAX_TABLES
    }
}

#[derive(Clone, Debug)]
struct Service<H> {
    host: H,
    tables: Arc<Mutex<Allowance>>,
    /// Heartbeats that were exchanged last over the connection.
    link: Arc<Mutex<Link>>,
}

impl<H: LocalNode> Exchange for Service<H> {
    async fn greet(self, _: Context, greeting: Message) -> Message {
        let lock = || self.link.lock().unwrap_or_else(PoisonError::into_inner);
        let decoded = lock().decode(greeting);
        match decoded {
            Ok(heartbeat) => self.host.receive_heartbeat(heartbeat),
            Err(fault) => log::info!("event=heartbeat_dropped reason=\"{fault}\""),
        }
        let own = self.host.heartbeat();
        let answer = lock().encode(&own, clock::now());
        traffic::count(Kind::Heartbeat, &answer);
        answer
    }

    async fn pull(self, _: Context) -> Snapshot {
        let snapshot = self.host.snapshot();
        traffic::count(Kind::Snapshot, &snapshot);
        snapshot
    }

    async fn table(self, _: Context) -> Option<(Content, Offset)> {
        let tables = || self.tables.lock().unwrap_or_else(PoisonError::into_inner);
        if !tables().take(clock::now()) {
            return None;
        }
        let table = self.host.table();
        traffic::count(Kind::Snapshot, &table);
        table
    }

    async fn groups(self, _: Context) -> Listing {
        let groups = self.host.groups();
        traffic::count(Kind::Groups, &*groups);
        Listing::clone(&groups)
    }

    async fn deliver(self, _: Context, delivery: Delivery) {
        self.host.receive_delivery(delivery);
    }
}

/// Serves the exchange to other nodes until `stop` is cancelled.
pub async fn serve(listener: TcpListener, host: impl LocalNode, stop: CancellationToken) {
    let tables = Arc::<Mutex<Allowance>>::default();
    let answer = |stream| {
        let channel = BaseChannel::with_defaults(transport(stream));
        let service = Service {
            host: host.clone(),
            tables: Arc::clone(&tables),
            link: Arc::default(),
        };
        let calls = channel.execute(service.serve());
        calls.for_each(|call| async {
            tokio::spawn(call);
        })
    };
    accept(listener, stop, answer).await;
}

/// Accepts connections and serves each one in its own task until `stop` is cancelled.
pub async fn accept<F>(
    listener: TcpListener,
    stop: CancellationToken,
    answer: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=exchange_accept_failed reason=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        if let Err(error) = pool::set_socket_options(&stream) {
            log::debug!("event=connection_untuned reason=\"{error}\"");
        }
        let serving = answer(stream);
        let stop = stop.clone();
        tokio::spawn(async move {
            stop.run_until_cancelled(serving).await;
        });
    }
}

/// Wraps a connection between processes of this product in a transport of
/// length-delimited bincode messages.
pub fn transport<Item, SinkItem>(
    stream: TcpStream,
) -> serde_transport::Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MESSAGE_BYTES);
    serde_transport::new(Framed::new(stream, codec), Bincode::default())
}

/// Returns the context of a remote call that must be answered within `timeout`.
pub fn context_with_deadline(timeout: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + timeout;
    context
}
