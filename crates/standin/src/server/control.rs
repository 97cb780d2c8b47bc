//! The control endpoint: `POST /control/faults`, `GET /control/counts` and the paths that a stand-in
//! adds.
//!
//! Every server has it on its own port, where only the faults `crash`, `silent` and a closed port
//! affect it. [`control`] binds a separate port that controls several servers.

use std::{borrow, collections, net, sync};

use super::{Api, Result, call};
use crate::{fault, server};

#[derive(serde::Deserialize)]
struct SwitchRequest<'a> {
    #[serde(borrow)]
    name: borrow::Cow<'a, str>,
    on: bool,
    value: Option<u64>,
    /// Name of the server; all servers if absent.
    #[serde(borrow)]
    server: Option<borrow::Cow<'a, str>>,
}

/// A control port for several servers; it stays open when they crash.
#[derive(Debug)]
pub struct Control<A> {
    servers: Vec<(String, server::Handle<A>)>,
}

/// Binds a control port for servers by name.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn control<A: Api>(
    servers: Vec<(String, server::Handle<A>)>,
    listen: net::SocketAddr,
) -> Result<server::Handle<Control<A>>> {
    super::bind(Control { servers }, listen).await
}

impl<A: Api> Api for Control<A> {
    fn kind(&self, _: &hyper::Method, _: &str) -> server::Kind {
        server::Kind { name: "unknown", write: false }
    }

    async fn answer(
        self: &sync::Arc<Self>,
        _: &server::Call,
        _: &sync::Arc<server::Shared>,
    ) -> server::Reply {
        call::failure(hyper::StatusCode::NOT_FOUND, "unknown", "this port only answers /control/")
    }

    fn control(&self, call: &server::Call) -> Option<server::Reply> {
        match (&call.method, call.path.as_str()) {
            (&hyper::Method::POST, "/control/faults") => Some(switch(&self.servers, call)),
            (&hyper::Method::GET, "/control/counts") => {
                let counts = self.servers.iter().map(|(name, server)| (name, server.counts()));
                Some(call::json(
                    hyper::StatusCode::OK,
                    &counts.collect::<collections::BTreeMap<_, _>>(),
                ))
            }
            _ => self.servers.iter().find_map(|(_, server)| server.api.control(call)),
        }
    }
}

/// Answers a control call on a server's own port.
pub(super) fn answer<A: Api>(server: &server::Handle<A>, call: &server::Call) -> server::Reply {
    if let Some(reply) = server.api.control(call) {
        return reply;
    }
    match (&call.method, call.path.as_str()) {
        (&hyper::Method::POST, "/control/faults") => {
            switch(&[(String::new(), server.clone())], call)
        }
        (&hyper::Method::GET, "/control/counts") => {
            call::json(hyper::StatusCode::OK, &server.counts())
        }
        _ => call::failure(hyper::StatusCode::NOT_FOUND, "unknown", "no such control call"),
    }
}

fn switch<A: Api>(servers: &[(String, server::Handle<A>)], call: &server::Call) -> server::Reply {
    let refused = |message: &str| call::failure(hyper::StatusCode::BAD_REQUEST, "invalid", message);
    let request: SwitchRequest<'_> = match serde_json::from_slice(&call.body) {
        Ok(request) => request,
        Err(e) => return refused(&e.to_string()),
    };
    let matches = |name: &str| request.server.as_deref().is_none_or(|server| server == name);
    let mut selected = servers.iter().filter(|(name, _)| matches(name)).peekable();
    if selected.peek().is_none() {
        return refused("no server has this name");
    }
    let switched: fault::Result<Vec<()>> = selected
        .map(|(_, server)| server.switch(&request.name, request.on, request.value))
        .collect();
    match switched {
        Ok(_) => call::json(hyper::StatusCode::OK, &serde_json::json!({})),
        Err(e) => refused(&e.to_string()),
    }
}
