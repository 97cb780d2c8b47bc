//! The removal of a runner's entry, after the store has come back from a copy, is not applied: the
//! runner goes on getting requests.

#[path = "../bed-3/bed.rs"]
mod bed;

use std::{
    process, thread,
    time::{Duration, Instant},
};

use bed::{Verdict, client, http, node, record, runner, store};

/// `contact_ms` and `drain_ms` of a small deployment.
const CONTACT: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time for which the runner serves on after its entry was removed.
const REST: Duration = Duration::from_secs(10);

const ZONES: [&str; 3] = ["north", "middle", "south"];

fn main() -> process::ExitCode {
    bed::main("review/14", run)
}

fn configuration() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"status\",\"host\":\"desk.example\",\
     \"prefix\":\"/status/\",\"route_kind\":\"idempotent\",\"timeout_ms\":4000,\"slo_ms\":100,\
     \"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\"public\":true}],\
     \"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":110,\
     \"cold_start_s\":0.0,\"cold_per_s\":0.0}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
     \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
        .to_owned()
}

fn run(record: &record::Record) -> Result<Verdict, Box<dyn std::error::Error>> {
    let folder = record::Folder::create()?;
    let address = http::free([127, 0, 0, 1])?;
    let store = store::Store::bind(address)?;
    store.put("op/config", &configuration()).ok_or("the store is away")?;
    let runs = runner::Runs::default();
    let mut runners = Vec::new();
    for number in 0..8 {
        let (id, zone) = (format!("desk-{number}"), ZONES[number % ZONES.len()]);
        let work = Duration::from_millis(15);
        runners.push(runner::Runner::start(&id, ("desk", zone), work, &store, &runs)?);
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
        for _ in 0..4 {
            let kind = client::Kind {
                method: "GET",
                host: "desk.example",
                path: "/status/2f",
                key: "none",
                pause: Duration::from_millis(50),
                deadline: Duration::from_secs(1),
            };
            clients.push(client::spawn((&node.name, node.front), &kind, &log, &stop, record));
        }
    }
    thread::sleep(Duration::from_secs(6));

    store.copy();
    record.note(format!("store: a copy is taken at revision {}", store.revision()));
    thread::sleep(Duration::from_secs(10));
    if bed::has_trouble() {
        record.note(format!("store: away at revision {}", store.revision()));
        store.leave();
        thread::sleep(Duration::from_secs(1));
        store.restore();
        record.note(format!("store: back from the copy, at revision {}", store.revision()));
    }
    thread::sleep(CONTACT + Duration::from_millis(500));

    let leaving = &runners[0];
    let revision = leaving.leave(REST).ok_or("the store is away")?;
    let left = Instant::now();
    record.note(format!("runner {}: its entry is removed at revision {revision}", leaving.id));
    thread::sleep(REST);
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    // A heartbeat may have been under way when the entry was removed.
    if store.has(&leaving.key()).is_some() {
        return Err("the entry of the runner was written again".into());
    }
    for node in &mut nodes {
        if node.has_ended() {
            return Err(format!("{} has ended by itself", node.name).into());
        }
    }
    record.note(format!("store: revision {} at the end", store.revision()));
    for node in &nodes {
        let lines = node.log_lines(&["out of reach", "are compacted", "registration has ended"]);
        record.note(format!("log of {}, the first of {} lines:", node.name, lines.len()));
        for line in lines.iter().take(8) {
            record.note(format!("  {line}"));
        }
    }

    // Requests that a client sent later than the bound, and that ran at the runner.
    let log = log.lock().unwrap_or_else(|e| e.into_inner());
    let runs = runs.lock().unwrap_or_else(|e| e.into_inner());
    let late: Vec<_> = log.iter().filter(|sent| sent.at > left + DRAIN).collect();
    let mut text = format!("{} requests later than drain_ms after the removal", late.len());
    let mut broken = 0;
    for node in &nodes {
        let own = late.iter().filter(|sent| sent.node == node.name);
        let at_gone =
            own.filter(|sent| runs.iter().any(|run| run.id == sent.id && run.runner == leaving.id));
        let number = at_gone.count();
        broken += number;
        text.push_str(&format!("; {}: {number} reached {}", node.name, leaving.id));
    }
    if late.len() < 100 {
        return Err(format!("too few requests: {text}").into());
    }
    Ok(if broken > 0 { Verdict::Broken(text) } else { Verdict::Held(text) })
}
