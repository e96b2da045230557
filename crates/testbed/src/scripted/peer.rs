//! An upstream that does with each connection and each request what its script says.

use super::{Event, EventLog, SiteConventions, work};
use socket2::SockRef;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// So little is taken from the network ahead of reading that a long request can't be written at once.
const SMALL_BUFFER: usize = 4096;

const EARLY_HINTS: &str = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
const SWITCHING_PROTOCOLS: &str =
    "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n";

/// What an upstream does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// Its response, with a length.
    Complete,
    /// The same in chunks.
    Chunked,
    /// The same in two parts.
    TwoWrites,
    /// An interim response first.
    InterimFirst,
    /// Its response, which announces that the connection closes.
    AnnouncesClose,
    /// Its response, then that of another attempt, at once.
    ThenExtraResponse,
    /// The same, the extra response after a while.
    ThenLateExtraResponse,
    /// Its response, then bytes that are no response.
    ThenGarbage,
    /// Its response, then it closes without notice.
    ThenClose,
    /// Its response, then it resets the connection.
    ThenReset,
    /// First the response of another attempt, then its own.
    ExtraResponseFirst,
    /// The same, the first in chunks.
    ChunkedExtraResponseFirst,
    /// More of these than any client skips.
    ManyExtraResponsesFirst,
    /// Another attempt's response and nothing else.
    ExtraResponseOnly,
    /// The same, then it closes.
    ExtraResponseThenClose,
    /// Another attempt's response that breaks off, and its own behind it.
    PartialExtraResponseThenComplete,
    /// Another attempt's rejection, in the place of its response.
    ForeignRejection,
    /// A rejection without an id: its own on a new connection, ambiguous on one that was used before.
    RejectionWithoutId,
    /// Its response without an id.
    WithoutId,
    /// Its response with two ids.
    TwoIds,
    /// A part of its response, then it closes.
    Partial,
    /// The same, in chunks.
    PartialChunked,
    /// A part of its response, then it resets the connection.
    PartialThenReset,
    /// A part of its response, then it hangs.
    PartialThenHang,
    /// A part of a response whose end is marked by the close only.
    PartialWithoutLength,
    /// Lines that are no response, then it hangs.
    Garbage,
    /// It reads the request and closes.
    Close,
    /// It reads the request and resets the connection.
    Reset,
    /// It reads the request and hangs.
    Hang,
    /// It responds when it has read the head, and reads the rest.
    Early,
    /// The same, and closes instead of reading the rest.
    EarlyThenClose,
    /// It writes another attempt's response and its own when it has read the head.
    EarlyExtraResponse,
    /// It rejects the request as not executed.
    NotExecuted,
    /// It changes the protocol.
    SwitchProtocols,
}

impl ResponseFault {
    /// How the connection goes on after the response.
    fn next_step(self) -> ConnectionStep {
        use ResponseFault::*;
        match self {
            ThenClose
            | ExtraResponseThenClose
            | Partial
            | PartialChunked
            | PartialWithoutLength
            | Close
            | EarlyThenClose => ConnectionStep::Close,
            ThenReset | PartialThenReset | Reset => ConnectionStep::Reset,
            ExtraResponseOnly
            | PartialExtraResponseThenComplete
            | PartialThenHang
            | Garbage
            | Hang
            | SwitchProtocols => ConnectionStep::Hang,
            _ => ConnectionStep::Next,
        }
    }
}

/// Every fault.
pub const RESPONSE_FAULTS: &[ResponseFault] = &[
    ResponseFault::Complete,
    ResponseFault::Chunked,
    ResponseFault::TwoWrites,
    ResponseFault::InterimFirst,
    ResponseFault::AnnouncesClose,
    ResponseFault::ThenExtraResponse,
    ResponseFault::ThenLateExtraResponse,
    ResponseFault::ThenGarbage,
    ResponseFault::ThenClose,
    ResponseFault::ThenReset,
    ResponseFault::ExtraResponseFirst,
    ResponseFault::ChunkedExtraResponseFirst,
    ResponseFault::ManyExtraResponsesFirst,
    ResponseFault::ExtraResponseOnly,
    ResponseFault::ExtraResponseThenClose,
    ResponseFault::PartialExtraResponseThenComplete,
    ResponseFault::ForeignRejection,
    ResponseFault::RejectionWithoutId,
    ResponseFault::WithoutId,
    ResponseFault::TwoIds,
    ResponseFault::Partial,
    ResponseFault::PartialChunked,
    ResponseFault::PartialThenReset,
    ResponseFault::PartialThenHang,
    ResponseFault::PartialWithoutLength,
    ResponseFault::Garbage,
    ResponseFault::Close,
    ResponseFault::Reset,
    ResponseFault::Hang,
    ResponseFault::Early,
    ResponseFault::EarlyThenClose,
    ResponseFault::EarlyExtraResponse,
    ResponseFault::NotExecuted,
    ResponseFault::SwitchProtocols,
];

/// What an upstream does with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStart {
    /// It serves requests.
    Serve,
    /// It closes at once.
    Close,
    /// It resets the connection at once.
    Reset,
    /// A response before any request.
    ExtraResponse,
}

/// Every start of a connection; mostly it serves.
pub const CONNECTION_STARTS: &[ConnectionStart] = &[
    ConnectionStart::Serve,
    ConnectionStart::Serve,
    ConnectionStart::Serve,
    ConnectionStart::Close,
    ConnectionStart::Reset,
    ConnectionStart::ExtraResponse,
];

/// A fault, and how often it yields to the other tasks before what it does late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// What it does with a request.
    pub fault: ResponseFault,
    /// How often it yields before a late write.
    pub yields: u8,
}

/// A response, that the [`SiteConventions`] of a site put into headers.
#[derive(Clone, Debug)]
pub struct ResponseParts<'a> {
    /// The attempt that it names.
    pub attempt_id: &'a str,
    /// The responding instance.
    pub instance: &'a str,
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: &'a str,
    /// True for a rejection.
    pub not_executed: bool,
}

#[derive(Default)]
struct Script {
    steps: VecDeque<Step>,
    openings: VecDeque<ConnectionStart>,
    /// The attempts that came here, in order.
    seen: Vec<String>,
}

/// One upstream under a script. When the script is at its end, it serves without faults.
#[derive(Clone)]
pub struct Peer {
    /// Its instance id.
    pub instance: String,
    /// Where it listens.
    pub address: String,
    conventions: &'static SiteConventions,
    events: EventLog,
    script: Arc<Mutex<Script>>,
}

/// How a connection goes on after a request.
enum ConnectionStep {
    Next,
    Close,
    Reset,
    Hang,
}

impl Peer {
    /// Starts one on loopback.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use testbed::scripted::{EventLog, SiteConventions, Peer};
    /// let peer = Peer::start(&SiteConventions::OWN, "u-1", EventLog::default(), (vec![], vec![])).await;
    /// assert!(tokio::net::TcpStream::connect(&peer.address).await.is_ok());
    /// # });
    /// ```
    pub async fn start(
        conventions: &'static SiteConventions,
        instance: &str,
        events: EventLog,
        (steps, openings): (Vec<Step>, Vec<ConnectionStart>),
    ) -> Peer {
        let socket = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback has a free port");
        let _ = SockRef::from(&socket).set_recv_buffer_size(SMALL_BUFFER);
        let script = Script {
            steps: steps.into(),
            openings: openings.into(),
            seen: Vec::new(),
        };
        let peer = Peer {
            instance: instance.to_owned(),
            address: socket.local_addr().expect("it is bound").to_string(),
            conventions,
            events,
            script: Arc::new(Mutex::new(script)),
        };
        let accepting = peer.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = socket.accept().await {
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        peer
    }

    fn with<T>(&self, change: impl FnOnce(&mut Script) -> T) -> T {
        change(&mut self.script.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn serve(self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let opening = self.with(|script| script.openings.pop_front());
        match opening.unwrap_or(ConnectionStart::Serve) {
            ConnectionStart::Serve => {}
            ConnectionStart::Close => return,
            ConnectionStart::Reset => return reset(stream),
            ConnectionStart::ExtraResponse => {
                drop(stream.write_all(self.foreign("").as_bytes()).await)
            }
        }
        let (mut read, mut carried) = (Vec::new(), 0);
        loop {
            let Some(next) = self.serve_request(&mut stream, &mut read, carried).await else {
                return;
            };
            carried += 1;
            match next {
                ConnectionStep::Next => {}
                ConnectionStep::Close => return,
                ConnectionStep::Reset => return reset(stream),
                ConnectionStep::Hang => return drop(stream.read_to_end(&mut read).await),
            }
        }
    }

    /// Reads a request and responds to it as the script says; `carried` requests came on this connection before. None where
    /// the client is gone.
    async fn serve_request(
        &self,
        stream: &mut TcpStream,
        read: &mut Vec<u8>,
        carried: u32,
    ) -> Option<ConnectionStep> {
        let request = read_head(stream, read, self.conventions.request_id).await?;
        self.events.note(Event::Arrived {
            attempt_id: request.attempt_id.clone(),
        });
        let step = self.with(|script| script.steps.pop_front());
        let step = step.unwrap_or(Step {
            fault: ResponseFault::Complete,
            yields: 0,
        });
        let reads_first = !matches!(
            step.fault,
            ResponseFault::Early
                | ResponseFault::EarlyThenClose
                | ResponseFault::EarlyExtraResponse
        );
        if reads_first {
            read_body(stream, read, request.body_bytes).await?;
        }
        let next = self
            .perform(stream, step, &request.attempt_id, carried)
            .await?;
        self.with(|script| script.seen.push(request.attempt_id.clone()));
        if !reads_first {
            read_body(stream, read, request.body_bytes).await?;
        }
        Some(next)
    }

    /// Writes the response with its fault; none where the client is gone.
    async fn perform(
        &self,
        stream: &mut TcpStream,
        step: Step,
        attempt_id: &str,
        carried: u32,
    ) -> Option<ConnectionStep> {
        let pieces = self.pieces(step.fault, attempt_id);
        self.note_response(step.fault, attempt_id, carried);
        for (at, piece) in pieces.iter().enumerate() {
            if at > 0 {
                yield_repeatedly(step.yields).await;
            }
            stream.write_all(piece.as_bytes()).await.ok()?;
        }
        yield_repeatedly(step.yields).await;
        Some(step.fault.next_step())
    }

    /// Notes what the client may rely on.
    fn note_response(&self, fault: ResponseFault, attempt_id: &str, carried: u32) {
        let attempt_id = attempt_id.to_owned();
        match fault {
            ResponseFault::NotExecuted => self.events.note(Event::RejectionSent { attempt_id }),
            ResponseFault::RejectionWithoutId if carried == 0 => {
                self.events.note(Event::RejectionSent { attempt_id });
            }
            fault if is_complete(fault) => self.events.note(Event::ResponseSent { attempt_id }),
            _ => {}
        }
    }

    /// What is written for a fault, each piece by a write of its own.
    fn pieces(&self, fault: ResponseFault, attempt_id: &str) -> Vec<String> {
        use ResponseFault::*;
        let mine = self.answer(attempt_id);
        let foreign = self.foreign(attempt_id);
        match fault {
            Complete | Early | ThenClose | ThenReset | EarlyThenClose => vec![mine],
            Chunked => vec![chunked(&mine)],
            TwoWrites => split_in_half(&mine).into(),
            InterimFirst => vec![EARLY_HINTS.into(), mine],
            AnnouncesClose => vec![with_header(&mine, "connection: close")],
            ThenExtraResponse => vec![mine + &foreign],
            ThenLateExtraResponse => vec![mine, foreign],
            ThenGarbage => vec![mine, "\u{1}\u{2}half a word".into()],
            ExtraResponseFirst | EarlyExtraResponse => vec![foreign, mine],
            ChunkedExtraResponseFirst => vec![chunked(&foreign), mine],
            ManyExtraResponsesFirst => vec![foreign.repeat(9), mine],
            ExtraResponseOnly | ExtraResponseThenClose => vec![foreign],
            PartialExtraResponseThenComplete => vec![first_half(&foreign), mine],
            ForeignRejection => vec![self.rejection(&self.another(attempt_id))],
            RejectionWithoutId => vec![self.without_id(&self.rejection(attempt_id))],
            WithoutId => vec![self.without_id(&mine)],
            TwoIds => {
                let second = self.another(attempt_id);
                let header = format!("{}: {second}", self.conventions.response_id);
                vec![with_header(&mine, &header)]
            }
            Partial | PartialThenReset | PartialThenHang => vec![first_half(&mine)],
            PartialChunked => vec![first_half(&chunked(&mine))],
            PartialWithoutLength => vec![first_half(&without_header(&mine, "content-length"))],
            Garbage => vec!["220 this is no answer\r\n".repeat(3)],
            Close | Reset | Hang => vec![],
            NotExecuted => vec![self.rejection(attempt_id)],
            SwitchProtocols => vec![SWITCHING_PROTOCOLS.into()],
        }
    }

    fn without_id(&self, response: &str) -> String {
        without_header(response, self.conventions.response_id)
    }

    fn answer(&self, attempt_id: &str) -> String {
        self.render(&ResponseParts {
            attempt_id,
            instance: &self.instance,
            status: 200,
            body: &work(attempt_id),
            not_executed: false,
        })
    }

    fn rejection(&self, attempt_id: &str) -> String {
        self.render(&ResponseParts {
            attempt_id,
            instance: &self.instance,
            status: 503,
            body: "no room",
            not_executed: true,
        })
    }

    /// A attempt that came here before, or one that nobody made.
    fn another(&self, attempt_id: &str) -> String {
        let earlier = self.with(|script| {
            script
                .seen
                .iter()
                .rev()
                .find(|seen| *seen != attempt_id)
                .cloned()
        });
        earlier.unwrap_or_else(|| "try-of-nobody".to_owned())
    }

    fn foreign(&self, attempt_id: &str) -> String {
        self.answer(&self.another(attempt_id))
    }

    fn render(&self, response_parts: &ResponseParts) -> String {
        let headers = (self.conventions.headers)(response_parts)
            .into_iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        let headers: String = headers.collect();
        let (status, length) = (response_parts.status, response_parts.body.len());
        format!(
            "HTTP/1.1 {status} Told\r\n{headers}content-length: {length}\r\n\r\n{}",
            response_parts.body
        )
    }
}

/// True where the act writes the attempt's own response whole, and as one that can be believed.
fn is_complete(fault: ResponseFault) -> bool {
    use ResponseFault::*;
    matches!(
        fault,
        Complete
            | Chunked
            | TwoWrites
            | InterimFirst
            | AnnouncesClose
            | ThenExtraResponse
            | ThenLateExtraResponse
            | ThenGarbage
            | ThenClose
            | ThenReset
            | ExtraResponseFirst
            | ChunkedExtraResponseFirst
            | ManyExtraResponsesFirst
            | WithoutId
            | TwoIds
            | Early
            | EarlyThenClose
            | EarlyExtraResponse
    )
}

async fn yield_repeatedly(yields: u8) {
    for _ in 0..yields {
        tokio::task::yield_now().await;
    }
}

fn reset(stream: TcpStream) {
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

struct Request {
    attempt_id: String,
    body_bytes: usize,
}

async fn read_head(stream: &mut TcpStream, read: &mut Vec<u8>, id: &str) -> Option<Request> {
    loop {
        if let Some(end) = read.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&read[..end]).into_owned();
            read.drain(..end + 4);
            let value = |wanted: &str| {
                let mut fields = head.lines().filter_map(|line| line.split_once(':'));
                fields
                    .find(|(name, _)| name.eq_ignore_ascii_case(wanted))
                    .map(|(_, value)| value.trim().to_owned())
            };
            let body_bytes = value("content-length")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            return Some(Request {
                attempt_id: value(id).unwrap_or_default(),
                body_bytes,
            });
        }
        if stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    }
}

async fn read_body(stream: &mut TcpStream, read: &mut Vec<u8>, bytes: usize) -> Option<()> {
    while read.len() < bytes {
        if stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    }
    read.drain(..bytes);
    Some(())
}

/// Two parts; the first holds the head and half of the body.
fn split_in_half(answer: &str) -> [String; 2] {
    let body = answer.find("\r\n\r\n").map_or(0, |end| end + 4);
    let (first, second) = answer.split_at(body + (answer.len() - body) / 2);
    [first.to_owned(), second.to_owned()]
}

fn first_half(response: &str) -> String {
    let [first, _] = split_in_half(response);
    first
}

fn with_header(answer: &str, header: &str) -> String {
    answer.replacen("\r\n", &format!("\r\n{header}\r\n"), 1)
}

fn without_header(answer: &str, name: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let kept = head
        .split("\r\n")
        .filter(|line| !line.starts_with(&format!("{name}:")));
    format!("{}\r\n\r\n{body}", kept.collect::<Vec<_>>().join("\r\n"))
}

fn chunked(answer: &str) -> String {
    let framed = with_header(
        &without_header(answer, "content-length"),
        "transfer-encoding: chunked",
    );
    let (head, body) = framed.split_once("\r\n\r\n").unwrap_or((&framed, ""));
    let (first, second) = body.split_at(body.len() / 2);
    let chunk = |part: &str| {
        if part.is_empty() {
            String::new()
        } else {
            format!("{:x}\r\n{part}\r\n", part.len())
        }
    };
    format!("{head}\r\n\r\n{}{}0\r\n\r\n", chunk(first), chunk(second))
}
