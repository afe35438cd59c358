//! A TCP proxy that injects faults between two processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Bytes read from a connection at once.
const BUFFER_BYTES: usize = 16 << 10;

/// Fault that the proxy applies to traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Passes everything on.
    #[default]
    Pass,
    /// Closes every connection and refuses new ones.
    Cut,
    /// Keeps connections open and passes nothing on.
    Hold,
    /// Passes every chunk on after a delay.
    Delay(Duration),
    /// Passes requests on and discards responses.
    DropAnswers,
    /// Closes the direction from the server to the client only.
    HalfClose,
}

/// A running proxy in front of one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
}

impl Proxy {
    /// Starts a proxy to `target` on a port that the system chooses.
    ///
    /// # Errors
    /// Returns the error of the listener.
    pub async fn start(target: SocketAddr, stop: CancellationToken) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let proxy = Self {
            address: listener.local_addr()?,
            fault: watch::Sender::new(Fault::Pass),
        };
        let fault = proxy.fault.subscribe();
        tokio::spawn(async move {
            let run = accept(listener, target, fault);
            stop.run_until_cancelled(run).await;
        });
        Ok(proxy)
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault for open and new connections.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, fault: watch::Receiver<Fault>) {
    loop {
        // `accept` also fails for a connection that was reset before it was accepted.
        // Returning on that error would refuse all later clients.
        let Ok((client, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        if *fault.borrow() == Fault::Cut {
            continue;
        }
        let fault = fault.clone();
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let nodelay = client.set_nodelay(true).and(server.set_nodelay(true));
            if nodelay.is_err() {
                return;
            }
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            let up = pump(client_read, server_write, fault.clone(), false);
            let down = pump(server_read, client_write, fault.clone(), true);
            let mut cut = fault;
            tokio::select! {
                _ = async { tokio::join!(up, down) } => {}
                _ = cut.wait_for(|fault| *fault == Fault::Cut) => {}
            }
        });
    }
}

/// Moves bytes in one direction until either end closes.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<Fault>,
    is_response: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        let Ok(current) = fault
            .wait_for(|fault| *fault != Fault::Hold)
            .await
            .map(|fault| *fault)
        else {
            break;
        };
        match current {
            Fault::DropAnswers if is_response => continue,
            Fault::HalfClose if is_response => break,
            Fault::Delay(delay) => tokio::time::sleep(delay).await,
            _ => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    if to.shutdown().await.is_err() {
        // The peer has already closed the connection.
    }
}
