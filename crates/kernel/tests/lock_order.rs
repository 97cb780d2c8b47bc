//! Guards against deadlocks between threads that lock tables in different orders: debug builds must
//! panic when a thread does not lock in increasing rank.

use corneltrestle_kernel::table::{Ranked, Table};

#[derive(Default)]
struct Low;

impl Ranked for Low {
    const RANK: u16 = 10;
    const NAME: &'static str = "low";
}

#[derive(Default)]
struct High;

impl Ranked for High {
    const RANK: u16 = 20;
    const NAME: &'static str = "high";
}

#[test]
fn increasing_rank_is_allowed() {
    let (low, high) = (Table::<Low>::default(), Table::<High>::default());
    for _ in 0..2 {
        let _low = low.lock();
        let _high = high.lock();
    }
}

#[test]
#[cfg(debug_assertions)]
#[should_panic(expected = "lock order: table low (rank 10) taken while high (rank 20) is held")]
fn decreasing_rank_panics() {
    let (low, high) = (Table::<Low>::default(), Table::<High>::default());
    let _high = high.lock();
    let _low = low.lock();
}

#[test]
#[cfg(debug_assertions)]
#[should_panic(expected = "lock order")]
fn locking_twice_panics_instead_of_deadlocking() {
    let low = Table::<Low>::default();
    let _first = low.lock();
    let _second = low.lock();
}
