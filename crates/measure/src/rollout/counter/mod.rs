//! A relay of TCP connections that counts their bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// A relay before one agent.
#[derive(Debug)]
pub(super) struct Counter {
    pub(super) address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl Counter {
    /// Starts a relay to `target`.
    pub(super) async fn start(target: SocketAddr, stop: &CancellationToken) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let bytes = Arc::new(AtomicU64::new(0));
        let accepting = accept(listener, target, Arc::clone(&bytes));
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        Self { address, bytes }
    }

    /// Returns the bytes that passed in both directions.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, bytes: Arc<AtomicU64>) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(target).await else {
            continue;
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::spawn(pass(near_read, far_write, Arc::clone(&bytes)));
        tokio::spawn(pass(far_read, near_write, Arc::clone(&bytes)));
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: Arc<AtomicU64>) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
        bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
}
