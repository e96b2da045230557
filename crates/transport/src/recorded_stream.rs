//! The TCP stream under an HTTP client connection, with a record of what went over it for the request in flight.
//!
//! "No byte of the request left this process" and "the response began before the request was complete" are decided from
//! the record: it counts what the kernel took, not what a library buffered.

use bytes::{Buf, Bytes};
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// Has the kernel close a connection whose other side acknowledges nothing for so long (`TCP_USER_TIMEOUT`), and
/// drop all that it still holds for it.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let stream = tokio::net::TcpStream::connect(socket.local_addr().unwrap()).await.unwrap();
/// let span = std::time::Duration::from_millis(500);
/// transport::set_unacknowledged_timeout(&stream, span);
/// assert_eq!(socket2::SockRef::from(&stream).tcp_user_timeout().unwrap(), Some(span));
/// # });
/// ```
pub fn set_unacknowledged_timeout(stream: &TcpStream, timeout: Duration) {
    // A system without this option gives up by its own rules, later.
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(timeout));
}

/// How far a request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The kernel took no byte of it: the other side cannot have read any.
    Unsent,
    /// The kernel took some of it.
    Partial,
    /// The kernel took all of it.
    Complete,
}

/// What went over the stream since a request started.
#[derive(Debug, Default)]
struct RecordedBytes {
    /// Bytes that the kernel took.
    written: u64,
    /// Length of the request's head with its empty line, once that was written.
    head_bytes: Option<u64>,
    /// How many bytes of the end of the head the last bytes match.
    end_of_head_matched: usize,
    /// How much was written when the first byte of a response was read.
    written_at_response: Option<u64>,
}

impl RecordedBytes {
    fn record_written(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.written += 1;
            if self.head_bytes.is_some() {
                continue;
            }
            self.end_of_head_matched = match *byte {
                byte if byte == END_OF_HEAD[self.end_of_head_matched] => {
                    self.end_of_head_matched + 1
                }
                byte => usize::from(byte == END_OF_HEAD[0]),
            };
            if self.end_of_head_matched == END_OF_HEAD.len() {
                self.head_bytes = Some(self.written);
            }
        }
    }
}

/// The record of a connection, shared by the stream that writes it and the connection that reads it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExchangeRecord(Arc<Mutex<RecordedBytes>>);

impl ExchangeRecord {
    fn with<T>(&self, change: impl FnOnce(&mut RecordedBytes) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A new request starts: what is recorded from now on belongs to it.
    pub(crate) fn start_request(&self) {
        self.with(|recorded| *recorded = RecordedBytes::default());
    }

    /// How far a request with a body of so many bytes got.
    pub(crate) fn progress(&self, body_bytes: u64) -> Progress {
        self.with(|recorded| match recorded.head_bytes {
            Some(head) if recorded.written == head + body_bytes => Progress::Complete,
            None if recorded.written == 0 => Progress::Unsent,
            _ => Progress::Partial,
        })
    }

    /// True where the first byte of a response was read before the kernel had taken the whole request.
    pub(crate) fn response_came_early(&self, body_bytes: u64) -> bool {
        self.with(|recorded| {
            let complete = recorded.head_bytes.map(|head| head + body_bytes);
            recorded
                .written_at_response
                .is_some_and(|written| Some(written) != complete)
        })
    }
}

/// What happens to bytes that the HTTP library writes.
enum WriteMode {
    /// They go to the kernel.
    PassThrough,
    /// They are dropped: the request is out already, and the HTTP library is only made to expect a response once more.
    /// Nothing is read before it "wrote" its request, since it takes such bytes for a response without a request.
    Discard { reader: Option<Waker>, wrote: bool },
}

/// A TCP stream that keeps a record.
pub(crate) struct RecordedStream {
    stream: TcpStream,
    record: ExchangeRecord,
    /// Bytes that were read before, to be read first.
    read_ahead: Bytes,
    mode: WriteMode,
}

impl RecordedStream {
    pub(crate) fn new(stream: TcpStream, record: ExchangeRecord) -> Self {
        RecordedStream {
            stream,
            record,
            read_ahead: Bytes::new(),
            mode: WriteMode::PassThrough,
        }
    }

    /// The same stream for reading one more response to the request that is out already: `read_ahead` was read from it
    /// and not used.
    pub(crate) fn for_next_response(self, read_ahead: Bytes) -> Self {
        RecordedStream {
            read_ahead,
            mode: WriteMode::Discard {
                reader: None,
                wrote: false,
            },
            ..self
        }
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let WriteMode::Discard {
            reader,
            wrote: false,
        } = &mut self.mode
        {
            *reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        if self.read_ahead.has_remaining() {
            let count = self.read_ahead.remaining().min(buffer.remaining());
            buffer.put_slice(&self.read_ahead.split_to(count));
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.record.with(|recorded| {
                recorded.written_at_response =
                    recorded.written_at_response.or(Some(recorded.written))
            });
        }
        Poll::Ready(Ok(()))
    }
}

impl RecordedStream {
    /// True where writes are dropped; notes that there was one, and lets reading begin.
    fn discards_writes(&mut self) -> bool {
        match &mut self.mode {
            WriteMode::PassThrough => false,
            WriteMode::Discard { reader, wrote } => {
                *wrote = true;
                if let Some(reader) = reader.take() {
                    reader.wake();
                }
                true
            }
        }
    }

    /// Asks the kernel, right before the first byte of a request, whether anything arrived on the connection: what came
    /// before the request is no response to it. The runtime's own knowledge of that may be stale.
    fn check_nothing_arrived(&self) -> io::Result<()> {
        if self.record.with(|recorded| recorded.written > 0) {
            return Ok(());
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(failure) if failure.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(failure) => Err(failure),
            Ok(_) => Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "closed, or a response came before the request",
            )),
        }
    }
}

impl AsyncWrite for RecordedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.discards_writes() {
            return Poll::Ready(Ok(bytes.len()));
        }
        self.check_nothing_arrived()?;
        let count = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.record
            .with(|recorded| recorded.record_written(&bytes[..count]));
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.discards_writes() {
            return Poll::Ready(Ok(parts.iter().map(|part| part.len()).sum()));
        }
        self.check_nothing_arrived()?;
        let count = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, parts))?;
        self.record.with(|recorded| {
            let mut left = count;
            for part in parts {
                let taken = part.len().min(left);
                recorded.record_written(&part[..taken]);
                left -= taken;
            }
        });
        Poll::Ready(Ok(count))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
