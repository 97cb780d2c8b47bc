//! A TCP forwarder whose path can be cut or fall silent.
#![allow(unreachable_pub, reason = "private module of a test")]

use std::net::SocketAddr;

use tokio::io;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a path does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It forwards.
    Open,
    /// Connections break and new ones are closed at once.
    Cut,
    /// Connections stay open without a word, new ones too.
    Silent,
}

/// A path from an address to another one.
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
            // Both ends stay open until the path changes again.
            let _ = mode.changed().await;
        }
    } else if first == Mode::Silent {
        let _ = mode.changed().await;
    }
}
