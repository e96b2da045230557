//! Settings that change while processes run.

use std::fs::{self, File};
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::{interval, timeout};
use transport::HttpClient;

const LIMIT: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(20);

/// A child of this test; it ends with it.
struct Daemon {
    child: Child,
    log: PathBuf,
    settings: PathBuf,
    fields: String,
    http: String,
    link: String,
}

/// An address on this machine that was free for TCP and UDP a moment ago.
fn address(last: u8) -> String {
    let ip = format!("127.67.{}.{last}", 1 + std::process::id() % 200);
    let found = (0..50).find_map(|_| {
        let address = TcpListener::bind((ip.as_str(), 0))
            .ok()?
            .local_addr()
            .ok()?;
        UdpSocket::bind(address).ok().map(|_| address.to_string())
    });
    found.expect("a free port")
}

impl Daemon {
    fn start(program: &str, folder: &Path, last: u8, more: &str) -> Daemon {
        let (http, link) = (address(last), address(last + 1));
        let (log, settings) = (
            folder.join(format!("{program}.log")),
            folder.join(format!("{program}.json")),
        );
        let node = format!(
            r#""node": "{program}", "locality": "n/1", "http": "{http}", "link": "{link}"{more}"#
        );
        fs::write(&settings, format!("{{{node}}}")).expect("a file");
        let out = File::create(&log).expect("a log");
        let binary = Path::new(env!("CARGO_BIN_EXE_test-harness")).with_file_name(program);
        let mut command = Command::new(binary);
        command
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null());
        command.stdout(out.try_clone().expect("a log")).stderr(out);
        let child = command.spawn().expect("it was built before the tests");
        Daemon {
            child,
            log,
            settings,
            fields: node,
            http,
            link,
        }
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Writes the settings file anew and tells it so, and waits until its log says this.
    async fn reload(&self, text: &str, told: &str) {
        let before = self.log().len();
        fs::write(&self.settings, text).expect("a file");
        self.signal("HUP");
        let mut pause = interval(PAUSE);
        let heard = async {
            while !self.log()[before..].contains(told) {
                pause.tick().await;
            }
        };
        assert!(
            timeout(LIMIT, heard).await.is_ok(),
            "'{told}' is not in {}",
            &self.log()[before..]
        );
    }

    /// The status of a page; none where nobody answers.
    async fn status(&self, path: &str) -> Option<u16> {
        let body = bytes::Bytes::new();
        let called = HttpClient::default()
            .call(&self.http, "GET", path, &[], body, LIMIT, false)
            .await;
        called.ok().map(|reply| reply.status)
    }

    async fn alive(&mut self) -> bool {
        self.status("/live").await == Some(200) && matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the whole log says this.
    async fn until(&self, told: &str) {
        let mut pause = interval(PAUSE);
        let heard = async {
            while !self.log().contains(told) {
                pause.tick().await;
            }
        };
        assert!(
            timeout(LIMIT, heard).await.is_ok(),
            "'{told}' is not in {}",
            self.log()
        );
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[tokio::test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
async fn settings_that_change_are_read_again_and_broken_ones_refused() {
    let folder = std::env::temp_dir().join(format!("reload-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let data = format!(
        r#", "roster-size": 1, "data": "{}""#,
        folder.join("data").display()
    );
    let mut control_node = Daemon::start("control-plane", &folder, 1, &data);
    let mut data_node = Daemon::start("data-plane", &folder, 3, "");
    for daemon in [&mut control_node, &mut data_node] {
        daemon.until("start:").await;
        let fields = daemon.fields.clone();
        daemon
            .reload(&format!("{{{fields}}}"), "seeds are as before")
            .await;
        assert!(daemon.alive().await);
        // Every complaint is told, and nothing is taken over.
        let broken =
            format!(r#"{{{fields}, "colour": "red", "wait-ms": "long", "seeds": "127.0.0.9:9"}}"#);
        // Other complaints list 'wait-ms' among the settings that are known.
        daemon
            .reload(&broken, "going on with the old ones: wait-ms")
            .await;
        daemon.until("going on with the old ones: colour").await;
        let log = daemon.log();
        assert!(!log.contains("seeds are new"), "{log}");
        daemon
            .reload("{\"node\": \"cut sh", "this is not JSON")
            .await;
        assert!(daemon.alive().await);
        let other = fields.replace("\"n/1\"", "\"n/2\"");
        daemon
            .reload(
                &format!("{{{other}}}"),
                "locality is now 'n/2'; that takes effect at the next start",
            )
            .await;
        assert!(daemon.alive().await);
    }
    // The data-plane node knew of nobody. New seeds lead it to the control node.
    assert_eq!(data_node.status("/ready").await, Some(503));
    let found = format!(
        r#"{{{}, "seeds": "{}"}}"#,
        data_node.fields, control_node.link
    );
    data_node
        .reload(&found, &format!("seeds are new ({})", control_node.link))
        .await;
    let mut pause = interval(PAUSE);
    let follows = async {
        while data_node.status("/ready").await != Some(200) {
            pause.tick().await;
        }
    };
    assert!(timeout(LIMIT, follows).await.is_ok(), "{}", data_node.log());
    for daemon in [&mut data_node, &mut control_node] {
        daemon.signal("TERM");
        let ended = async {
            loop {
                pause.tick().await;
                if let Ok(Some(status)) = daemon.child.try_wait() {
                    return status.code();
                }
            }
        };
        assert_eq!(timeout(LIMIT, ended).await, Ok(Some(0)));
    }
    let _ = fs::remove_dir_all(&folder);
}
