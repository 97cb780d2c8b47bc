//! Guards against a daemon that starts with invalid settings, that does not report where they are
//! invalid, or that aborts a request when it is terminated.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use corneltrestle::local::client::Client;
use corneltrestle::local::{Local, Plan};
use corneltrestle::node::digest;
use hyper::{Method, StatusCode};
use test_case::test_case;

const KEY: &str = "key-of-acme";
const CALLERS_PORT: u16 = 8_080;
const OPERATORS_PORT: u16 = 9_080;
/// Time limit of waiting for a daemon; only a failing test reaches it.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The temporary directory and the loopback address of a test, which `number` distinguishes from
/// other tests.
struct Fixture {
    folder: PathBuf,
    ip: Ipv4Addr,
}

impl Fixture {
    fn open(number: u8) -> Self {
        let [.., high, low] = std::process::id().to_be_bytes();
        let folder = std::env::temp_dir().join(format!("corneltrestled-{high}-{low}-{number}"));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("secret"), "local-secret-of-the-nodes").unwrap();
        std::fs::write(folder.join("token"), "local-operator-token").unwrap();
        Self { folder, ip: Ipv4Addr::new(127, 100 + number, high, low) }
    }

    fn settings(&self, store: SocketAddr, vms: SocketAddr) -> String {
        let (ip, files) = (self.ip, self.folder.display());
        format!(
            "[node]\nid = entry\nzone = zone-a\nlink = {ip}:7080\nsecret-file = {files}/secret\n\
             [callers]\naddress = {ip}:{CALLERS_PORT}\n\
             [operators]\naddress = {ip}:{OPERATORS_PORT}\ntoken-file = {files}/token\n\
             [store]\naddress = {store}\n[vms]\naddress = {vms}\n"
        )
    }

    /// Settings with addresses of the store and the VM list at which nothing listens.
    fn without_platform(&self) -> String {
        let closed = (self.ip, 1).into();
        self.settings(closed, closed)
    }

    fn write(&self, settings: &str) -> PathBuf {
        let file = self.folder.join("node.ini");
        std::fs::write(&file, settings).unwrap();
        file
    }

    fn caller(&self, port: u16, key: &str) -> Client {
        Client::new((self.ip, port).into(), key)
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn daemon(file: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_corneltrestled"));
    command.arg("--settings").arg(file).args(arguments);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn terminate(child: &Child) {
    let status = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    assert!(status.success());
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Waits until the daemon responds to `GET path` with the status `wanted`.
async fn wait_for_status(caller: &Client, path: &str, wanted: StatusCode) {
    let wait = async {
        loop {
            let response = caller.call(Method::GET, path, &[], Vec::new()).await;
            if response.is_ok_and(|response| response.status == wanted) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait).await.unwrap();
}

#[test]
fn check_accepts_valid_settings() {
    let fixture = Fixture::open(1);
    let output =
        daemon(&fixture.write(&fixture.without_platform()), &["--check"]).output().unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[test_case(2, "id = entry", "id =", "node.ini:2: [node] id"; "value missing")]
#[test_case(3, "zone = zone-a\n", "", "[node] zone"; "required key missing")]
#[test_case(4, ":8080", "", "node.ini:7: [callers] address"; "port missing")]
#[test_case(5, "[store]", "[stores]", "node.ini:11: [stores]"; "unknown section")]
#[test_case(6, "token-file", "token", "node.ini:10: [operators] token"; "unknown key")]
fn invalid_settings_are_reported_with_their_location(
    number: u8,
    valid: &str,
    invalid: &str,
    location: &str,
) {
    let fixture = Fixture::open(number);
    let file = fixture.write(&fixture.without_platform().replacen(valid, invalid, 1));
    for arguments in [&["--check"][..], &[]] {
        let output = daemon(&file, arguments).output().unwrap();
        assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
        assert!(stderr(&output).contains(location), "{}", stderr(&output));
    }
}

#[test]
fn absent_settings_file_is_reported() {
    let output = daemon(Path::new("absent/node.ini"), &[]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("absent/node.ini"), "{}", stderr(&output));
}

#[test]
fn port_in_use_stops_the_daemon() {
    let fixture = Fixture::open(7);
    let address = SocketAddr::from((fixture.ip, CALLERS_PORT));
    let _listener = TcpListener::bind(address).unwrap();
    let output = daemon(&fixture.write(&fixture.without_platform()), &[]).output().unwrap();
    assert_eq!(output.status.code(), Some(1), "{}", stderr(&output));
    assert!(stderr(&output).contains(&address.to_string()), "{}", stderr(&output));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn termination_stops_a_daemon_without_platform() {
    let fixture = Fixture::open(8);
    let child = daemon(&fixture.write(&fixture.without_platform()), &[]).spawn().unwrap();
    wait_for_status(&fixture.caller(CALLERS_PORT, ""), "/healthz", StatusCode::OK).await;
    terminate(&child);
    let output = child.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn termination_lets_a_stream_finish() {
    let fixture = Fixture::open(9);
    let mut plan = Plan::zones(&["zone-a"]);
    plan.zones[0].nodes = 0;
    let platform = Local::open(plan).await.unwrap();
    let settings = fixture.settings(platform.store.address(), platform.vms.address());
    let child = daemon(&fixture.write(&settings), &[]).spawn().unwrap();
    wait_for_status(&fixture.caller(CALLERS_PORT, ""), "/readyz", StatusCode::OK).await;
    let note = format!(
        "[note]\nid = first\nbase = 0\n[zone zone-a]\nchange = add\nstate = in\n\
         [organisation acme]\nchange = add\nkey-hash = {}\nrate = 100\nconcurrency = 100\n\
         [service chat]\nchange = add\nkind = model\nmodel = small\ntimeout = 60s\n\
         [group chat-a]\nchange = add\nservice = chat\nzone = zone-a\nvms = 3\nreplicas = 1\n\
         model = small\nversion = 1\nfencing = checked\n",
        digest::key(KEY)
    );
    let operators = fixture.caller(OPERATORS_PORT, "local-operator-token");
    let applied = operators.call(Method::POST, "/v1/note", &[], note.into_bytes()).await.unwrap();
    assert_eq!(applied.status, StatusCode::OK);

    let body = br#"{"model":"small","stream":true,"max_tokens":100,"prompt":"hello"}"#;
    let caller = fixture.caller(CALLERS_PORT, KEY);
    let sent = caller.send(Method::POST, "/v1/completions", &[], body.to_vec()).await;
    let mut chunks = sent.unwrap();
    let mut text = chunks.next().await.unwrap().unwrap().to_vec();
    terminate(&child);
    while let Some(chunk) = chunks.next().await.unwrap() {
        text.extend_from_slice(&chunk);
    }
    let text = String::from_utf8(text).unwrap();
    assert_eq!(text.matches("data: {").count(), 100, "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    let output = child.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    platform.shutdown().await;
}
