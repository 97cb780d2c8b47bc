//! Calls to the operators' interface of a node.

use std::{net, path};

use corneltrestle_local::{self as local, client};
use corneltrestle_node::identity;
use corneltrestle_wire::openai;

use super::Result;
use crate::command;

/// How to reach a node, from the command line.
#[derive(Debug, Default)]
pub(super) struct Access {
    /// Address of the operators' interface.
    pub node: Option<net::SocketAddr>,
    /// File with the operators' token.
    pub token: Option<path::PathBuf>,
}

impl Access {
    /// Takes an option that belongs to the access; returns whether it was one.
    pub(super) fn take(&mut self, name: &str, parser: &mut lexopt::Parser) -> Result<bool> {
        use lexopt::ValueExt;

        match name {
            "node" => self.node = Some(parser.value()?.parse()?),
            "token-file" => self.token = Some(path::PathBuf::from(parser.value()?)),
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Calls the node and reads the whole answer.
    pub(super) fn call(
        &self,
        method: hyper::Method,
        path: &str,
        body: String,
    ) -> Result<client::Response> {
        let node = self
            .node
            .ok_or_else(|| command::Error::Usage("--node ADDRESS is missing".to_owned()))?;
        let caller = client::Client::new(node, &self.read_token()?);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| failed("start", node, e))?;
        let call = caller.call(method, path, &[], body.into_bytes());
        runtime.block_on(call).map_err(|e| match e {
            local::Error::Call { step, peer, cause } => {
                command::Error::Failed { step, peer, cause }
            }
            other => failed("call", node, other),
        })
    }

    /// Decodes the answer to a call.
    pub(super) fn decode<T: serde::de::DeserializeOwned>(
        &self,
        answer: &client::Response,
    ) -> Result<T> {
        let peer = self.node.map_or_else(String::new, |node| node.to_string());
        if !answer.status.is_success() {
            return Err(failed("call", peer, refused(answer)));
        }
        serde_json::from_slice(&answer.body).map_err(|e| failed("read answer", peer, e))
    }

    fn read_token(&self) -> Result<String> {
        let missing = || command::Error::Usage("--token-file FILE is missing".to_owned());
        let file = self.token.as_ref().ok_or_else(missing)?;
        let read = |e: &dyn std::fmt::Display| failed("read token", file.display(), e);
        let secret = identity::Secret::read(file).map_err(|e| read(&e))?;
        String::from_utf8(secret.bytes().to_vec()).map_err(|e| read(&e))
    }
}

/// What an answer without success says.
pub(super) fn refused(answer: &client::Response) -> String {
    let error: Option<openai::ErrorBody<'_>> = serde_json::from_slice(&answer.body).ok();
    let message = error.map(|body| format!(": {}", body.error.message)).unwrap_or_default();
    format!("{}{message}", answer.status)
}

fn failed(step: &'static str, peer: impl ToString, cause: impl ToString) -> command::Error {
    command::Error::Failed { step, peer: peer.to_string(), cause: cause.to_string() }
}
