//! An upstream that does with each connection and each request what its script says.

use super::{Fact, Facts, Manner, work};
use socket2::SockRef;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// So little is taken from the network ahead of reading that a long request can't be written at once.
const SMALL_BUFFER: usize = 4096;

/// What an upstream does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Its answer, with a length.
    Whole,
    /// The same in chunks.
    Chunked,
    /// The same in two parts.
    InParts,
    /// An interim answer first.
    Interim,
    /// Its answer, and that this is the last one here.
    Last,
    /// Its answer, then that of another try, at once.
    ThenSurplus,
    /// The same, the surplus after a while.
    ThenLateSurplus,
    /// Its answer, then bytes that are none.
    ThenGarbage,
    /// Its answer, then it closes or resets without a word.
    ThenClose,
    ThenReset,
    /// First the answer of another try, then its own.
    SurplusFirst,
    ChunkedSurplusFirst,
    /// More of these than anybody reads past.
    ManySurplusFirst,
    /// Another try's answer and nothing else.
    SurplusOnly,
    SurplusThenClose,
    /// Another try's answer that breaks off, and its own behind it.
    HalfSurplusThenWhole,
    /// Another try's denial, in the place of its answer.
    ForeignDenial,
    /// A denial that names nobody: its own on a new connection, and nobody knows whose on one that was used.
    NamelessDenial,
    /// Its answer without a name, and with two.
    Nameless,
    TwoNames,
    /// A part of its answer, then it closes, resets or hangs.
    Half,
    HalfChunked,
    HalfReset,
    HalfHang,
    /// A part of an answer whose end is told by the close only.
    HalfWithoutLength,
    Garbage,
    /// It reads, and closes, resets or hangs.
    Close,
    Reset,
    Hang,
    /// It answers when it has read the head, and reads the rest or not.
    Early,
    EarlyThenClose,
    EarlySurplus,
    /// It did not run it, and says so.
    NotRun,
    /// It changes the protocol.
    Switch,
}

/// Every act.
pub const ACTS: &[Act] = &[
    Act::Whole,
    Act::Chunked,
    Act::InParts,
    Act::Interim,
    Act::Last,
    Act::ThenSurplus,
    Act::ThenLateSurplus,
    Act::ThenGarbage,
    Act::ThenClose,
    Act::ThenReset,
    Act::SurplusFirst,
    Act::ChunkedSurplusFirst,
    Act::ManySurplusFirst,
    Act::SurplusOnly,
    Act::SurplusThenClose,
    Act::HalfSurplusThenWhole,
    Act::ForeignDenial,
    Act::NamelessDenial,
    Act::Nameless,
    Act::TwoNames,
    Act::Half,
    Act::HalfChunked,
    Act::HalfReset,
    Act::HalfHang,
    Act::HalfWithoutLength,
    Act::Garbage,
    Act::Close,
    Act::Reset,
    Act::Hang,
    Act::Early,
    Act::EarlyThenClose,
    Act::EarlySurplus,
    Act::NotRun,
    Act::Switch,
];

/// What an upstream does with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    Serve,
    Close,
    Reset,
    /// An answer before anything was asked.
    Surplus,
}

/// Every opening; mostly it serves.
pub const OPENINGS: &[Opening] = &[
    Opening::Serve,
    Opening::Serve,
    Opening::Serve,
    Opening::Close,
    Opening::Reset,
    Opening::Surplus,
];

/// An act, and how many turns of the other tasks it waits before what it does late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    pub act: Act,
    pub turns: u8,
}

/// An answer, to be put into headers by the [`Manner`] of a site.
#[derive(Clone, Debug)]
pub struct Said<'a> {
    pub try_id: &'a str,
    pub instance: &'a str,
    pub status: u16,
    pub body: &'a str,
    pub not_run: bool,
}

#[derive(Default)]
struct Script {
    steps: VecDeque<Step>,
    openings: VecDeque<Opening>,
    /// The tries that came here, in order.
    seen: Vec<String>,
}

/// One upstream under a script. When the script is at its end, it serves well.
#[derive(Clone)]
pub struct Peer {
    pub instance: String,
    pub address: String,
    manner: &'static Manner,
    facts: Facts,
    script: Arc<Mutex<Script>>,
}

/// How a connection goes on after a request.
enum Then {
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
    /// use testbed::scripted::{Facts, Manner, Peer};
    /// let peer = Peer::start(&Manner::OWN, "u-1", Facts::default(), (vec![], vec![])).await;
    /// assert!(tokio::net::TcpStream::connect(&peer.address).await.is_ok());
    /// # });
    /// ```
    pub async fn start(
        manner: &'static Manner,
        instance: &str,
        facts: Facts,
        (steps, openings): (Vec<Step>, Vec<Opening>),
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
            manner,
            facts,
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
        match self
            .with(|script| script.openings.pop_front())
            .unwrap_or(Opening::Serve)
        {
            Opening::Serve => {}
            Opening::Close => return,
            Opening::Reset => return reset(stream),
            Opening::Surplus => drop(stream.write_all(self.foreign("").as_bytes()).await),
        }
        let (mut read, mut carried) = (Vec::new(), 0);
        loop {
            let Some(request) = read_head(&mut stream, &mut read, self.manner.request_id).await
            else {
                return;
            };
            self.facts.note(Fact::Arrived {
                try_id: request.try_id.clone(),
            });
            let step = self.with(|script| script.steps.pop_front());
            let step = step.unwrap_or(Step {
                act: Act::Whole,
                turns: 0,
            });
            let reads_first = !matches!(
                step.act,
                Act::Early | Act::EarlyThenClose | Act::EarlySurplus
            );
            if reads_first
                && read_body(&mut stream, &mut read, request.body_bytes)
                    .await
                    .is_none()
            {
                return;
            }
            let Some(then) = self
                .perform(&mut stream, step, &request.try_id, carried)
                .await
            else {
                return;
            };
            carried += 1;
            self.with(|script| script.seen.push(request.try_id.clone()));
            if !reads_first
                && read_body(&mut stream, &mut read, request.body_bytes)
                    .await
                    .is_none()
            {
                return;
            }
            match then {
                Then::Next => {}
                Then::Close => return,
                Then::Reset => return reset(stream),
                Then::Hang => return drop(stream.read_to_end(&mut read).await),
            }
        }
    }

    /// Writes what the act says; none where the client is gone.
    async fn perform(
        &self,
        stream: &mut TcpStream,
        step: Step,
        try_id: &str,
        carried: u32,
    ) -> Option<Then> {
        let mine = self.answer(try_id);
        let foreign = self.foreign(try_id);
        let (pieces, then): (Vec<String>, Then) = match step.act {
            Act::Whole | Act::Early => (vec![mine], Then::Next),
            Act::Chunked => (vec![chunked(&mine)], Then::Next),
            Act::InParts => (halves(&mine).into(), Then::Next),
            Act::Interim => (
                vec![
                    "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".into(),
                    mine,
                ],
                Then::Next,
            ),
            Act::Last => (vec![with_header(&mine, "connection: close")], Then::Next),
            Act::ThenSurplus => (vec![mine + &foreign], Then::Next),
            Act::ThenLateSurplus => (vec![mine, foreign], Then::Next),
            Act::ThenGarbage => (vec![mine, "\u{1}\u{2}half a word".into()], Then::Next),
            Act::ThenClose => (vec![mine], Then::Close),
            Act::ThenReset => (vec![mine], Then::Reset),
            Act::SurplusFirst => (vec![foreign, mine], Then::Next),
            Act::ChunkedSurplusFirst => (vec![chunked(&foreign), mine], Then::Next),
            Act::ManySurplusFirst => (vec![foreign.repeat(9), mine], Then::Next),
            Act::SurplusOnly => (vec![foreign], Then::Hang),
            Act::SurplusThenClose => (vec![foreign], Then::Close),
            Act::HalfSurplusThenWhole => (vec![halves(&foreign)[0].clone(), mine], Then::Hang),
            Act::ForeignDenial => (vec![self.denial(&self.another(try_id))], Then::Next),
            Act::NamelessDenial => (
                vec![without_header(&self.denial(try_id), self.manner.answer_id)],
                Then::Next,
            ),
            Act::Nameless => (
                vec![without_header(&mine, self.manner.answer_id)],
                Then::Next,
            ),
            Act::TwoNames => (
                vec![with_header(
                    &mine,
                    &format!("{}: {}", self.manner.answer_id, self.another(try_id)),
                )],
                Then::Next,
            ),
            Act::Half => (vec![halves(&mine)[0].clone()], Then::Close),
            Act::HalfChunked => (vec![halves(&chunked(&mine))[0].clone()], Then::Close),
            Act::HalfReset => (vec![halves(&mine)[0].clone()], Then::Reset),
            Act::HalfHang => (vec![halves(&mine)[0].clone()], Then::Hang),
            Act::HalfWithoutLength => (
                vec![halves(&without_header(&mine, "content-length"))[0].clone()],
                Then::Close,
            ),
            Act::Garbage => (vec!["220 this is no answer\r\n".repeat(3)], Then::Hang),
            Act::Close => (vec![], Then::Close),
            Act::Reset => (vec![], Then::Reset),
            Act::Hang => (vec![], Then::Hang),
            Act::EarlyThenClose => (vec![mine], Then::Close),
            Act::EarlySurplus => (vec![foreign, mine], Then::Next),
            Act::NotRun => (vec![self.denial(try_id)], Then::Next),
            Act::Switch => (
                vec![
                    "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n"
                        .into(),
                ],
                Then::Hang,
            ),
        };
        match step.act {
            Act::NotRun => self.facts.note(Fact::SaidNotRun {
                try_id: try_id.to_owned(),
            }),
            Act::NamelessDenial if carried == 0 => self.facts.note(Fact::SaidNotRun {
                try_id: try_id.to_owned(),
            }),
            act if is_whole(act) => self.facts.note(Fact::Answered {
                try_id: try_id.to_owned(),
            }),
            _ => {}
        }
        for (at, piece) in pieces.iter().enumerate() {
            if at > 0 {
                pass_turns(step.turns).await;
            }
            stream.write_all(piece.as_bytes()).await.ok()?;
        }
        pass_turns(step.turns).await;
        Some(then)
    }

    fn answer(&self, try_id: &str) -> String {
        self.say(&Said {
            try_id,
            instance: &self.instance,
            status: 200,
            body: &work(try_id),
            not_run: false,
        })
    }

    fn denial(&self, try_id: &str) -> String {
        self.say(&Said {
            try_id,
            instance: &self.instance,
            status: 503,
            body: "no room",
            not_run: true,
        })
    }

    /// A try that came here before, or one that nobody made.
    fn another(&self, try_id: &str) -> String {
        let earlier = self.with(|script| {
            script
                .seen
                .iter()
                .rev()
                .find(|seen| *seen != try_id)
                .cloned()
        });
        earlier.unwrap_or_else(|| "try-of-nobody".to_owned())
    }

    fn foreign(&self, try_id: &str) -> String {
        self.answer(&self.another(try_id))
    }

    fn say(&self, said: &Said) -> String {
        let headers = (self.manner.headers)(said)
            .into_iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        let headers: String = headers.collect();
        let (status, length) = (said.status, said.body.len());
        format!(
            "HTTP/1.1 {status} Told\r\n{headers}content-length: {length}\r\n\r\n{}",
            said.body
        )
    }
}

/// True where the act writes the try's own answer whole, and as one that can be believed.
fn is_whole(act: Act) -> bool {
    use Act::*;
    matches!(
        act,
        Whole
            | Chunked
            | InParts
            | Interim
            | Last
            | ThenSurplus
            | ThenLateSurplus
            | ThenGarbage
            | ThenClose
            | ThenReset
            | SurplusFirst
            | ChunkedSurplusFirst
            | ManySurplusFirst
            | Nameless
            | TwoNames
            | Early
            | EarlyThenClose
            | EarlySurplus
    )
}

async fn pass_turns(turns: u8) {
    for _ in 0..turns {
        tokio::task::yield_now().await;
    }
}

fn reset(stream: TcpStream) {
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

struct Request {
    try_id: String,
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
                try_id: value(id).unwrap_or_default(),
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
fn halves(answer: &str) -> [String; 2] {
    let body = answer.find("\r\n\r\n").map_or(0, |end| end + 4);
    let (first, second) = answer.split_at(body + (answer.len() - body) / 2);
    [first.to_owned(), second.to_owned()]
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
