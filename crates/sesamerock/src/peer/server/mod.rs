//! Server of the peer service.

use std::sync::Arc;

use futures::StreamExt as _;
use sesamerock_base::version::Version;
use sesamerock_exchange::message::Message;
use sesamerock_wire::peer::{FRAME_BYTES, Peer};
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel as _};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::control::Control;

/// Largest number of peer connections open at a time.
const MAX_CONNECTIONS: usize = 256;

/// The peer service of one node.
#[derive(Clone, Debug)]
struct Service {
    control: Control,
}

impl Peer for Service {
    async fn exchange(self, _: Context, message: Message) -> Message {
        let from = message.from;
        let standing = message.standing;
        match self.control.exchange(message).await {
            Some(answer) => answer,
            // The control thread has ended; an empty message changes nothing at
            // the peer.
            None => Message::new(from, Version::default(), standing),
        }
    }

    async fn version(self, _: Context) -> Version {
        self.control.view().version()
    }
}

/// Serves peers until `stop` is cancelled.
pub async fn serve(listener: TcpListener, control: Control, stop: CancellationToken) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(FRAME_BYTES);
        let framed = tarpc::tokio_util::codec::Framed::new(stream, codec);
        let transport = serde_transport::new(framed, Bincode::default());
        let service = Service {
            control: control.clone(),
        };
        let stop = stop.clone();
        tokio::spawn(async move {
            let calls = BaseChannel::with_defaults(transport).execute(service.serve());
            let serving = calls.for_each(|call| async {
                tokio::spawn(call);
            });
            stop.run_until_cancelled(serving).await;
            drop(slot);
        });
    }
}
