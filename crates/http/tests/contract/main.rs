//! Contract of the front ends: each fault of a caller or operator gets a clear answer and costs
//! others nothing.

mod callers;
mod connections;
mod deployment;
mod operators;
mod raw;
mod streams;
