//! `demo --serve`: keeps the deployment running and prints curl commands to try.

use super::{
    failed,
    notes::{self, MODEL, ORDER_PREFIX},
};
use crate::command::{Result, demo};

/// Prints the commands and waits for Ctrl-C.
///
/// # Errors
///
/// When the signal handler cannot be installed.
pub(super) async fn until_interrupt(
    local: &corneltrestle_local::Local,
    options: demo::Options,
) -> Result<()> {
    options.progress("\nthe deployment runs until Ctrl-C; commands to try:\n");
    for line in commands(local) {
        options.progress(&line);
    }
    tokio::signal::ctrl_c().await.map_err(|e| failed("listen for Ctrl-C", "the process", e))?;
    options.progress("stopping");
    Ok(())
}

fn commands(local: &corneltrestle_local::Local) -> Vec<String> {
    let Some(node) = local.nodes.values().next() else { return Vec::new() };
    let (callers, operators) = (node.callers, node.operators);
    let key = notes::ORGANISATIONS[0].key;
    let token = local.token_file();
    let token = token.display();
    vec![
        "# as a caller: a streamed answer, an order and a stock lookup".to_owned(),
        format!(
            "curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer {key}' \
             -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\
             \"content\":\"hello\"}}]}}'"
        ),
        format!(
            "curl -X POST http://{callers}{ORDER_PREFIX}/orders -H 'Authorization: Bearer {key}' \
             -H 'Idempotency-Key: my-order' -d '{{\"item\":\"frame\"}}'"
        ),
        format!("curl http://{callers}{ORDER_PREFIX}/stock/frame -H 'Authorization: Bearer {key}'"),
        "# as an operator: check a release note, read the metrics".to_owned(),
        format!(
            "printf '[note]\\nid = my-note\\nbase = 3\\n[zone zone-a]\\nchange = change\\n\
             state = out\\n' | curl http://{operators}/v1/note/check \
             -H \"Authorization: Bearer $(cat {token})\" --data-binary @-"
        ),
        format!("curl http://{operators}/metrics"),
    ]
}
