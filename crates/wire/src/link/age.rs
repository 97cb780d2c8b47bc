//! Ages encoded in one byte, in steps of 50 ms up to 12.7 s.

use std::time;

/// Step of an encoded age.
pub const UNIT: time::Duration = time::Duration::from_millis(50);

/// Encodes an age that is unknown or longer than 12.7 s.
pub const UNKNOWN: u8 = 255;

/// Encodes an age, rounded up so that data never appears fresher than it is.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use corneltrestle_wire::link::age;
///
/// assert_eq!(age::encode(Some(Duration::from_millis(101))), 3);
/// assert_eq!(age::decode(3), Some(Duration::from_millis(150)));
/// assert_eq!(age::decode(age::encode(Some(Duration::from_secs(60)))), None);
/// ```
pub fn encode(age: Option<time::Duration>) -> u8 {
    let units = age.map(|age| age.as_micros().div_ceil(UNIT.as_micros()));
    units.and_then(|units| u8::try_from(units).ok()).unwrap_or(UNKNOWN)
}

/// Decodes an age; `None` if it is unknown or longer than 12.7 s.
pub fn decode(byte: u8) -> Option<time::Duration> {
    (byte != UNKNOWN).then(|| UNIT * u32::from(byte))
}
