//! The entry node.

fn main() {}
