//! A version of the configuration that is written after the store has come back from a copy never
//! takes effect.

#[path = "../bed-3/bed.rs"]
mod bed;

use std::{
    process, thread,
    time::{Duration, Instant},
};

use bed::{Verdict, client, http, node, record, runner, store};

/// `contact_ms` and `config_apply_ms` of a small deployment.
const CONTACT: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Time for which requests are judged.
const JUDGED: Duration = Duration::from_secs(12);

const ZONES: [&str; 3] = ["north", "middle", "south"];
const KEPT_KEY: &str = "key-that-stays";
const REVOKED_KEY: &str = "key-that-is-taken-away";

fn main() -> process::ExitCode {
    bed::main("review/11", run)
}

/// The route `/status/` leads to `service`; `timeout_ms` is that of another route.
fn configuration(version: u64, service: &str, timeout_ms: u64, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    let route = |name: &str, service: &str, timeout_ms: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"prefix\":\"/{name}/\",\
             \"route_kind\":\"idempotent\",\"timeout_ms\":{timeout_ms},\"slo_ms\":100,\
             \"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\"public\":false}}"
        )
    };
    let service_of = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":110,\
             \"cold_start_s\":0.0,\"cold_per_s\":0.0}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[{keys}],\"priority\":1}}]}}",
        route("status", service, 4_000),
        route("other", "alpha", timeout_ms),
        service_of("alpha"),
        service_of("beta"),
    )
}

fn run(record: &record::Record) -> Result<Verdict, Box<dyn std::error::Error>> {
    let folder = record::Folder::create()?;
    let address = http::free([127, 0, 0, 1])?;
    let store = store::Store::bind(address)?;
    let keys = [KEPT_KEY, REVOKED_KEY];
    let put = |text: &str| {
        let revision = store.put("op/config", text).ok_or("the store is away")?;
        let version = text.split(',').next().unwrap_or_default();
        record
            .note(format!("operator: op/config {version} is acknowledged at revision {revision}"));
        Ok::<_, &str>(revision)
    };
    put(&configuration(1, "alpha", 3_000, &keys))?;
    let runs = runner::Runs::default();
    for number in 0..8 {
        let service = if number % 2 == 0 { "alpha" } else { "beta" };
        let (id, zone) = (format!("{service}-{number}"), ZONES[number % ZONES.len()]);
        runner::Runner::start(&id, (service, zone), Duration::from_millis(15), &store, &runs)?;
    }
    let mut nodes = Vec::new();
    for zone in ZONES {
        let node = node::Node::start(&folder.0, &format!("node-{zone}"), (zone, &ZONES), address)?;
        record.note(format!("{} runs as process {}", node.name, node.pid()));
        nodes.push(node);
    }
    for node in &nodes {
        if !node.wait_ready(Duration::from_secs(15)) {
            return Err(format!("{} is not ready", node.name).into());
        }
    }
    let (log, stop) = (client::Log::default(), Default::default());
    let mut clients = Vec::new();
    for node in &nodes {
        for key in keys {
            let kind = client::Kind {
                method: "GET",
                host: "desk.example",
                path: "/status/2f",
                key,
                pause: Duration::from_millis(100),
                deadline: Duration::from_secs(1),
            };
            clients.push(client::spawn((&node.name, node.front), &kind, &log, &stop, record));
        }
    }
    thread::sleep(Duration::from_secs(6));

    store.copy();
    record.note(format!("store: a copy is taken at revision {}", store.revision()));
    thread::sleep(Duration::from_millis(7_500));
    let second = configuration(2, "alpha", 3_500, &keys);
    put(&second)?;
    thread::sleep(Duration::from_millis(500));
    if bed::has_trouble() {
        record.note(format!("store: away at revision {}", store.revision()));
        store.leave();
        thread::sleep(Duration::from_secs(1));
        store.restore();
        record.note(format!("store: back from the copy, at revision {}", store.revision()));
        put(&second)?;
    }
    thread::sleep(CONTACT + Duration::from_millis(500));

    put(&configuration(3, "beta", 3_500, &[KEPT_KEY]))?;
    let acknowledged = Instant::now();
    thread::sleep(CONFIG_APPLY + JUDGED);
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    for node in &mut nodes {
        if node.has_ended() {
            return Err(format!("{} has ended by itself", node.name).into());
        }
    }
    record.note(format!("store: revision {} at the end", store.revision()));
    for node in &nodes {
        let lines = node.log_lines(&["a new version", "out of reach", "are compacted"]);
        record.note(format!("log of {}, the first of {} lines:", node.name, lines.len()));
        for line in lines.iter().take(8) {
            record.note(format!("  {line}"));
        }
    }

    let log = log.lock().unwrap_or_else(|e| e.into_inner());
    let judged: Vec<_> = log.iter().filter(|sent| sent.at > acknowledged + CONFIG_APPLY).collect();
    let mut text = format!("{} requests later than config_apply_ms after version 3", judged.len());
    let mut broken = 0;
    for node in &nodes {
        let own = || judged.iter().filter(|sent| sent.node == node.name);
        let old =
            own().filter(|sent| sent.status == 200 && sent.body.starts_with("alpha-")).count();
        let revoked = own().filter(|sent| sent.status == 200 && sent.key == REVOKED_KEY).count();
        let new = own().filter(|sent| sent.status == 200 && sent.body.starts_with("beta-")).count();
        broken += old + revoked;
        text.push_str(&format!(
            "; {}: {old} run by the old service, {revoked} with the key taken away, {new} by the new service",
            node.name
        ));
    }
    if judged.len() < 100 {
        return Err(format!("too few requests: {text}").into());
    }
    Ok(if broken > 0 { Verdict::Broken(text) } else { Verdict::Held(text) })
}
