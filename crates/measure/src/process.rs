//! Processor time and memory of this process, and runtimes whose threads can be told apart.

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

/// Processor time of the threads whose names begin with `name`; zero if it cannot be read.
pub fn processor_time(name: &str) -> time::Duration {
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

/// A runtime whose threads have this name, at most 15 bytes.
///
/// # Errors
///
/// When the operating system refuses the threads.
pub fn runtime(name: &str, workers: usize) -> io::Result<runtime::Runtime> {
    runtime::Builder::new_multi_thread()
        .worker_threads(workers)
        .thread_name(name)
        .enable_all()
        .build()
}

/// Workers of a scenario.
const WORKERS: usize = 4;
/// Time that jobs get to end after a scenario.
const END: time::Duration = time::Duration::from_secs(2);

/// Runs a scenario on workers of its own.
///
/// # Errors
///
/// When the workers cannot be spawned, or the scenario's own error.
pub fn wait<T>(scenario: impl Future<Output = scenario::Result<T>>) -> scenario::Result<T> {
    let pool = pool::Pool::new(WORKERS)
        .map_err(|e| scenario::Error::Failed { step: "start workers", cause: e.to_string() })?;
    let result = pool.block_on(scenario);
    pool.shutdown(END);
    result
}

/// The value below which the part `part` of `values` lies; 0 without values.
pub fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    values.get((part * last as f64).round() as usize).copied().unwrap_or_default()
}
