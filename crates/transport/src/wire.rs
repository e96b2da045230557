//! The socket under an HTTP client connection, with a record of what went over it for the request under way.
//!
//! The record is what "no byte of the request left this process" and "the answer began before the request was whole"
//! are decided from: it counts what the kernel took, not what a library buffered.

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

/// Has the kernel close a connection whose other side takes nothing for so long, with all that it was handed.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let stream = tokio::net::TcpStream::connect(socket.local_addr().unwrap()).await.unwrap();
/// let span = std::time::Duration::from_millis(500);
/// transport::close_unacknowledged_after(&stream, span);
/// assert_eq!(socket2::SockRef::from(&stream).tcp_user_timeout().unwrap(), Some(span));
/// # });
/// ```
pub fn close_unacknowledged_after(stream: &TcpStream, span: Duration) {
    // A system that knows no such bound gives up by its own, later.
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(span));
}

/// How far a request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The kernel took no byte of it: the other side cannot have read any.
    Unsent,
    /// The kernel took a part of it.
    Partial,
    /// The kernel took all of it.
    Whole,
}

/// What went over the socket since a request began.
#[derive(Debug, Default)]
struct Exchanged {
    written: u64,
    /// Length of the request's head with its empty line, once that was written.
    head: Option<u64>,
    /// How much of the end of the head was matched by the last bytes.
    matched: usize,
    /// What was written when the first byte of an answer was read.
    answered_at: Option<u64>,
}

impl Exchanged {
    fn wrote(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.written += 1;
            if self.head.is_some() {
                continue;
            }
            self.matched = match *byte {
                byte if byte == END_OF_HEAD[self.matched] => self.matched + 1,
                byte => usize::from(byte == END_OF_HEAD[0]),
            };
            if self.matched == END_OF_HEAD.len() {
                self.head = Some(self.written);
            }
        }
    }
}

/// The record of a connection, shared by the socket that keeps it and the connection that reads it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record(Arc<Mutex<Exchanged>>);

impl Record {
    fn with<T>(&self, change: impl FnOnce(&mut Exchanged) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A new request begins.
    pub(crate) fn begin(&self) {
        self.with(|exchanged| *exchanged = Exchanged::default());
    }

    /// How far a request with a body of so many bytes got.
    pub(crate) fn progress(&self, body_bytes: u64) -> Progress {
        self.with(|exchanged| match exchanged.head {
            Some(head) if exchanged.written == head + body_bytes => Progress::Whole,
            None if exchanged.written == 0 => Progress::Unsent,
            _ => Progress::Partial,
        })
    }

    /// True where the first byte of an answer was read before the kernel had taken the whole request.
    pub(crate) fn is_early(&self, body_bytes: u64) -> bool {
        self.with(|exchanged| {
            let whole = exchanged.head.map(|head| head + body_bytes);
            exchanged
                .answered_at
                .is_some_and(|written| Some(written) != whole)
        })
    }
}

/// Whether what is written goes out.
enum Writing {
    Open,
    /// The request is out already; the HTTP library is only led to expect an answer once more. Nothing is read before
    /// it "wrote" its request, since it takes such bytes for unasked ones.
    Withheld {
        reader: Option<Waker>,
        wrote: bool,
    },
}

/// A socket that keeps a record.
pub(crate) struct Wire {
    stream: TcpStream,
    record: Record,
    /// Bytes that were read before, to be read first.
    ahead: Bytes,
    writing: Writing,
}

impl Wire {
    pub(crate) fn new(stream: TcpStream, record: Record) -> Self {
        Wire {
            stream,
            record,
            ahead: Bytes::new(),
            writing: Writing::Open,
        }
    }

    /// The same socket for reading one more answer to the request that is out already: `ahead` was read and not used.
    pub(crate) fn reading_on(self, ahead: Bytes) -> Self {
        Wire {
            ahead,
            writing: Writing::Withheld {
                reader: None,
                wrote: false,
            },
            ..self
        }
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Writing::Withheld {
            reader,
            wrote: false,
        } = &mut self.writing
        {
            *reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        if self.ahead.has_remaining() {
            let count = self.ahead.remaining().min(buffer.remaining());
            buffer.put_slice(&self.ahead.split_to(count));
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.record.with(|exchanged| {
                exchanged.answered_at = exchanged.answered_at.or(Some(exchanged.written))
            });
        }
        Poll::Ready(Ok(()))
    }
}

impl Wire {
    /// True where what is written is withheld, which is noted.
    fn withholds(&mut self) -> bool {
        match &mut self.writing {
            Writing::Open => false,
            Writing::Withheld { reader, wrote } => {
                *wrote = true;
                reader.take().into_iter().for_each(Waker::wake);
                true
            }
        }
    }

    /// Asks the kernel, right before the first byte of a request, whether anything stands on the connection: what came
    /// before the request is no answer to it. The runtime's own knowledge of that may be a turn old.
    fn look(&self) -> io::Result<()> {
        if self.record.with(|exchanged| exchanged.written > 0) {
            return Ok(());
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(failure) if failure.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(failure) => Err(failure),
            Ok(_) => Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "closed, or answered before it was asked",
            )),
        }
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.withholds() {
            return Poll::Ready(Ok(bytes.len()));
        }
        self.look()?;
        let count = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.record
            .with(|exchanged| exchanged.wrote(&bytes[..count]));
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.withholds() {
            return Poll::Ready(Ok(parts.iter().map(|part| part.len()).sum()));
        }
        self.look()?;
        let count = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, parts))?;
        self.record.with(|exchanged| {
            let mut left = count;
            parts.iter().for_each(|part| {
                let taken = part.len().min(left);
                exchanged.wrote(&part[..taken]);
                left -= taken;
            });
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
