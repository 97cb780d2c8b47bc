//! Tables shared by the workers, with a fixed lock order that debug builds check.
//!
//! Each type of table has a rank. A thread that holds several tables must have locked them in
//! increasing rank, so that no two threads can wait for each other.

mod order;

use std::ops;

/// A value that can be stored in a [`Table`], with its rank in the lock order.
pub trait Ranked {
    /// Position in the lock order, unique among tables that are held together.
    const RANK: u16;
    /// Name of the table in panics.
    const NAME: &'static str;
}

/// A value shared by the workers, behind a mutex with a rank.
///
/// A guard is not `Send`, so that a future which holds one across an await point cannot be spawned
/// on the pool.
///
/// # Examples
///
/// ```
/// use corneltrestle_kernel::table::{Ranked, Table};
///
/// #[derive(Default)]
/// struct Counts(u64);
///
/// impl Ranked for Counts {
///     const RANK: u16 = 10;
///     const NAME: &'static str = "counts";
/// }
///
/// let table = Table::<Counts>::default();
/// table.lock().0 += 1;
/// assert_eq!(table.lock().0, 1);
/// ```
#[derive(Debug, Default)]
pub struct Table<T> {
    inner: parking_lot::Mutex<T>,
}

impl<T: Ranked> Table<T> {
    /// Creates a table that stores `value`.
    pub fn new(value: T) -> Self {
        Self { inner: parking_lot::Mutex::new(value) }
    }

    /// Locks the table until the guard is dropped, blocking the thread while another one holds it.
    ///
    /// # Panics
    ///
    /// In debug builds, if the thread already holds a table of the same or a higher rank.
    pub fn lock(&self) -> Guard<'_, T> {
        let held = order::Held::acquire(T::RANK, T::NAME);
        Guard { inner: self.inner.lock(), _held: held }
    }
}

/// Exclusive access to the value of a [`Table`].
#[derive(Debug)]
pub struct Guard<'a, T> {
    inner: parking_lot::MutexGuard<'a, T>,
    _held: order::Held,
}

impl<T> ops::Deref for Guard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.inner
    }
}

impl<T> ops::DerefMut for Guard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.inner
    }
}
