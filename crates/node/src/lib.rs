//! Shared tables of one node, its duties, links and request pipeline.

pub mod link;
