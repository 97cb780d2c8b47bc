//! Small stand-ins of the platform for the review's scripts: the store, plain runners, clients, and the
//! nodes as separate processes. Only the standard library is used, and only loopback addresses.
#![allow(dead_code)]

pub mod http;
pub mod json;
pub mod runner;
pub mod store;

use std::{
    fs,
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{
        Mutex, OnceLock,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<fs::File>> = OnceLock::new();
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Seconds since the start of the case.
pub fn time() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until a time of the case in seconds.
pub fn sleep_until(at: f64) {
    let left = at - time();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

/// Opens `record.txt` in the folder of the case, the first argument of the program.
pub fn open_record() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let file = fs::File::create(Path::new(&folder).join("record.txt"));
    let file = file.unwrap_or_else(|e| broken(&format!("record.txt: {e}")));
    let _ = RECORD.set(Mutex::new(file));
    time();
}

/// Writes a line to `record.txt`.
pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:8.3} {line}", time());
    }
}

/// Writes a line to `record.txt` and to the standard output.
pub fn say(line: &str) {
    record(line);
    println!("{:8.3} {line}", time());
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends all processes and the case: the case could not run.
pub fn broken(cause: &str) -> ! {
    say(&format!("could not run: {cause}"));
    end(2)
}

/// Ends all processes and the case with an exit code.
pub fn end(code: i32) -> ! {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = fs::remove_dir_all(folder());
    process::exit(code)
}

/// The verdict: ends the case with 1 if the rule was broken, with 0 otherwise.
pub fn judge(is_broken: bool) -> ! {
    say(if is_broken { "RULE BROKEN" } else { "rule held" });
    end(i32::from(is_broken))
}

/// The temporary folder of the case.
pub fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{}", process::id()));
    let _ = fs::create_dir_all(&folder);
    folder
}

fn network() -> [u8; 3] {
    let id = process::id();
    [127, 64 + ((id >> 8) % 128) as u8, (id % 256) as u8]
}

/// A new address of a stand-in.
pub fn address() -> SocketAddr {
    static PORTS: AtomicU16 = AtomicU16::new(9_000);
    let [a, b, c] = network();
    SocketAddr::from(([a, b, c, 1], PORTS.fetch_add(1, Ordering::Relaxed)))
}

/// A node as a process of its own.
#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    id: u32,
}

impl Node {
    /// Starts the program of the deploy file with the settings of its template.
    pub fn start(number: u8, zone: &str, store: SocketAddr, changes: &[(&str, &str)]) -> Self {
        let [a, b, c] = network();
        let host = [a, b, c, 10 + number];
        let on = |port| SocketAddr::from((host, port));
        let ip = on(0).ip().to_string();
        let name = format!("edge-{zone}-{number}");
        let template = fs::read_to_string("deploy/node.ini").unwrap_or_else(|e| broken(&format!("deploy/node.ini: {e}")));
        let mut text = template
            .replace("{{node_name}}", &name)
            .replace("{{zone}}", zone)
            .replace("{{#zones}}{{@}}:{{.}} {{/zones}}", &format!("{zone}:region-1"))
            .replace("{{ip}}", &ip)
            .replace("{{internal_ports.0}}", "7340")
            .replace("{{#bootstrap}}yes{{/bootstrap}}{{^bootstrap}}no{{/bootstrap}}", "yes")
            .replace("{{bounds.grace_s}}", "8")
            .replace("{{listen.front}}", &on(8227).to_string())
            .replace("{{listen.ready}}", &on(8220).to_string())
            .replace("{{platform.address}}", &store.to_string())
            .replace("{{bounds.retry_ratio}}", "0.2")
            .replace("{{bounds.retry_slack}}", "134")
            .replace("{{bounds.retry_window_s}}", "10");
        for (from, to) in changes {
            text = text.replace(from, to);
        }
        if text.contains("{{") {
            broken("deploy/node.ini has placeholders that the review does not know");
        }
        let settings = folder().join(format!("{name}.ini"));
        fs::write(&settings, text).unwrap_or_else(|e| broken(&format!("settings: {e}")));
        let log = folder().join(format!("{name}.log"));
        let mut node = Self { name, callers: on(8227), readiness: on(8220), settings, log, id: 0 };
        node.spawn();
        node
    }

    /// Starts the process.
    pub fn spawn(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|e| broken(&format!("log: {e}")));
        let child = Command::new("target/release/corneltrestle-node")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .unwrap_or_else(|e| broken(&format!("corneltrestle-node: {e}")));
        self.id = child.id();
        record(&format!("{} started as process {}", self.name, self.id));
        // For run.sh, in case that this process is ended.
        if let Ok(mut file) = fs::OpenOptions::new().create(true).append(true).open(folder().join("processes")) {
            let _ = writeln!(file, "{}", self.id);
        }
        CHILDREN.lock().unwrap().push(child);
    }

    /// Sends a signal such as `STOP` to the process.
    pub fn signal(&self, signal: &str) {
        record(&format!("{} gets SIG{signal}", self.name));
        let _ = Command::new("sh").arg("-c").arg(format!("kill -{signal} {}", self.id)).status();
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let asked = || -> std::io::Result<u16> {
            let mut connection = http::Connection::open(self.readiness, Duration::from_millis(500))?;
            let request = b"GET /api/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
            Ok(connection.call(request, Duration::from_secs(1))?.status())
        };
        asked().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > end {
                broken(&format!("{} is not ready: {}", self.name, self.log()));
            }
            sleep_ms(20);
        }
    }
}

/// Outcome of a request for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// An answer with its status, whether it bears the seal of a runner, and its body.
    Answer(u16, bool, Vec<u8>),
    /// No connection, so that nothing was sent.
    NotSent,
    /// The connection ended without a complete answer, or nothing came in time.
    Lost(String),
}

/// A client with one connection, which it keeps as long as the node does.
pub struct Client {
    peer: SocketAddr,
    connection: Option<http::Connection>,
}

impl Client {
    pub fn new(peer: SocketAddr) -> Self {
        Self { peer, connection: None }
    }

    /// Sends a request; `deadline` is the time that the client waits.
    pub fn call(&mut self, method: &str, path: &str, id: &str, headers: &str, body: &[u8], deadline: Duration) -> Outcome {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n{headers}Content-Length: {}\r\n\r\n",
            deadline.as_millis(), body.len()
        );
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => match http::Connection::open(self.peer, Duration::from_secs(1)) {
                Ok(connection) => connection,
                Err(_) => return Outcome::NotSent,
            },
        };
        match connection.call(&bytes, deadline + Duration::from_millis(500)) {
            Ok(answer) => {
                if answer.header("connection").is_none_or(|value| !value.eq_ignore_ascii_case("close")) {
                    self.connection = Some(connection);
                }
                Outcome::Answer(answer.status(), answer.header("server-seal").is_some(), answer.body)
            }
            Err(e) => Outcome::Lost(e.to_string()),
        }
    }
}

/// The operator's configuration: the service `orders` with plain runners behind `/order/`, which may run
/// once, and `/status/`, which may be repeated. `cold` is for how many seconds runners are cold, and how
/// many requests a second they take then; zero for none.
pub fn configuration(version: u64, cold: (f64, f64)) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"prefix\":\"/{name}/\",\"route_kind\":\"{kind}\",\
             \"timeout_ms\":1000,\"slo_ms\":100,\"service\":\"orders\",\"max_attempts\":2,\"priority\":2,\"public\":true}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"orders\",\"health_path\":\"/healthz\",\
         \"max_conns\":110,\"cold_start_s\":{},\"cold_per_s\":{}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":2000,\"idle_timeout_ms\":30000}}}}",
        route("order", "non_idempotent"), route("status", "idempotent"), cold.0, cold.1
    )
}
