//! CPU time and resident memory of this process, and runtimes with named threads.
//!
//! CPU time is read per thread name, so that several parts that share this process can be measured
//! apart.

use std::{fs, io, time};

use corneltrestle_kernel::pool;
use tokio::runtime;

use crate::scenario;

/// Resident memory of this process in bytes; 0 if it cannot be read.
pub fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// CPU time used so far by the threads whose names begin with `name`; zero if it cannot be read.
pub fn cpu_time(name: &str) -> time::Duration {
    let Ok(threads) = fs::read_dir("/proc/self/task") else { return time::Duration::ZERO };
    let time = |entry: fs::DirEntry| {
        let path = entry.path();
        let thread = fs::read_to_string(path.join("comm")).ok()?;
        let counts = fs::read_to_string(path.join("schedstat")).ok()?;
        let nanos = counts.split_whitespace().next()?.parse().ok()?;
        thread.starts_with(name).then_some(time::Duration::from_nanos(nanos))
    };
    threads.flatten().filter_map(time).sum()
}

/// Builds a runtime whose worker threads are called `name`, at most 15 bytes, which is the limit of
/// the kernel.
///
/// # Errors
///
/// When the operating system cannot start the threads.
pub fn runtime(name: &str, workers: usize) -> io::Result<runtime::Runtime> {
    runtime::Builder::new_multi_thread()
        .worker_threads(workers)
        .thread_name(name)
        .enable_all()
        .build()
}

/// Worker threads of a scenario.
const WORKERS: usize = 4;
/// Time that remaining tasks get to end after a scenario.
const SHUTDOWN_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Runs a scenario to completion on a worker pool of its own.
///
/// # Errors
///
/// When the workers cannot be started, or the error of the scenario.
pub fn block_on<T>(scenario: impl Future<Output = scenario::Result<T>>) -> scenario::Result<T> {
    let pool = pool::Pool::new(WORKERS)
        .map_err(|e| scenario::Error::Failed { step: "start workers", cause: e.to_string() })?;
    let result = pool.block_on(scenario);
    pool.shutdown(SHUTDOWN_TIMEOUT);
    result
}

/// Quantile `fraction`, between 0 and 1, of `values`, by the nearest rank; 0 without values. Sorts
/// `values`.
pub fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    values.get((fraction * last as f64).round() as usize).copied().unwrap_or_default()
}
