//! HTTP/1.1 on blocking sockets: a server with one thread per connection, and single calls.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A message; `first` is its request or status line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// A response with a body of known length.
    pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Self {
        let headers = headers.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
        Self { first: format!("HTTP/1.1 {status} Status"), headers, body: body.into() }
    }

    /// A request with a body of known length.
    pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &str) -> Self {
        let headers = headers.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
        Self { first: format!("{method} {target} HTTP/1.1"), headers, body: body.into() }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A value of the query, percent-decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or_else(String::new, |(_, value)| unescape(value))
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    /// Writes the message in one piece.
    pub fn write(&self, to: &mut impl Write) -> io::Result<()> {
        let mut bytes = format!("{}\r\n", self.first).into_bytes();
        for (name, value) in &self.headers {
            bytes.extend(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend(format!("Content-Length: {}\r\n\r\n", self.body.len()).as_bytes());
        bytes.extend(&self.body);
        to.write_all(&bytes)?;
        to.flush()
    }

    /// Reads the head of a message; `None` at the end of the connection.
    pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut message = Self::default();
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        message.first = line.trim_end().to_owned();
        loop {
            line.clear();
            if from.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else {
                return Ok(Some(message));
            };
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads the body of a message whose head has been read. A response without a length ends with
    /// its connection.
    pub fn read_body(&mut self, from: &mut impl BufRead) -> io::Result<()> {
        let is_response = self.first.starts_with("HTTP/");
        if self.header("transfer-encoding").is_some() {
            loop {
                let mut line = String::new();
                from.read_line(&mut line)?;
                let size = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
                let mut chunk = vec![0; size + 2];
                from.read_exact(&mut chunk)?;
                if size == 0 {
                    return Ok(());
                }
                self.body.extend(&chunk[..size]);
            }
        }
        match self.header("content-length").and_then(|text| text.parse::<usize>().ok()) {
            Some(size) => {
                self.body = vec![0; size];
                from.read_exact(&mut self.body)
            }
            None if is_response => from.read_to_end(&mut self.body).map(|_| ()),
            None => Ok(()),
        }
    }
}

fn unescape(text: &str) -> String {
    let (bytes, mut at, mut out) = (text.as_bytes(), 0, Vec::new());
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves `address`. A handler that returns `None` closes the connection without an answer; it may
/// have written to the socket itself.
pub fn serve<H>(address: SocketAddr, handler: H) -> io::Result<()>
where
    H: Fn(&Message, &mut TcpStream) -> Option<Message> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let spawned = thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                let _ = answer(socket, &*handler);
            });
            drop(spawned);
        }
    });
    Ok(())
}

fn answer<H>(mut socket: TcpStream, handler: &H) -> io::Result<()>
where
    H: Fn(&Message, &mut TcpStream) -> Option<Message>,
{
    socket.set_nodelay(true)?;
    let mut reader = BufReader::new(socket.try_clone()?);
    while let Some(mut request) = Message::read_head(&mut reader)? {
        request.read_body(&mut reader)?;
        let Some(response) = handler(&request, &mut socket) else {
            return socket.shutdown(std::net::Shutdown::Both);
        };
        response.write(&mut socket)?;
        let closes = |message: &Message| message.header("connection") == Some("close");
        if closes(&request) || closes(&response) {
            return Ok(());
        }
    }
    Ok(())
}

/// Sends a request on a new connection, and reads the whole response.
pub fn call(peer: SocketAddr, request: &Message, limit: Duration) -> io::Result<Message> {
    let end = Instant::now() + limit;
    let socket = TcpStream::connect_timeout(&peer, limit.min(Duration::from_secs(1)))?;
    socket.set_nodelay(true)?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    socket.set_read_timeout(Some(left))?;
    request.write(&mut &socket)?;
    let mut reader = BufReader::new(&socket);
    let Some(mut response) = Message::read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    response.read_body(&mut reader)?;
    Ok(response)
}

/// A free port on a loopback address, for TCP and UDP. It is below the range from which the system takes
/// ports for outgoing connections, so that none of these takes it before it is used.
pub fn free(ip: [u8; 4]) -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    for _ in 0..PORTS {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let first = (std::process::id() % u32::from(PORTS / STEP)) as u16 * STEP;
        let found = SocketAddr::from((ip, FIRST_PORT + (first + number) % PORTS));
        let is_free = TcpListener::bind(found).is_ok() && UdpSocket::bind(found).is_ok();
        if is_free {
            return Ok(found);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 18_000;
/// Ports from which a process of a case takes its own.
const STEP: u16 = 60;
