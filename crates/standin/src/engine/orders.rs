//! Orders of the coordinator: join a replica, leave it, or load another model.

use std::sync;

use corneltrestle_kernel::table::Ranked;
use corneltrestle_policy::{id, report};
use serde_json::json;

use super::{Engine, fabric};
use crate::server;

/// The loaded model; all fields are empty if there is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize)]
pub(super) struct Model {
    #[serde(rename = "model")]
    pub(super) name: String,
    pub(super) adapter: String,
    pub(super) version: String,
}

/// State that orders change; its lock serialises them.
#[derive(Debug, Default)]
pub(super) struct Orders {
    /// Highest fencing token received; orders with a lower one are stale.
    token: u64,
    pub(super) model: Model,
}

impl Ranked for Orders {
    const RANK: u16 = 240;
    const NAME: &'static str = "standin-engine-orders";
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

/// The outcome of an order, as `corneltrestle_engine::engine::Answer` decodes it.
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

pub(super) fn answer(
    engine: &sync::Arc<Engine>,
    body: &[u8],
    shared: &sync::Arc<server::Shared>,
) -> server::Reply {
    let order: Order = match serde_json::from_slice(body) {
        Ok(order) => order,
        Err(e) => {
            return server::failure(hyper::StatusCode::BAD_REQUEST, "invalid", &e.to_string());
        }
    };
    let checked = engine.config.fencing && !shared.faults().unfenced;
    let mut orders = engine.orders.lock();
    let stale = order.token() < orders.token;
    orders.token = orders.token.max(order.token());
    let answer = if stale && checked {
        Answer::Stale
    } else {
        engine.apply(&order, &mut orders.model, shared)
    };
    server::json(hyper::StatusCode::OK, &json!({"answer": answer}))
}

impl Engine {
    fn apply(
        self: &sync::Arc<Self>,
        order: &Order,
        loaded: &mut Model,
        shared: &server::Shared,
    ) -> Answer {
        match order {
            Order::Join { replica, epoch, rank, size, model, .. } => {
                let requested = fabric::Member {
                    replica: Some(replica.clone()),
                    epoch: *epoch,
                    rank: *rank,
                    size: *size,
                    ..fabric::Member::idle()
                };
                self.join(&requested, model, loaded, shared)
            }
            Order::Release { epoch, .. } => self.release(*epoch, loaded),
            Order::Load { model, .. } => self.load(model, loaded, shared),
        }
    }

    /// Joins a replica, or the current one at a later epoch. The weights stay loaded if rank, size
    /// and model are unchanged.
    fn join(
        self: &sync::Arc<Self>,
        requested: &fabric::Member,
        model: &Model,
        loaded: &mut Model,
        shared: &server::Shared,
    ) -> Answer {
        let current = self.config.fabric.member(&self.config.vm);
        let same_replica = current.replica == requested.replica;
        if (current.replica.is_some() && !same_replica) || current.epoch > requested.epoch {
            return Answer::Refused;
        }
        let same_shard =
            same_replica && (current.rank, current.size) == (requested.rank, requested.size);
        if same_replica && current.epoch == requested.epoch {
            return if same_shard { Answer::Accepted } else { Answer::Refused };
        }
        let now = self.now();
        {
            let mut state = self.state.lock();
            // The KV cache is sharded over the members, so a change of membership loses it.
            state.cache.clear(now);
            state.slots.reset_limit(self.config.cold_limit);
        }
        let same_model = std::mem::replace(loaded, model.clone()) == *model;
        self.config.fabric.update(&self.config.vm, |member| {
            let (loads, live) = (member.loads, member.live);
            *member = fabric::Member { loads, live, ..requested.clone() };
        });
        self.start_load(same_shard && same_model, shared);
        Answer::Accepted
    }

    /// Leaves the replica and unloads the model.
    fn release(&self, epoch: u64, loaded: &mut Model) -> Answer {
        self.config.fabric.update(&self.config.vm, |member| {
            if member.epoch > epoch {
                return Answer::Refused;
            }
            *loaded = Model::default();
            *member = fabric::Member {
                loads: member.loads + 1,
                live: member.live,
                ..fabric::Member::idle()
            };
            Answer::Accepted
        })
    }

    fn load(
        self: &sync::Arc<Self>,
        model: &Model,
        loaded: &mut Model,
        shared: &server::Shared,
    ) -> Answer {
        if self.config.fabric.member(&self.config.vm).replica.is_none() {
            return Answer::Refused;
        }
        if std::mem::replace(loaded, model.clone()) != *model {
            self.start_load(false, shared);
        }
        Answer::Accepted
    }

    /// Becomes ready after the load time, or at once if the weights are already loaded.
    fn start_load(self: &sync::Arc<Self>, loaded: bool, shared: &server::Shared) {
        let load_number = self.config.fabric.update(&self.config.vm, |member| {
            member.loads += 1;
            member.phase = if loaded { report::Phase::Ready } else { report::Phase::Loading };
            member.loads
        });
        if loaded {
            return;
        }
        let engine = sync::Arc::clone(self);
        shared.spawn(async move {
            tokio::time::sleep(engine.config.load_time).await;
            engine.config.fabric.update(&engine.config.vm, |member| {
                if member.loads == load_number && member.phase == report::Phase::Loading {
                    member.phase = report::Phase::Ready;
                }
            });
        });
    }
}
