//! Tokens in the KV caches of upstreams.
//!
//! A group keeps the prompts and responses of its requests in its KV cache. When that is full, it
//! preempts or rejects requests. Each node therefore counts the tokens of the requests in progress, and
//! sends a request where they fit as long as there is such an upstream.

use std::time;

use crate::{cost, deployment::Engine};

/// Requests in progress at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Tokens of the requests of this node, see [`size`].
    pub own: u64,
    /// Requests of other nodes, as reported. Their sizes are not.
    pub others: u32,
    /// Prompt tokens of these that are still to be read.
    pub unread: u64,
}

/// Tokens that a request takes: its prompt and the expected response, which is the published mean
/// unless its limit is lower. A size of 0 is unknown, and the published mean stands for it.
pub fn size(engine: &Engine, prompt: u64, limit: u64) -> u64 {
    let known = |tokens: u64| Some(tokens).filter(|tokens| *tokens > 0);
    let answer = u64::from(engine.mean_answer);
    let prompt = known(prompt).unwrap_or(engine.mean_prompt.into());
    prompt.saturating_add(known(limit).map_or(answer, |limit| answer.min(limit)))
}

/// Tokens for which an upstream has room. Returns `None` if its capacity is not known, so that nothing
/// is limited.
pub fn free(engine: &Engine, load: &Load) -> Option<u64> {
    if engine.kv_capacity == 0 {
        return None;
    }
    let others = u64::from(load.others).saturating_mul(size(engine, 0, 0)).max(load.unread);
    Some(engine.kv_capacity.saturating_sub(load.own.saturating_add(others)))
}

/// Whether a prompt is larger than the whole KV cache of an upstream.
pub fn never_fits(engine: &Engine, prompt: u64) -> bool {
    engine.kv_capacity > 0 && prompt > engine.kv_capacity
}

/// The room that an upstream needs to be sent a request of this size, where `free` is that of all
/// upstreams that may take it, see [`free`]. Returns `None` if it is to be sent to none of them.
///
/// If it fits nowhere, it is sent where there is most room: the loads are estimates, and an upstream
/// that is full rejects it without running it. A retry is not sent then, as it would make a full
/// upstream reject yet another request.
pub fn needed(
    free: impl IntoIterator<Item = Option<u64>>,
    size: u64,
    is_retry: bool,
) -> Option<u64> {
    let most = free.into_iter().map(|free| free.unwrap_or(u64::MAX)).max().unwrap_or(0);
    if most >= size {
        return Some(size);
    }
    (!is_retry).then_some(most)
}

/// Predicted time until a group with this room has room for a request of this size: that in which as
/// many requests of mean size end as take the missing tokens.
pub fn wait(engine: &Engine, pace: f64, free: Option<u64>, size: u64) -> time::Duration {
    let missing = free.map_or(0, |free| size.saturating_sub(free));
    let ending = missing.div_ceil(self::size(engine, 0, 0).max(1));
    if ending == 0 {
        return time::Duration::ZERO;
    }
    // With this number of requests, as many have to end until a slot is free.
    let requests =
        u32::try_from(ending).unwrap_or(u32::MAX).saturating_add(engine.slots.max(1) - 1);
    cost::slot_wait(engine, pace, &cost::Work { requests, ..cost::Work::default() })
}
