//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A request or an answer as it was received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// A header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let found = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })?;
        let (mut decoded, bytes) = (Vec::new(), found.as_bytes());
        let mut at = 0;
        while at < bytes.len() {
            if bytes[at] == b'%' && at + 2 < bytes.len() {
                let text = std::str::from_utf8(&bytes[at + 1..at + 3]).ok()?;
                decoded.push(u8::from_str_radix(text, 16).ok()?);
                at += 3;
            } else {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
        String::from_utf8(decoded).ok()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    pub ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    /// Connects to a peer.
    pub fn open(peer: SocketAddr, limit: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&peer, limit)?))
    }

    fn more(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            read => {
                self.ahead.extend_from_slice(&buffer[..read]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 2);
                return Ok(line);
            }
            self.more()?;
        }
    }

    fn bytes(&mut self, number: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < number {
            self.more()?;
        }
        Ok(self.ahead.drain(..number).collect())
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message { line: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads a message with its body. An answer without a length ends with the connection.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        let is_answer = message.line.starts_with("HTTP/");
        if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let part = self.bytes(size)?;
                message.body.extend_from_slice(&part);
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(message);
                }
                self.line()?;
            }
        }
        if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
            message.body = self.bytes(length)?;
        } else if is_answer && !matches!(message.status(), 204 | 304) {
            loop {
                match self.more() {
                    Ok(()) => {}
                    Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => break,
                    Err(e) => return Err(e),
                }
            }
            message.body = std::mem::take(&mut self.ahead);
        }
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request and reads the answer, at most for `limit`.
    pub fn call(&mut self, request: &[u8], limit: Duration) -> io::Result<Message> {
        let end = Instant::now() + limit;
        self.write(request)?;
        self.stream.set_read_timeout(Some(end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))))?;
        self.message()
    }
}

/// An answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A JSON answer.
pub fn json(status: u16, body: &str) -> Vec<u8> {
    answer(status, &[("Content-Type", "application/json")], body.as_bytes())
}

/// Accepts connections, and serves each in a thread of its own.
pub fn serve<F: Fn(Connection) + Send + Sync + 'static>(address: SocketAddr, serve: F) {
    serve_until(address, Arc::default(), serve);
}

/// As [`serve`], until `is_ended`: then the listener is closed.
pub fn serve_until<F: Fn(Connection) + Send + Sync + 'static>(
    address: SocketAddr,
    is_ended: Arc<AtomicBool>,
    serve: F,
) {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| crate::stand::broken(&format!("{address}: {e}")));
    let _ = listener.set_nonblocking(true);
    let serve = Arc::new(serve);
    thread::spawn(move || {
        while !is_ended.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let serve = Arc::clone(&serve);
                    thread::spawn(move || serve(Connection::new(stream)));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    });
}
