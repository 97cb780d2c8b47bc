//! The control endpoint: `POST /control/faults`, `GET /control/counts` and what a stand-in adds.
//!
//! Every server answers it on its own port, untouched by faults other than `crash`, `silent` and a
//! closed port. [`control`] answers it on a separate port for several servers.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use hyper::{Method, StatusCode};

use super::{Api, Call, Handle, Kind, Reply, Result, Shared, call};
use crate::fault;

#[derive(serde::Deserialize)]
struct Order<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
    on: bool,
    value: Option<u64>,
    /// Name of one server; all servers if absent.
    #[serde(borrow)]
    server: Option<Cow<'a, str>>,
}

/// A control port for several servers, which stays open when they crash.
#[derive(Debug)]
pub struct Control<A> {
    servers: Vec<(String, Handle<A>)>,
}

/// Binds a control port for named servers.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn control<A: Api>(
    servers: Vec<(String, Handle<A>)>,
    listen: SocketAddr,
) -> Result<Handle<Control<A>>> {
    super::bind(Control { servers }, listen).await
}

impl<A: Api> Api for Control<A> {
    fn kind(&self, _: &Method, _: &str) -> Kind {
        Kind { name: "unknown", write: false }
    }

    async fn answer(self: &Arc<Self>, _: &Call, _: &Arc<Shared>) -> Reply {
        call::failure(StatusCode::NOT_FOUND, "unknown", "this port only answers /control/")
    }

    fn control(&self, call: &Call) -> Option<Reply> {
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/control/faults") => Some(switch(&self.servers, call)),
            (&Method::GET, "/control/counts") => {
                let counts = self.servers.iter().map(|(name, server)| (name, server.counts()));
                Some(call::json(StatusCode::OK, &counts.collect::<BTreeMap<_, _>>()))
            }
            _ => self.servers.iter().find_map(|(_, server)| server.api.control(call)),
        }
    }
}

/// Answers a control call on a server's own port.
pub(super) fn answer<A: Api>(server: &Handle<A>, call: &Call) -> Reply {
    if let Some(reply) = server.api.control(call) {
        return reply;
    }
    match (&call.method, call.path.as_str()) {
        (&Method::POST, "/control/faults") => switch(&[(String::new(), server.clone())], call),
        (&Method::GET, "/control/counts") => call::json(StatusCode::OK, &server.counts()),
        _ => call::failure(StatusCode::NOT_FOUND, "unknown", "no such control call"),
    }
}

fn switch<A: Api>(servers: &[(String, Handle<A>)], call: &Call) -> Reply {
    let refused = |message: &str| call::failure(StatusCode::BAD_REQUEST, "invalid", message);
    let order: Order<'_> = match serde_json::from_slice(&call.body) {
        Ok(order) => order,
        Err(e) => return refused(&e.to_string()),
    };
    let wanted = |name: &str| order.server.as_deref().is_none_or(|server| server == name);
    let mut chosen = servers.iter().filter(|(name, _)| wanted(name)).peekable();
    if chosen.peek().is_none() {
        return refused("no server has this name");
    }
    let switched: fault::Result<Vec<()>> =
        chosen.map(|(_, server)| server.switch(&order.name, order.on, order.value)).collect();
    match switched {
        Ok(_) => call::json(StatusCode::OK, &serde_json::json!({})),
        Err(e) => refused(&e.to_string()),
    }
}
