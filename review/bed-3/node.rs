//! Nodes of the system as processes, with settings made from the template of the deploy file.

use std::{
    fs, io,
    net::SocketAddr,
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use super::http::{self, Message};

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

unsafe extern "C" {
    fn prctl(option: i32, argument: usize) -> i32;
}

/// The program of the deploy file.
const PROGRAM: &str = "target/release/corneltrestle-node";
const TEMPLATE: &str = "deploy/node.ini";

/// A node; dropping it kills its process.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Starts the node `name` of a small deployment with these zones, all of one region.
    pub fn start(
        folder: &Path,
        name: &str,
        (zone, zones): (&str, &[&str]),
        store: SocketAddr,
    ) -> io::Result<Self> {
        let ip = [127, 0, 0, 1];
        let (front, ready, mesh) = (http::free(ip)?, http::free(ip)?, http::free(ip)?);
        let metrics = http::free(ip)?;
        let regions: String = zones.iter().map(|zone| format!("{zone}:region ")).collect();
        let template = fs::read_to_string(TEMPLATE)?;
        // The template's lists of placeholders are written out as whole lines.
        let lines =
            template.lines().map(|line| match line.split(" =").next().unwrap_or_default() {
                "id" => format!("id = {name}"),
                "zone" => format!("zone = {zone}"),
                "regions" => format!("regions = {regions}"),
                "mesh" => format!("mesh = {mesh}"),
                "link" => format!("link = {mesh}"),
                "bootstrap" => "bootstrap = yes".to_owned(),
                "grace" => "grace = 8s".to_owned(),
                "retry-ratio" => "retry-ratio = 0.2".to_owned(),
                "retry-slack" => "retry-slack = 134".to_owned(),
                "retry-window" => "retry-window = 10s".to_owned(),
                _ => line
                    .replace("{{listen.front}}", &front.to_string())
                    .replace("{{listen.ready}}", &ready.to_string())
                    .replace("{{platform.address}}", &store.to_string())
                    .replace("{{ip}}:9464", &metrics.to_string()),
            });
        let text: Vec<_> = lines.collect();
        let text = text.join("\n") + "\n";
        if text.contains("{{") {
            return Err(io::Error::other(format!("a placeholder is left in {text}")));
        }
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let (name, zone) = (name.to_owned(), zone.to_owned());
        let mut node = Self { name, zone, front, ready, settings, log, child: None };
        node.run()?;
        Ok(node)
    }

    /// Starts the process, which must not be running.
    pub fn run(&mut self) -> io::Result<()> {
        let log = fs::File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command.arg("--settings").arg(&self.settings).stdin(Stdio::null());
        // SAFETY: the call is safe between fork and exec. The node ends with the thread that started it,
        // also where the case is killed.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        self.child = Some(command.stdout(log.try_clone()?).stderr(log).spawn()?);
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until the node says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let request = Message::request("GET", "/api/readyz", &[("Host", "ready")], "");
        let answer = http::call(self.ready, &request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Lines of its log that contain one of these words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
