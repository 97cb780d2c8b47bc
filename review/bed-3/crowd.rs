//! A crowd of callers whose large bodies stop just short of their end.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// What a crowd does to one node.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Connections that it keeps open; one that the node closes is opened again.
    pub connections: usize,
    /// Bytes of each body, of which the last one is never sent.
    pub body: usize,
    /// Most bytes a second that it sends over all connections.
    pub rate: f64,
}

/// What the crowd may send now, shared by its threads.
struct Allowance {
    rate: f64,
    begin: Instant,
    sent: AtomicU64,
}

impl Allowance {
    /// Takes `bytes`; returns whether they may be sent. What is not used is soon lost.
    fn take(&self, bytes: usize) -> bool {
        let allowed = (self.begin.elapsed().as_secs_f64() * self.rate) as u64;
        let least = allowed.saturating_sub((self.rate * MAX_SAVED.as_secs_f64()) as u64);
        let take = |sent: u64| {
            let next = sent.max(least) + bytes as u64;
            (next <= allowed).then_some(next)
        };
        self.sent.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok()
    }
}

/// What a crowd has done so far.
#[derive(Debug, Default)]
pub struct Count {
    pub opened: AtomicU64,
    /// Bytes that the nodes' systems have taken, in whole seconds since its start.
    pub bytes: Mutex<Vec<u64>>,
    pub answers: AtomicU64,
}

impl Count {
    fn add(&self, sent: u64) {
        static BEGIN: OnceLock<Instant> = OnceLock::new();
        let second = BEGIN.get_or_init(Instant::now).elapsed().as_secs() as usize;
        let mut bytes = self.bytes.lock().unwrap_or_else(|e| e.into_inner());
        if bytes.len() <= second {
            bytes.resize(second + 1, 0);
        }
        bytes[second] += sent;
    }

    /// Mean and highest number of bytes in a second.
    pub fn rate(&self) -> (u64, u64) {
        let bytes = self.bytes.lock().unwrap_or_else(|e| e.into_inner());
        let mean = bytes.iter().sum::<u64>() / bytes.len().max(1) as u64;
        (mean, bytes.iter().copied().max().unwrap_or(0))
    }
}

/// Connections of one thread.
const PER_THREAD: usize = 250;
/// Bytes that are written at a time.
pub const PIECE: usize = 32 * 1024;
/// Time for which a part of the rate that was not used can be made up for.
const MAX_SAVED: Duration = Duration::from_millis(100);
/// Pause between two looks at a connection that has sent all.
const LOOK: Duration = Duration::from_millis(200);
/// Pause before a connection that was closed or refused is opened again.
const REOPEN: Duration = Duration::from_millis(200);

struct Member {
    socket: TcpStream,
    /// Part of the head that is to be written.
    head: Vec<u8>,
    left: usize,
    due: Instant,
}

/// Starts a crowd that lasts until `stop` is set.
pub fn spawn(
    front: SocketAddr,
    plan: Plan,
    stop: &Arc<AtomicBool>,
    count: &Arc<Count>,
) -> Vec<JoinHandle<()>> {
    let (begin, sent) = (Instant::now(), AtomicU64::new(0));
    let allowance = Arc::new(Allowance { rate: plan.rate, begin, sent });
    let threads = plan.connections.div_ceil(PER_THREAD);
    let start = |_| {
        let (stop, count) = (Arc::clone(stop), Arc::clone(count));
        let allowance = Arc::clone(&allowance);
        thread::spawn(move || run(front, plan, &allowance, &stop, &count))
    };
    (0..threads).map(start).collect()
}

fn run(front: SocketAddr, plan: Plan, allowance: &Allowance, stop: &AtomicBool, count: &Count) {
    let piece = vec![b'x'; PIECE];
    let mut members: Vec<Result<Member, Instant>> = Vec::new();
    for _ in 0..PER_THREAD.min(plan.connections) {
        members.push(Err(Instant::now()));
    }
    while !stop.load(Ordering::SeqCst) {
        for member in &mut members {
            let now = Instant::now();
            match member {
                Err(at) if now < *at => {}
                // Its body follows at once.
                Err(_) if !allowance.take(plan.body) => {}
                Err(_) => *member = open(front, plan, count).ok_or(now + REOPEN),
                Ok(open) => {
                    if !step(open, &piece, count) {
                        *member = Err(now + REOPEN);
                    }
                }
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn open(front: SocketAddr, plan: Plan, count: &Count) -> Option<Member> {
    let socket = TcpStream::connect_timeout(&front, Duration::from_millis(200)).ok()?;
    socket.set_nonblocking(true).ok()?;
    let number = count.opened.fetch_add(1, Ordering::SeqCst);
    let body = plan.body;
    let head = format!(
        "POST /status/2f HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: crowd{number}\r\n\
         Deadline-Ms: 4000\r\nContent-Length: {body}\r\n\r\n"
    );
    Some(Member { socket, head: head.into_bytes(), left: body - 1, due: Instant::now() })
}

/// Sends what is due; returns whether the connection is still open. An answer is read only when all is
/// sent.
fn step(member: &mut Member, piece: &[u8], count: &Count) -> bool {
    if Instant::now() < member.due {
        return true;
    }
    let is_head = !member.head.is_empty();
    let bytes = if is_head { &member.head[..] } else { &piece[..piece.len().min(member.left)] };
    if bytes.is_empty() {
        return stays(member, count);
    }
    match member.socket.write(bytes) {
        Ok(sent) => {
            count.add(sent as u64);
            if is_head {
                member.head.drain(..sent);
            } else {
                member.left -= sent;
            }
            true
        }
        // The node has read nothing meanwhile.
        Err(e) if e.kind() == ErrorKind::WouldBlock => {
            member.due = Instant::now() + LOOK;
            true
        }
        Err(_) => false,
    }
}

/// Waits for the answer to a body that stops just short of its end; returns whether there is none yet.
fn stays(member: &mut Member, count: &Count) -> bool {
    member.due = Instant::now() + LOOK;
    match member.socket.read(&mut [0; 512]) {
        Ok(0) => false,
        Ok(_) => {
            count.answers.fetch_add(1, Ordering::SeqCst);
            false
        }
        Err(e) => e.kind() == ErrorKind::WouldBlock,
    }
}
