//! Steps of the demo.

use std::{collections, time};

use corneltrestle_local::{self as local, client};
use corneltrestle_node::operate;
use corneltrestle_policy::report::Phase;
use rand::SeedableRng;

use super::{
    check, failed,
    notes::{self, TOGGLED_ZONE},
    report, request, serve, traffic,
};
use crate::command::{self, Result, demo};

/// Limit on each wait for the deployment: to become ready, to serve, and for new requests to a zone
/// that is back in service.
const SERVING_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Duration of the load with both zones in service: before the restart of the node, and after the
/// zone is back.
const LOAD_DURATION: time::Duration = time::Duration::from_secs(5);
/// Limit on the time until a zone that was taken out of service receives no new requests.
const ZONE_OUT_LIMIT: time::Duration = time::Duration::from_secs(3);
/// Time for which new requests to the zone are counted once [`ZONE_OUT_LIMIT`] has passed.
const ZONE_OUT_DURATION: time::Duration = time::Duration::from_secs(4);
/// Time from removing a node from the callers' load balancer to its stop. A node that stops closes
/// connections whose request has not arrived, so the balancer must stop sending before.
const BALANCER_DELAY: time::Duration = time::Duration::from_millis(500);
/// Number of tokens of the stream that is in progress while a node stops; at 5 ms each it outlasts
/// [`BALANCER_DELAY`].
const LONG_STREAM_TOKENS: u64 = 300;
/// Kind of request under which the report counts that stream.
const LONG_STREAM: &str = "streamed over a stop";
/// Interval at which a condition that is waited for is checked.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Node that is stopped and started under load.
const RESTARTED_NODE: &str = "zone-b-entry-0";
/// Kinds of calls, as the stand-ins count them, that count as work of an upstream. At an order
/// service, `order` is an order of a caller; at an engine, it is a control order of a node, such as to
/// join a replica.
const WORK_CALLS: [&str; 4] = ["generate", "order", "status", "stock"];

/// Runs the demo and prints its report.
///
/// # Errors
///
/// When the deployment cannot be started or does not serve in time.
pub(super) async fn run(options: demo::Options) -> Result<report::Report> {
    let started = time::Instant::now();
    let mut local =
        local::Local::open(local::Plan::zones(&notes::ZONES)).await.map_err(call_failed)?;
    options.progress(&format!(
        "started {} engines, {} order services and {} entry nodes in {}",
        local.engines.len(),
        local.services.len(),
        local.nodes.len(),
        notes::ZONES.join(" and "),
    ));
    let mut report = report::Report { seed: options.seed, ..report::Report::default() };
    let result = execute(&mut local, options, &mut report).await;
    report.run_ms = report::millis(started.elapsed());
    if result.is_ok() && options.serve {
        print_report(options, &report);
        serve::until_interrupt(&local, options).await?;
        local.shutdown().await;
        return Ok(report);
    }
    let stopping = time::Instant::now();
    local.shutdown().await;
    report.shutdown_ms = report::millis(stopping.elapsed());
    result?;
    options.progress(&format!("stopped the deployment within {} ms", report.shutdown_ms));
    print_report(options, &report);
    Ok(report)
}

fn print_report(options: demo::Options, report: &report::Report) {
    if options.json {
        println!("{}", serde_json::to_string_pretty(report).unwrap_or_default());
    } else {
        print!("{report}");
    }
}

async fn execute(
    local: &mut local::Local,
    options: demo::Options,
    report: &mut report::Report,
) -> Result<()> {
    wait_until("become ready", async || is_ready(local).await).await?;
    let applied = time::Instant::now();
    let services = local.services.iter();
    let note = notes::initial(services.map(|(zone, handle)| (zone.as_str(), handle.address())));
    let mut revision = apply(local, &note).await?;
    wait_until("load models", async || engines_serve(local)).await?;
    probe(local, options.seed).await?;
    report.serving_ms = report::millis(applied.elapsed());
    options.progress(&format!(
        "the initial note is in force at revision {revision}; all nodes serve after {} ms",
        report.serving_ms
    ));

    let nodes = local.nodes.values().map(|node| node.callers).collect();
    let traffic = traffic::Traffic::start(nodes, options.seed);
    tokio::time::sleep(LOAD_DURATION).await;
    report.zone.before = requests_in_toggled_zone(local);
    progress(options, &traffic, "both zones are in service");
    report.restart_ms = restart(local, &traffic, options.seed).await?;
    progress(options, &traffic, &format!("{RESTARTED_NODE} was stopped and started"));

    revision = apply(local, &notes::set_zone_state(revision, "out")).await?;
    options.progress(&format!("{TOGGLED_ZONE} is taken out of service at revision {revision}"));
    tokio::time::sleep(ZONE_OUT_LIMIT).await;
    let before = requests_in_toggled_zone(local);
    tokio::time::sleep(ZONE_OUT_DURATION).await;
    report.zone.out = requests_in_toggled_zone(local) - before;
    progress(options, &traffic, &format!("{TOGGLED_ZONE} was out of service"));

    revision = apply(local, &notes::set_zone_state(revision, "in")).await?;
    options.progress(&format!("{TOGGLED_ZONE} is back in service at revision {revision}"));
    let before = requests_in_toggled_zone(local);
    let returned =
        wait_until("send requests to the zone", async || requests_in_toggled_zone(local) > before)
            .await;
    tokio::time::sleep(LOAD_DURATION).await;
    report.zone.after = requests_in_toggled_zone(local) - before;
    traffic.shutdown().await;
    progress(options, &traffic, "all requests have ended");

    if let Err(e) = returned {
        report.add_violation("a zone back in service receives requests", e);
    }
    report.overloads = local.engines.values().map(|engine| engine.api().overloads()).sum();
    let runs = order_runs(local);
    report.evaluate(&traffic.tally.lock(), &runs);
    Ok(())
}

/// Stops [`RESTARTED_NODE`] gracefully and starts it again, while the callers' load balancer sends
/// its requests to the next node; returns the duration of the stop in milliseconds.
async fn restart(local: &mut local::Local, traffic: &traffic::Traffic, seed: u64) -> Result<u64> {
    let addresses: Vec<_> = local.nodes.values().map(|node| node.callers).collect();
    let number = local.nodes.keys().position(|name| name == RESTARTED_NODE).unwrap_or(0);
    traffic.redirect(number, addresses[(number + 1) % addresses.len()]);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let organisation = notes::ORGANISATIONS[0];
    let long = request::Generation::with_tokens(LONG_STREAM_TOKENS, organisation, true, &mut rng);
    let caller = client::Client::new(addresses[number], organisation.key);
    let sender = traffic.clone();
    let streamed = tokio::spawn(async move { sender.generate(&caller, LONG_STREAM, &long).await });
    tokio::time::sleep(BALANCER_DELAY).await;
    let stopping = time::Instant::now();
    local.stop_node(RESTARTED_NODE).await;
    let stop_ms = report::millis(stopping.elapsed());
    local.start_node(RESTARTED_NODE).map_err(call_failed)?;
    wait_until("become ready", async || is_ready(local).await).await?;
    traffic.redirect(number, addresses[number]);
    streamed.await.map_err(|e| failed("stream over a graceful stop", RESTARTED_NODE, e))?;
    Ok(stop_ms)
}

fn progress(options: demo::Options, traffic: &traffic::Traffic, stage: &str) {
    let total = traffic.tally.lock().total();
    options.progress(&format!(
        "{stage}: {} requests sent, {} complete answers, {} failures",
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

/// Polls a condition until it holds; an error after [`SERVING_TIMEOUT`].
async fn wait_until(step: &'static str, is_met: impl AsyncFn() -> bool) -> Result<()> {
    let wait = async {
        while !is_met().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(SERVING_TIMEOUT, wait)
        .await
        .map_err(|_| failed(step, "the deployment", "timed out"))
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

/// Sends generations to each node until it gives a complete answer.
async fn probe(local: &local::Local, seed: u64) -> Result<()> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let organisation = notes::ORGANISATIONS[0];
    for (name, node) in &local.nodes {
        let generation = request::Generation::random(organisation, false, &mut rng);
        let caller = client::Client::new(node.callers, organisation.key);
        let started = time::Instant::now();
        loop {
            match check::generate(&caller, &generation).await {
                check::End::Whole(_) => break,
                end if started.elapsed() > SERVING_TIMEOUT => {
                    return Err(failed("serve", name, format!("{end:?}")));
                }
                _ => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }
    Ok(())
}

/// Number of requests that the upstreams of [`TOGGLED_ZONE`] have received so far.
fn requests_in_toggled_zone(local: &local::Local) -> u64 {
    let engines = local.engines.iter().filter(|(vm, _)| vm.starts_with(TOGGLED_ZONE));
    let services = local.services.iter().filter(|(zone, _)| zone == TOGGLED_ZONE);
    let counts =
        engines.map(|(_, e)| e.counts()).chain(services.map(|(_, service)| service.counts()));
    counts.map(|counts| WORK_CALLS.iter().filter_map(|kind| counts.get(*kind)).sum::<u64>()).sum()
}

/// Number of runs by idempotency key, summed over all order services.
fn order_runs(local: &local::Local) -> collections::BTreeMap<String, u64> {
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
        local::Error::Call { step, address, cause } => {
            command::Error::Failed { step, target: address, cause }
        }
        other => failed("open", "the deployment", other),
    }
}
