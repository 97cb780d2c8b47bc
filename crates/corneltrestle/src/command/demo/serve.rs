//! `--serve`: the deployment stays up, with calls to try.

use super::{
    failed,
    notes::{self, DESK, MODEL},
};
use crate::command::{Result, demo};

/// Prints calls to try and waits for Ctrl-C.
///
/// # Errors
///
/// When the signal cannot be listened for.
pub(super) async fn until_interrupt(
    local: &corneltrestle_local::Local,
    options: demo::Options,
) -> Result<()> {
    options.progress("\nthe deployment stays up until Ctrl-C; calls to try:\n");
    for line in lines(local) {
        options.progress(&line);
    }
    tokio::signal::ctrl_c().await.map_err(|e| failed("listen for Ctrl-C", "the process", e))?;
    options.progress("stopping");
    Ok(())
}

fn lines(local: &corneltrestle_local::Local) -> Vec<String> {
    let Some(node) = local.nodes.values().next() else { return Vec::new() };
    let (callers, operators) = (node.callers, node.operators);
    let key = notes::ORGANISATIONS[0].key;
    let token = local.token_file();
    let token = token.display();
    vec![
        "# a streamed answer, an order and a stock lookup, as a caller".to_owned(),
        format!(
            "curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer {key}' \
             -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\
             \"content\":\"hello\"}}]}}'"
        ),
        format!(
            "curl -X POST http://{callers}{DESK}/orders -H 'Authorization: Bearer {key}' \
             -H 'Idempotency-Key: my-order' -d '{{\"item\":\"frame\"}}'"
        ),
        format!("curl http://{callers}{DESK}/stock/frame -H 'Authorization: Bearer {key}'"),
        "# a check of a note and the metrics, as an operator".to_owned(),
        format!(
            "printf '[note]\\nid = my-note\\nbase = 3\\n[zone zone-a]\\nchange = change\\n\
             state = out\\n' | curl http://{operators}/v1/note/check \
             -H \"Authorization: Bearer $(cat {token})\" --data-binary @-"
        ),
        format!("curl http://{operators}/metrics"),
    ]
}
