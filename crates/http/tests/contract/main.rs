//! Contract tests of the front ends: each faulty request or connection is refused with the right
//! error, and other requests are still served.

mod callers;
mod connections;
mod deployment;
mod operators;
mod raw;
mod streams;
