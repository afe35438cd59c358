//! A TCP connection that is shared between the HTTP library and the calls that use it.
//!
//! A peer may have closed the connection behind bytes that are still unread, for
//! instance while the VM was suspended. The HTTP library notices that only at its next
//! read, after the call has been forwarded; [`Socket::is_closed`] checks it before. A
//! closed connection also still delivers the bytes in its send buffer, so that an
//! abandoned call could reach its upstream seconds later; [`Socket::reset_on_close`]
//! discards them. Bytes that arrive before a request are no answer to it; after
//! [`Socket::start_request`] they make the write fail.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::AsRawFd as _;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Value of [`Shared::readable`] for a connection whose reads are not limited.
const UNLIMITED: usize = usize::MAX;

/// Most bytes of one read. The HTTP library enlarges the buffer of a connection, up to 64 KiB, when a
/// read fills it, and keeps it; with 400 streams these buffers took 20 MB.
const MAX_READ: usize = 16_000;

/// Connections that this process has open.
static OPEN: AtomicUsize = AtomicUsize::new(0);

/// Returns how many connections this process has open.
pub fn open() -> usize {
    OPEN.load(Ordering::Relaxed)
}

/// Cloneable handle of a TCP connection; the last one dropped closes it.
#[derive(Clone, Debug)]
pub struct Socket(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    /// Bytes that may still be read, or [`UNLIMITED`].
    readable: AtomicUsize,
    /// Whether a request has been started of which nothing is written yet.
    unsent: AtomicBool,
    /// Bytes that were read and written.
    moved: AtomicU64,
}

impl Drop for Shared {
    fn drop(&mut self) {
        OPEN.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Socket {
    /// Takes ownership of a connection.
    pub fn new(stream: TcpStream) -> Self {
        OPEN.fetch_add(1, Ordering::Relaxed);
        Self(Arc::new(Shared {
            stream,
            moved: AtomicU64::new(0),
            readable: AtomicUsize::new(UNLIMITED),
            unsent: AtomicBool::new(false),
        }))
    }

    /// Makes the next write fail unless the connection is idle at that moment. Other tasks run
    /// between the choice of a connection and the first write, and the HTTP library does not
    /// see bytes of which the runtime has not been notified.
    pub fn start_request(&self) {
        self.0.unsent.store(true, Ordering::Relaxed);
    }

    /// Returns whether nothing has been written since [`Socket::start_request`].
    pub fn is_unsent(&self) -> bool {
        self.0.unsent.load(Ordering::Relaxed)
    }

    /// Makes reads fail once this many bytes have been read. The HTTP library bounds a header,
    /// but not the number of interim answers before it.
    pub fn limit_reads(&self, bytes: usize) {
        self.0.readable.store(bytes, Ordering::Relaxed);
    }

    /// Ends [`Socket::limit_reads`].
    pub fn lift_read_limit(&self) {
        self.0.readable.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Returns how many bytes were read and written.
    pub fn moved(&self) -> u64 {
        self.0.moved.load(Ordering::Relaxed)
    }

    /// Returns how many written bytes the peer has not acknowledged.
    pub fn unread_by_peer(&self) -> usize {
        let mut bytes: libc::c_int = 0;
        // SAFETY: the descriptor is open, and `bytes` is a valid place for the result.
        let result =
            unsafe { libc::ioctl(self.0.stream.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
        if result == 0 {
            usize::try_from(bytes).unwrap_or_default()
        } else {
            let error = io::Error::last_os_error();
            log::debug!("event=send_queue_unknown reason=\"{error}\"");
            0
        }
    }

    /// Bounds the send buffer of the connection.
    pub fn limit_send_buffer(&self, bytes: usize) {
        if let Err(error) = SockRef::from(&self.0.stream).set_send_buffer_size(bytes) {
            log::debug!("event=send_buffer_unset reason=\"{error}\"");
        }
    }

    /// Sets the time without acknowledgement after which the operating system closes the connection.
    pub fn set_user_timeout(&self, time: Duration) {
        if let Err(error) = SockRef::from(&self.0.stream).set_tcp_user_timeout(Some(time)) {
            log::debug!("event=user_timeout_unset reason=\"{error}\"");
        }
    }

    /// Counts bytes that were read against the limit.
    fn count_read(&self, bytes: usize) -> io::Result<()> {
        let readable = self.0.readable.load(Ordering::Relaxed);
        if readable == UNLIMITED {
            return Ok(());
        }
        let Some(left) = readable.checked_sub(bytes) else {
            let reason = "the answer exceeds the size limit of its header";
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        };
        self.0.readable.store(left, Ordering::Relaxed);
        Ok(())
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.0.stream).peek(&mut byte) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Returns whether the connection is open and has no unread bytes, as it must be
    /// between two calls.
    pub fn is_idle(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.0.stream).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Makes closing the connection send a reset, which discards undelivered bytes.
    pub fn reset_on_close(&self) {
        if let Err(error) = SockRef::from(&self.0.stream).set_linger(Some(Duration::ZERO)) {
            log::debug!("event=no_reset reason=\"{error}\"");
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            let size = buf.remaining().min(MAX_READ);
            match self.0.stream.try_read(buf.initialize_unfilled_to(size)) {
                Ok(read) => {
                    self.count_read(read)?;
                    self.0.moved.fetch_add(read as u64, Ordering::Relaxed);
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Socket {
    fn poll_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            if self.is_unsent() && !self.is_idle() {
                let reason = "the peer closed or wrote before the request";
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
            }
            match write(&self.0.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    if let Ok(bytes) = &written {
                        self.0.unsent.store(false, Ordering::Relaxed);
                        self.0.moved.fetch_add(*bytes as u64, Ordering::Relaxed);
                    }
                    return Poll::Ready(written);
                }
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream| stream.try_write(buf))
    }

    // The HTTP library then writes bodies from where they are. Otherwise it copies them to a buffer
    // that each connection keeps.
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
