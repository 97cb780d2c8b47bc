//! Orders to join, leave and load.

use std::sync::Arc;

use corneltrestle_policy::{id, report};
use hyper::StatusCode;
use serde_json::json;

use super::Engine;
use super::fabric::Member;
use crate::server::{self, Reply, Shared};

/// What an engine has loaded; empty texts for nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize)]
pub(super) struct Model {
    #[serde(rename = "model")]
    pub(super) name: String,
    pub(super) adapter: String,
    pub(super) version: String,
}

#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "kebab-case", tag = "order")]
enum Order {
    Join {
        token: u64,
        replica: id::Replica,
        epoch: u64,
        rank: u16,
        size: u16,
        #[serde(flatten)]
        model: Model,
    },
    Release {
        token: u64,
        epoch: u64,
    },
    Load {
        token: u64,
        #[serde(flatten)]
        model: Model,
    },
}

/// The answers of `corneltrestle_engine::engine::Answer`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
enum Answer {
    Accepted,
    Stale,
    Refused,
}

impl Order {
    fn token(&self) -> u64 {
        match self {
            Self::Join { token, .. } | Self::Release { token, .. } | Self::Load { token, .. } => {
                *token
            }
        }
    }
}

pub(super) fn answer(engine: &Arc<Engine>, body: &[u8], shared: &Arc<Shared>) -> Reply {
    let order: Order = match serde_json::from_slice(body) {
        Ok(order) => order,
        Err(e) => {
            return server::failure(StatusCode::BAD_REQUEST, "invalid", &e.to_string());
        }
    };
    let checked = engine.config.fencing && !shared.knobs().unfenced;
    let answer = if engine.fenced_off(order.token(), checked) {
        Answer::Stale
    } else {
        engine.act(&order, shared)
    };
    server::json(StatusCode::OK, &json!({"answer": answer}))
}

impl Engine {
    /// Notes a fencing token; whether an order with it must be refused as stale.
    fn fenced_off(&self, token: u64, checked: bool) -> bool {
        let mut state = self.state.lock();
        let stale = token < state.token;
        state.token = state.token.max(token);
        stale && checked
    }

    fn act(self: &Arc<Self>, order: &Order, shared: &Shared) -> Answer {
        match order {
            Order::Join { replica, epoch, rank, size, model, .. } => {
                let wanted = Member {
                    replica: Some(replica.clone()),
                    epoch: *epoch,
                    rank: *rank,
                    size: *size,
                    ..Member::idle()
                };
                self.join(&wanted, model, shared)
            }
            Order::Release { epoch, .. } => self.release(*epoch),
            Order::Load { model, .. } => self.load(model, shared),
        }
    }

    /// Joins a replica, also at a later epoch of the present one; weights that are loaded stay.
    fn join(self: &Arc<Self>, wanted: &Member, model: &Model, shared: &Shared) -> Answer {
        let present = self.config.fabric.member(&self.config.vm);
        let same = present.replica == wanted.replica;
        if (present.replica.is_some() && !same) || present.epoch > wanted.epoch {
            return Answer::Refused;
        }
        if same && present.epoch == wanted.epoch {
            let equal = (present.rank, present.size) == (wanted.rank, wanted.size);
            return if equal { Answer::Accepted } else { Answer::Refused };
        }
        let now = self.now();
        let loaded = {
            let mut state = self.state.lock();
            // KV cache is spread over the members, so that it is lost with the old membership.
            state.cache.clear(now);
            state.slots.restart_level(self.config.cold);
            std::mem::replace(&mut state.model, model.clone()) == *model
        };
        self.config.fabric.update(&self.config.vm, |member| {
            let (loads, live) = (member.loads, member.live);
            *member = Member { loads, live, ..wanted.clone() };
        });
        self.begin_load(loaded, shared);
        Answer::Accepted
    }

    fn release(&self, epoch: u64) -> Answer {
        self.config.fabric.update(&self.config.vm, |member| {
            if member.epoch > epoch {
                return Answer::Refused;
            }
            *member = Member { loads: member.loads + 1, live: member.live, ..Member::idle() };
            Answer::Accepted
        })
    }

    fn load(self: &Arc<Self>, model: &Model, shared: &Shared) -> Answer {
        if self.config.fabric.member(&self.config.vm).replica.is_none() {
            return Answer::Refused;
        }
        let loaded = std::mem::replace(&mut self.state.lock().model, model.clone()) == *model;
        if !loaded {
            self.begin_load(false, shared);
        }
        Answer::Accepted
    }

    /// Becomes ready after the load time, or at once if the weights are there.
    fn begin_load(self: &Arc<Self>, loaded: bool, shared: &Shared) {
        let number = self.config.fabric.update(&self.config.vm, |member| {
            member.loads += 1;
            member.phase = if loaded { report::Phase::Ready } else { report::Phase::Loading };
            member.loads
        });
        if loaded {
            return;
        }
        let engine = Arc::clone(self);
        shared.run(async move {
            tokio::time::sleep(engine.config.load).await;
            engine.config.fabric.update(&engine.config.vm, |member| {
                if member.loads == number && member.phase == report::Phase::Loading {
                    member.phase = report::Phase::Ready;
                }
            });
        });
    }
}
