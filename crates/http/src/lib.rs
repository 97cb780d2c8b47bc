//! Front ends for callers and operators.
