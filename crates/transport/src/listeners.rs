//! The sockets that a process listens on, and why it could not start.

use config::Settings;
use error_stack::{FrameKind, Report, ResultExt};
use std::fmt;
use tokio::net::{TcpListener, UdpSocket};

/// What kept a process from starting.
#[derive(Debug)]
pub struct StartError(String);

impl StartError {
    /// A sentence on what could not be done; causes are attached below it.
    ///
    /// ```
    /// assert_eq!(transport::StartError::new("data: can't be opened").to_string(), "data: can't be opened");
    /// ```
    pub fn new(text: impl Into<String>) -> Self {
        StartError(text.into())
    }
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StartError {}

/// The sockets that every node listens on.
pub struct Listeners {
    /// HTTP: operators, clients or upstreams.
    pub http: TcpListener,
    /// Links from other nodes.
    pub link: TcpListener,
    /// Datagrams of membership's failure detection, on the same address as links.
    pub probe: UdpSocket,
}

impl Listeners {
    /// Opens them where the settings say.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use config::{Setting, Settings, SettingType};
    /// const ADDRESS: fn(&'static str) -> Setting =
    ///     |name| Setting { name, kind: SettingType::Address, default: Some("127.0.0.1:0"), help: "" };
    /// let table = [ADDRESS("http"), ADDRESS("link")];
    /// let settings = Settings::parse(&[&table], None, &[]).unwrap();
    /// assert!(transport::Listeners::open(&settings).await.is_ok());
    /// # });
    /// ```
    pub async fn open(settings: &Settings) -> Result<Listeners, Report<StartError>> {
        let cannot_listen =
            || StartError::new(format!("link: can't listen on {}", settings.get("link")));
        Ok(Listeners {
            http: listen(settings, "http").await?,
            link: listen(settings, "link").await?,
            probe: UdpSocket::bind(settings.get("link"))
                .await
                .change_context_lazy(cannot_listen)?,
        })
    }
}

/// Listens on the address of a setting.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// use config::{Setting, Settings, SettingType};
/// let table = [Setting { name: "http", kind: SettingType::Address, default: Some("127.0.0.1:0"), help: "" }];
/// let settings = Settings::parse(&[&table], None, &[]).unwrap();
/// assert!(transport::listen(&settings, "http").await.is_ok());
/// # });
/// ```
pub async fn listen(settings: &Settings, name: &str) -> Result<TcpListener, Report<StartError>> {
    let cannot_listen =
        || StartError::new(format!("{name}: can't listen on {}", settings.get(name)));
    TcpListener::bind(settings.get(name))
        .await
        .change_context_lazy(cannot_listen)
}

/// A failure and what caused it, in one line.
///
/// ```
/// use error_stack::Report;
/// let report = Report::new(transport::StartError::new("no disk")).change_context(transport::StartError::new("data"));
/// assert_eq!(transport::error_chain(&report), "data: no disk");
/// ```
pub fn error_chain<C>(report: &Report<C>) -> String {
    let frames = report.frames().filter_map(|frame| match frame.kind() {
        FrameKind::Context(context) => Some(context.to_string()),
        _ => None,
    });
    frames.collect::<Vec<_>>().join(": ")
}

/// Ends the process where it could not start, and says why in the log and on standard error.
///
/// ```
/// transport::exit_on_start_error("data-plane", Ok(()));
/// ```
pub fn exit_on_start_error(name: &str, run: Result<(), Report<StartError>>) {
    if let Err(report) = run {
        let text = error_chain(&report);
        log::error!("start: {text}");
        eprintln!("{name}: {text}");
        std::process::exit(crate::exit::START_FAILED);
    }
}
