//! The course of the demo.

use std::{collections, time};

use corneltrestle_local::{self as local, client};
use corneltrestle_node::operate;
use corneltrestle_policy::report::Phase;
use rand::SeedableRng;

use super::{
    check, failed,
    notes::{self, MOVED},
    report, request, serve, traffic,
};
use crate::command::{self, Result, demo};

/// Longest time until everything serves, and until a zone that returned gets work.
const SERVING_LIMIT: time::Duration = time::Duration::from_secs(20);
/// Time of load with all zones in service, before a zone leaves and after it returned.
const LOAD_TIME: time::Duration = time::Duration::from_secs(5);
/// Time after which a zone that is out gets no new work.
const OUT_LIMIT: time::Duration = time::Duration::from_secs(3);
/// Time during which a zone that is out is watched.
const OUT_TIME: time::Duration = time::Duration::from_secs(4);
/// Time from taking a node out of the callers' balancer to its stop. A node closes connections whose
/// request has not arrived when it stops, so the balancer has to come first.
const BALANCER_TIME: time::Duration = time::Duration::from_millis(500);
/// Tokens of the stream that is in progress while a node stops; at 5 ms each it outlasts
/// [`BALANCER_TIME`].
const LONG_TOKENS: u64 = 300;
/// The kind of that stream in the report.
const LONG: &str = "streamed over a stop";
/// Time between two looks at something that is waited for.
const LOOK_PERIOD: time::Duration = time::Duration::from_millis(50);
/// The node that is stopped and started.
const RESTARTED: &str = "zone-b-entry-0";
/// Calls that count as work of an upstream.
const WORK: [&str; 4] = ["generate", "order", "status", "stock"];

/// Runs the demo and prints its report.
///
/// # Errors
///
/// When the deployment cannot be opened or does not serve.
pub(super) async fn run(options: demo::Options) -> Result<report::Report> {
    let begun = time::Instant::now();
    let mut local =
        local::Local::open(local::Plan::zones(&notes::ZONES)).await.map_err(call_failed)?;
    options.progress(&format!(
        "opened {} engines, {} order services and {} entry nodes in {}",
        local.engines.len(),
        local.services.len(),
        local.nodes.len(),
        notes::ZONES.join(" and "),
    ));
    let mut report = report::Report { seed: options.seed, ..report::Report::default() };
    let course = course(&mut local, options, &mut report).await;
    report.run_ms = report::millis(begun.elapsed());
    if course.is_ok() && options.serve {
        show(options, &report);
        serve::until_interrupt(&local, options).await?;
        local.shutdown().await;
        return Ok(report);
    }
    let stopping = time::Instant::now();
    local.shutdown().await;
    report.shutdown_ms = report::millis(stopping.elapsed());
    course?;
    options.progress(&format!("stopped everything within {} ms", report.shutdown_ms));
    show(options, &report);
    Ok(report)
}

fn show(options: demo::Options, report: &report::Report) {
    if options.json {
        println!("{}", serde_json::to_string_pretty(report).unwrap_or_default());
    } else {
        print!("{report}");
    }
}

async fn course(
    local: &mut local::Local,
    options: demo::Options,
    report: &mut report::Report,
) -> Result<()> {
    wait_until("become ready", async || is_ready(local).await).await?;
    let applied = time::Instant::now();
    let services = local.services.iter();
    let note = notes::first(services.map(|(zone, handle)| (zone.as_str(), handle.address())));
    let mut revision = apply(local, &note).await?;
    wait_until("load models", async || engines_serve(local)).await?;
    probe(local, options.seed).await?;
    report.serving_ms = report::millis(applied.elapsed());
    options.progress(&format!(
        "the first note is in force at revision {revision}; every node serves after {} ms",
        report.serving_ms
    ));

    let nodes = local.nodes.values().map(|node| node.callers).collect();
    let traffic = traffic::Traffic::open(nodes, options.seed);
    tokio::time::sleep(LOAD_TIME).await;
    report.zone.before = work_of_moved(local);
    progress(options, &traffic, "both zones are in service");
    report.restart_ms = restart(local, &traffic, options.seed).await?;
    progress(options, &traffic, &format!("{RESTARTED} was stopped and started"));

    revision = apply(local, &notes::zone(revision, "out")).await?;
    options.progress(&format!("{MOVED} is taken out of service at revision {revision}"));
    tokio::time::sleep(OUT_LIMIT).await;
    let from = work_of_moved(local);
    tokio::time::sleep(OUT_TIME).await;
    report.zone.out = work_of_moved(local) - from;
    progress(options, &traffic, &format!("{MOVED} was out of service"));

    revision = apply(local, &notes::zone(revision, "in")).await?;
    options.progress(&format!("{MOVED} is back in service at revision {revision}"));
    let left = work_of_moved(local);
    let returned = wait_until("get work again", async || work_of_moved(local) > left).await;
    tokio::time::sleep(LOAD_TIME).await;
    report.zone.after = work_of_moved(local) - left;
    traffic.shutdown().await;
    progress(options, &traffic, "all requests have ended");

    if let Err(e) = returned {
        report.violated("a zone that returned gets work", e);
    }
    report.overloads = local.engines.values().map(|engine| engine.api().overloads()).sum();
    let runs = runs(local);
    report.judge(&traffic.tally.lock(), &runs);
    Ok(())
}

/// Stops a node as planned and starts it again, while the callers' balancer sends its requests to
/// the next node; returns the time that the stop took, in milliseconds.
async fn restart(local: &mut local::Local, traffic: &traffic::Traffic, seed: u64) -> Result<u64> {
    let addresses: Vec<_> = local.nodes.values().map(|node| node.callers).collect();
    let number = local.nodes.keys().position(|name| name == RESTARTED).unwrap_or(0);
    traffic.redirect(number, addresses[(number + 1) % addresses.len()]);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let organisation = notes::ORGANISATIONS[0];
    let long = request::Generation::of_length(LONG_TOKENS, organisation, true, &mut rng);
    let caller = client::Client::new(addresses[number], organisation.key);
    let sender = traffic.clone();
    let streamed = tokio::spawn(async move { sender.generate(&caller, LONG, &long).await });
    tokio::time::sleep(BALANCER_TIME).await;
    let begun = time::Instant::now();
    local.stop_node(RESTARTED).await;
    let taken = report::millis(begun.elapsed());
    local.start_node(RESTARTED).map_err(call_failed)?;
    wait_until("become ready", async || is_ready(local).await).await?;
    traffic.redirect(number, addresses[number]);
    streamed.await.map_err(|e| failed("stream over a planned stop", RESTARTED, e))?;
    Ok(taken)
}

fn progress(options: demo::Options, traffic: &traffic::Traffic, stage: &str) {
    let total = traffic.tally.lock().total();
    options.progress(&format!(
        "{stage}: {} requests sent, {} answered whole, {} not",
        total.sent,
        total.whole,
        total.ended() - total.whole
    ));
}

async fn apply(local: &local::Local, note: &str) -> Result<u64> {
    match local.apply(note).await.map_err(call_failed)? {
        operate::Verdict::Accepted { revision } => Ok(revision),
        verdict => Err(failed("apply note", "the first node", format!("{verdict:?}"))),
    }
}

/// Waits until something is so.
async fn wait_until(step: &'static str, is_so: impl AsyncFn() -> bool) -> Result<()> {
    let wait = async {
        while !is_so().await {
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    };
    tokio::time::timeout(SERVING_LIMIT, wait)
        .await
        .map_err(|_| failed(step, "the deployment", "not within the limit"))
}

async fn is_ready(local: &local::Local) -> bool {
    for node in local.nodes.values() {
        let caller = client::Client::new(node.callers, "");
        let answer = caller.call(hyper::Method::GET, "/readyz", &[], Vec::new()).await;
        if !answer.is_ok_and(|answer| answer.status == hyper::StatusCode::OK) {
            return false;
        }
    }
    true
}

fn engines_serve(local: &local::Local) -> bool {
    local.engines.values().all(|engine| engine.api().report().phase == Phase::Ready)
}

/// Sends a request to each node and waits for its answer.
async fn probe(local: &local::Local, seed: u64) -> Result<()> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let organisation = notes::ORGANISATIONS[0];
    for (name, node) in &local.nodes {
        let generation = request::Generation::draw(organisation, false, &mut rng);
        let caller = client::Client::new(node.callers, organisation.key);
        let begun = time::Instant::now();
        loop {
            match check::generate(&caller, &generation).await {
                check::End::Whole(_) => break,
                end if begun.elapsed() > SERVING_LIMIT => {
                    return Err(failed("serve", name, format!("{end:?}")));
                }
                _ => tokio::time::sleep(LOOK_PERIOD).await,
            }
        }
    }
    Ok(())
}

/// Requests that the upstreams of the moved zone have received.
fn work_of_moved(local: &local::Local) -> u64 {
    let engines = local.engines.iter().filter(|(vm, _)| vm.starts_with(MOVED));
    let services = local.services.iter().filter(|(zone, _)| zone == MOVED);
    let counts =
        engines.map(|(_, e)| e.counts()).chain(services.map(|(_, service)| service.counts()));
    counts.map(|counts| WORK.iter().filter_map(|kind| counts.get(*kind)).sum::<u64>()).sum()
}

/// Runs by idempotency key over all order services.
fn runs(local: &local::Local) -> collections::BTreeMap<String, u64> {
    let mut all = collections::BTreeMap::new();
    for (_, service) in &local.services {
        for (key, runs) in service.api().runs().keys {
            *all.entry(key).or_default() += runs;
        }
    }
    all
}

fn call_failed(error: local::Error) -> command::Error {
    match error {
        local::Error::Call { step, peer, cause } => command::Error::Failed { step, peer, cause },
        other => failed("open", "the deployment", other),
    }
}
