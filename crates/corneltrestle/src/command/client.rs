//! Calls to the operators' interface of a node.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use corneltrestle_node::identity;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;

use super::{Error, Result};

/// Longest time for one call.
const CALL_TIME: Duration = Duration::from_secs(30);
/// Largest answer in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// How to reach a node, from the command line.
#[derive(Debug, Default)]
pub(super) struct Access {
    /// Address of the operators' interface.
    pub node: Option<SocketAddr>,
    /// File with the operators' token.
    pub token: Option<PathBuf>,
}

/// A complete answer.
#[derive(Debug)]
pub(super) struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

impl Access {
    /// Takes an option that belongs to the access; returns whether it was one.
    pub(super) fn take(&mut self, name: &str, parser: &mut lexopt::Parser) -> Result<bool> {
        use lexopt::ValueExt;

        match name {
            "node" => self.node = Some(parser.value()?.parse()?),
            "token-file" => self.token = Some(PathBuf::from(parser.value()?)),
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Calls the node and reads the whole answer.
    pub(super) fn call(&self, method: Method, path: &str, body: String) -> Result<Answer> {
        let node = self.node.ok_or_else(|| Error::Usage("--node ADDRESS is missing".to_owned()))?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| failed("start", node, e))?;
        let request = self.request(node, method, path, body)?;
        let call = async {
            tokio::time::timeout(CALL_TIME, exchange(node, request))
                .await
                .map_err(|_| failed("call", node, "no answer within 30 s"))?
        };
        runtime.block_on(call)
    }

    fn request(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<Request<Full<Bytes>>> {
        let file = self
            .token
            .as_ref()
            .ok_or_else(|| Error::Usage("--token-file FILE is missing".to_owned()))?;
        let token =
            identity::Secret::read(file).map_err(|e| failed("read token", file.display(), e))?;
        let value = [b"Bearer ", token.bytes()].concat();
        let mut header =
            HeaderValue::from_bytes(&value).map_err(|e| failed("read token", file.display(), e))?;
        header.set_sensitive(true);
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, node.to_string())
            .header(AUTHORIZATION, header)
            .body(Full::from(body))
            .map_err(|e| failed("call", node, e))
    }
}

async fn exchange(node: SocketAddr, request: Request<Full<Bytes>>) -> Result<Answer> {
    let socket =
        tokio::net::TcpStream::connect(node).await.map_err(|e| failed("connect", node, e))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket))
        .await
        .map_err(|e| failed("connect", node, e))?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(|e| failed("call", node, e))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES)
        .collect()
        .await
        .map_err(|e| failed("read answer", node, e))?
        .to_bytes();
    Ok(Answer { status, body })
}

fn failed(step: &'static str, peer: impl ToString, cause: impl ToString) -> Error {
    Error::Failed { step, peer: peer.to_string(), cause: cause.to_string() }
}
