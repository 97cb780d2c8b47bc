//! `corneltrestle status`: shows the state of nodes, zones, replicas and upstreams.

use std::fmt::Write;

use corneltrestle_kernel::{lifecycle, linkme};
use corneltrestle_node::operate::status;
use corneltrestle_policy::{assignment, release};
use lexopt::prelude::*;

use super::{Result, client, table};
use crate::command;

#[linkme::distributed_slice(command::COMMANDS)]
#[linkme(crate = linkme)]
static STATUS: command::Command = command::Command {
    name: "status",
    summary: "show nodes, zones, replicas and upstreams",
    help: HELP,
    run,
};

const HELP: &str = "\
Shows the nodes, availability zones, replicas and upstreams of the system.

Usage: corneltrestle status --node ADDRESS --token-file FILE [--json]

Each node is asked for its own state; a node that does not answer is shown as unreachable. Replicas,
and the age and load of the report of each member, are shown as the node at ADDRESS knows them.

Options:
  --node ADDRESS     operators' address of a node, such as 127.0.0.1:9100
  --token-file FILE  file with the operators' token
  --json             print the state as JSON

Exit codes: 0 every node answered, 1 a node or zone is unreachable or the call failed, 2 invalid
command line.
";

fn run(parser: &mut lexopt::Parser) -> Result<command::Exit> {
    let (mut client, mut json) = (client::Client::default(), false);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("json") => json = true,
            Long(name) => {
                let name = name.to_owned();
                if !client.parse_option(&name, parser)? {
                    return Err(command::Error::Usage(format!("unknown option --{name}")));
                }
            }
            argument => return Err(argument.unexpected().into()),
        }
    }
    let response = client.call(hyper::Method::GET, "/v1/status", String::new())?;
    let overview: status::Status = client.decode(&response)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&overview).unwrap_or_default());
    } else {
        print!("{}", text(&overview));
    }
    Ok(exit(&overview))
}

/// Success if every zone has nodes and all of them answered.
fn exit(overview: &status::Status) -> command::Exit {
    let reached = |zone: &corneltrestle_node::operate::status::Zone| {
        zone.nodes > 0 && zone.nodes == zone.reached
    };
    if overview.zones.iter().all(reached) { command::Exit::Success } else { command::Exit::Failure }
}

/// Renders the state as tables.
fn text(overview: &status::Status) -> String {
    let mut text =
        format!("State known to node {} at revision {}.\n\n", overview.node, overview.revision);
    let mut zones = table::new(&["zone", "state", "nodes", "reached"]);
    for zone in &overview.zones {
        zones.add_row([
            zone.zone.to_string(),
            state(zone.state).to_owned(),
            zone.nodes.to_string(),
            zone.reached.to_string(),
        ]);
    }
    let headers = ["node", "zone", "stage", "revision", "watch age", "replicas", "serving"];
    let mut nodes = table::new(&headers);
    for node in &overview.nodes {
        nodes.add_row(node_line(node));
    }
    let headers = ["replica", "service", "zone", "epoch", "phase", "member", "report age", "load"];
    let mut replicas = table::new(&headers);
    for replica in &overview.replicas {
        for (n, member) in replica.members.iter().enumerate() {
            replicas.add_row(member_line(replica, member, n == 0));
        }
    }
    let mut upstreams = table::new(&["service", "zone", "upstream", "zone state"]);
    for upstream in &overview.upstreams {
        upstreams.add_row([
            upstream.service.to_string(),
            upstream.zone.to_string(),
            upstream.address.to_string(),
            state(upstream.state).to_owned(),
        ]);
    }
    let _ = writeln!(text, "{zones}\n\n{nodes}\n\n{replicas}\n\n{upstreams}");
    text
}

fn node_line(node: &status::Node) -> [String; 7] {
    let (name, zone) = (node.node.to_string(), node.zone.to_string());
    let Some(state) = &node.state else {
        let unknown = String::new;
        return [name, zone, "unreachable".to_owned(), unknown(), unknown(), unknown(), unknown()];
    };
    let stage = match state.stage {
        lifecycle::Stage::Starting => "starting",
        lifecycle::Stage::Ready => "ready",
        lifecycle::Stage::Draining => "draining",
        lifecycle::Stage::Closing => "closing",
        lifecycle::Stage::Stopped => "stopped",
    };
    [
        name,
        zone,
        stage.to_owned(),
        state.revision.to_string(),
        format!("{} ms", state.watch_age_ms),
        state.replicas.to_string(),
        state.serving.to_string(),
    ]
}

/// The line of a member. Columns about the whole replica are only filled in for its head.
fn member_line(replica: &status::Replica, member: &status::Member, is_head: bool) -> [String; 8] {
    let if_head = |text: String| if is_head { text } else { String::new() };
    let phase = match replica.phase {
        assignment::Phase::Forming => "forming",
        assignment::Phase::Serving => "serving",
        assignment::Phase::Draining => "draining",
    };
    let (age, load) = member.report.map_or_else(
        || ("no report".to_owned(), String::new()),
        |report| {
            let load = format!("{} running, {} waiting", report.running, report.waiting);
            (format!("{} ms", report.age_ms), load)
        },
    );
    [
        if_head(replica.replica.clone()),
        if_head(replica.service.as_ref().map_or_else(String::new, ToString::to_string)),
        if_head(replica.zone.to_string()),
        if_head(replica.epoch.to_string()),
        if_head(phase.to_owned()),
        member.vm.to_string(),
        age,
        load,
    ]
}

fn state(state: release::ZoneState) -> &'static str {
    match state {
        release::ZoneState::In => "in",
        release::ZoneState::Out => "out",
    }
}
