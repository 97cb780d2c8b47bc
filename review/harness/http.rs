//! HTTP/1.1 messages over blocking sockets, for the stand-ins and the callers.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The decoded value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pair = query.split('&').filter_map(|pair| pair.split_once('='));
        pair.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        let hex = after.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// The next head; `None` if the connection ended before it was complete.
    fn head(&mut self) -> io::Result<Option<(String, Vec<(String, String)>)>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers = pairs.map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
        Ok(Some((first, headers.collect())))
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, size: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < size {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..size).collect()))
    }

    /// The body that follows a head; `None` if it is not complete.
    fn body(
        &mut self,
        headers: &[(String, String)],
        is_answer: bool,
    ) -> io::Result<Option<Vec<u8>>> {
        let chunked =
            find(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked"));
        if chunked {
            let mut body = Vec::new();
            loop {
                let Some(line) = self.line()? else { return Ok(None) };
                let digits = line.split(';').next().unwrap_or_default().trim();
                let Ok(size) = usize::from_str_radix(digits, 16) else { return Ok(None) };
                let Some(part) = self.exactly(size)? else { return Ok(None) };
                body.extend_from_slice(&part);
                if self.line()?.is_none() {
                    return Ok(None);
                }
                if size == 0 {
                    return Ok(Some(body));
                }
            }
        }
        match find(headers, "content-length").and_then(|size| size.parse().ok()) {
            Some(size) => self.exactly(size),
            None if is_answer => {
                while self.fill()? > 0 {}
                Ok(Some(std::mem::take(&mut self.buffer)))
            }
            None => Ok(Some(Vec::new())),
        }
    }

    /// The next request; `None` at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.head()? else { return Ok(None) };
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let Some(body) = self.body(&headers, false)? else { return Ok(None) };
        Ok(Some(Request { method, target, headers, body }))
    }

    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
        for (key, value) in headers {
            text.push_str(&format!("{key}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Accepts connections, and handles each on a thread of its own.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&mut Connection) -> io::Result<()> + Clone + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = handle(&mut Connection::new(stream));
            });
        }
    });
}

/// What a caller has seen of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// An answer; `whole` is false if its body is not complete.
    Answer { status: u16, headers: Vec<(String, String)>, body: Vec<u8>, whole: bool },
    /// The connection ended without an answer.
    Closed,
    /// Nothing until the caller's deadline.
    Nothing,
}

impl Seen {
    pub fn status(&self) -> Option<u16> {
        match self {
            Seen::Answer { status, .. } => Some(*status),
            _ => None,
        }
    }

    pub fn is_whole(&self) -> bool {
        matches!(self, Seen::Answer { whole: true, .. })
    }
}

impl std::fmt::Display for Seen {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Seen::Answer { status, body, whole, .. } => {
                let size = body.len();
                write!(f, "status {status}, {size} bytes{}", if *whole { "" } else { ", cut off" })
            }
            Seen::Closed => f.write_str("connection closed without an answer"),
            Seen::Nothing => f.write_str("nothing until the deadline"),
        }
    }
}

/// Sends a request on a new connection and reads the answer until `limit`.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Seen {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Seen::Closed;
    };
    call_on(&mut Connection::new(stream), request, limit)
}

/// Sends a request on an open connection and reads the answer until `limit`.
pub fn call_on(connection: &mut Connection, request: &[u8], limit: Duration) -> Seen {
    let end = Instant::now() + limit;
    if connection.stream.write_all(request).is_err() {
        return Seen::Closed;
    }
    let _ = connection.stream.set_read_timeout(Some(limit));
    let head = match connection.head() {
        Ok(Some(head)) => head,
        Ok(None) => return Seen::Closed,
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            return Seen::Nothing;
        }
        Err(_) => return Seen::Closed,
    };
    let (first, headers) = head;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = connection.stream.set_read_timeout(Some(left));
    let body = connection.body(&headers, true).unwrap_or(None);
    let whole = body.is_some();
    Seen::Answer { status, headers, body: body.unwrap_or_default(), whole }
}
