//! Client of the operators' interface of a node.

use std::{net, path};

use corneltrestle_local as local;
use corneltrestle_node::identity;
use corneltrestle_wire::openai;

use super::Result;
use crate::command;

/// Client of one node, with the connection options of the command line.
///
/// Both options are required, which [`Client::call`] checks.
#[derive(Debug, Default)]
pub(super) struct Client {
    /// Address of the node's operators' interface (`--node`).
    pub node: Option<net::SocketAddr>,
    /// File with the operators' token (`--token-file`).
    pub token_file: Option<path::PathBuf>,
}

impl Client {
    /// Parses the value of the option `name` if it is a connection option; returns whether it is.
    pub(super) fn parse_option(&mut self, name: &str, parser: &mut lexopt::Parser) -> Result<bool> {
        use lexopt::ValueExt;

        match name {
            "node" => self.node = Some(parser.value()?.parse()?),
            "token-file" => self.token_file = Some(path::PathBuf::from(parser.value()?)),
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Calls the node and reads the complete response.
    pub(super) fn call(
        &self,
        method: hyper::Method,
        path: &str,
        body: String,
    ) -> Result<local::client::Response> {
        let node = self
            .node
            .ok_or_else(|| command::Error::Usage("--node ADDRESS is missing".to_owned()))?;
        let client = local::client::Client::new(node, &self.read_token()?);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| failed("start", node, e))?;
        let call = client.call(method, path, &[], body.into_bytes());
        runtime.block_on(call).map_err(|e| match e {
            local::Error::Call { step, address, cause } => {
                command::Error::Failed { step, target: address, cause }
            }
            other => failed("call", node, other),
        })
    }

    /// Decodes the JSON body of a successful response; any other status is an error.
    pub(super) fn decode<T: serde::de::DeserializeOwned>(
        &self,
        response: &local::client::Response,
    ) -> Result<T> {
        let node = self.node.map_or_else(String::new, |node| node.to_string());
        if !response.status.is_success() {
            return Err(failed("call", node, error_text(response)));
        }
        serde_json::from_slice(&response.body).map_err(|e| failed("decode response", node, e))
    }

    fn read_token(&self) -> Result<String> {
        let missing = || command::Error::Usage("--token-file FILE is missing".to_owned());
        let file = self.token_file.as_ref().ok_or_else(missing)?;
        let read = |e: &dyn std::fmt::Display| failed("read token", file.display(), e);
        let secret = identity::Secret::read(file).map_err(|e| read(&e))?;
        String::from_utf8(secret.bytes().to_vec()).map_err(|e| read(&e))
    }
}

/// Status of an error response and, if its body can be decoded, the message in it.
pub(super) fn error_text(response: &local::client::Response) -> String {
    let error: Option<openai::ErrorBody<'_>> = serde_json::from_slice(&response.body).ok();
    let message = error.map(|body| format!(": {}", body.error.message)).unwrap_or_default();
    format!("{}{message}", response.status)
}

fn failed(step: &'static str, target: impl ToString, cause: impl ToString) -> command::Error {
    command::Error::Failed { step, target: target.to_string(), cause: cause.to_string() }
}
