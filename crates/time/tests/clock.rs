//! Guards against a lease that a node takes as valid since its VM was suspended while it ran out.

use corneltrestle_time::clock::{Clock, System};
use rustix::time::{ClockId, clock_gettime};

/// A test cannot suspend its machine. It compares the clock with the one of the operating system
/// that goes on meanwhile.
#[test]
fn clock_counts_suspended_time() {
    let micros = || {
        let now = clock_gettime(ClockId::Boottime);
        u64::try_from(now.tv_sec).unwrap() * 1_000_000 + u64::try_from(now.tv_nsec).unwrap() / 1_000
    };
    let before_open = micros();
    let clock = System::open();
    let after_open = micros();
    std::thread::sleep(std::time::Duration::from_millis(20));
    let before = micros();
    let now = clock.now().as_micros();
    let after = micros();
    assert!(now + 1 >= before - after_open && now <= after - before_open, "{now}");
}
