//! Check of the lock order, per thread and in debug builds only.

#[cfg(debug_assertions)]
use std::cell::RefCell;

#[cfg(debug_assertions)]
thread_local! {
    /// Rank and name of the tables that the thread holds.
    static HELD: RefCell<Vec<(u16, &'static str)>> = const { RefCell::new(Vec::new()) };
}

/// Marks a rank as held by the current thread until dropped.
#[derive(Debug)]
pub(super) struct Held {
    #[cfg(debug_assertions)]
    rank: u16,
}

impl Held {
    /// Panics if the thread already holds `rank` or a higher one.
    #[cfg(debug_assertions)]
    pub(super) fn acquire(rank: u16, name: &'static str) -> Self {
        HELD.with_borrow_mut(|held| {
            if let Some((top, other)) = held.iter().max().copied()
                && top >= rank
            {
                panic!("lock order: table {name} (rank {rank}) taken while {other} (rank {top}) is held");
            }
            held.push((rank, name));
        });
        Self { rank }
    }

    #[cfg(not(debug_assertions))]
    pub(super) fn acquire(_rank: u16, _name: &'static str) -> Self {
        Self {}
    }
}

#[cfg(debug_assertions)]
impl Drop for Held {
    fn drop(&mut self) {
        HELD.with_borrow_mut(|held| {
            if let Some(at) = held.iter().rposition(|(rank, _)| *rank == self.rank) {
                held.remove(at);
            }
        });
    }
}
