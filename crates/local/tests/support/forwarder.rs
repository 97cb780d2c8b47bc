//! A TCP forwarder that can close its connections or stop forwarding.
#![allow(unreachable_pub, reason = "private module of a test")]

use std::net::SocketAddr;

use tokio::io;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the forwarder does with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards data in both directions.
    Open,
    /// Closes all connections, and new ones at once.
    Cut,
    /// Keeps all connections and new ones open, but forwards no data.
    Silent,
}

/// Accepts connections on `address` and forwards them to another address.
#[derive(Debug)]
pub struct Forwarder {
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Forwarder {
    pub async fn open(listen: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).await.unwrap();
        let address = listener.local_addr().unwrap();
        let mode = watch::Sender::new(Mode::Open);
        let seen = mode.subscribe();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, to, seen.clone()));
            }
        });
        Self { address, mode }
    }

    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn forward(mut near: TcpStream, to: SocketAddr, mut mode: watch::Receiver<Mode>) {
    let first = *mode.borrow_and_update();
    if first == Mode::Open {
        let Ok(mut far) = TcpStream::connect(to).await else { return };
        tokio::select! {
            _ = io::copy_bidirectional(&mut near, &mut far) => return,
            changed = mode.changed() => if changed.is_err() { return },
        }
        if *mode.borrow() == Mode::Silent {
            // Both connections stay open until the mode changes again.
            let _ = mode.changed().await;
        }
    } else if first == Mode::Silent {
        let _ = mode.changed().await;
    }
}
