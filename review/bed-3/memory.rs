//! What processes hold in memory, as their platform counts it: their own memory, and bytes that they
//! have received and not read yet.

use std::{collections::HashMap, fs, net::SocketAddr};

/// Anonymous memory of a process in bytes; 0 if it does not run.
pub fn own(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Bytes in accepted connections of these listeners that have been received and not read, with the
/// number of the connections.
pub fn unread(listeners: &[SocketAddr]) -> HashMap<SocketAddr, (u64, usize)> {
    let mut found: HashMap<_, _> = listeners.iter().map(|address| (*address, (0, 0))).collect();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_established = fields.get(3) == Some(&"01");
        // A connection that waits to be accepted has no inode yet.
        let is_accepted = fields.get(9).is_some_and(|inode| *inode != "0");
        let port =
            fields.get(1).and_then(|local| u16::from_str_radix(local.split(':').nth(1)?, 16).ok());
        let queue = fields.get(4).and_then(|queues| queues.split(':').nth(1));
        let bytes = queue.and_then(|bytes| u64::from_str_radix(bytes, 16).ok());
        let (Some(port), Some(bytes)) = (port, bytes) else { continue };
        let of = found.iter_mut().find(|(address, _)| address.port() == port);
        if let (true, true, Some((_, (sum, number)))) = (is_established, is_accepted, of) {
            *sum += bytes;
            *number += 1;
        }
    }
    found
}
