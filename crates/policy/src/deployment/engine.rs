//! Engines of model services, with their published cost model.

use std::time;

use crate::id;

/// An engine: all VMs of a service run the same one. Slots, memory and times are those of a group.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the KV cache holds.
    #[serde(rename = "memory")]
    pub kv_capacity: u64,
    /// Decoding steps in one pass with running requests.
    #[serde(rename = "stride")]
    pub pass_steps: u32,
    /// Time of a decoding step.
    #[serde(rename = "step")]
    pub step_time: time::Duration,
    /// Additional time of a step by each running request.
    #[serde(rename = "sequence")]
    pub sequence_time: time::Duration,
    /// Additional time of a step by each 1,000 tokens of context of each running request.
    #[serde(rename = "context")]
    pub context_time: time::Duration,
    /// Prompt tokens that are read a second.
    #[serde(rename = "read")]
    pub prefill_rate: f64,
    /// Additional time of reading by each million pairs of a token and an earlier one.
    #[serde(rename = "pairs")]
    pub attention_time: time::Duration,
    /// Most prompt tokens that are read in one step.
    #[serde(rename = "chunk")]
    pub prefill_chunk: u32,
    /// Models, each with the size of its groups.
    pub models: Vec<Model>,
    /// Loads from the weight store.
    #[serde(rename = "loads")]
    pub load_limits: LoadLimits,
    /// Models that a host keeps staged.
    #[serde(rename = "kept")]
    pub staged_models: u32,
    /// Factor on all times of a group whose members are in several fabric domains.
    #[serde(rename = "far")]
    pub cross_domain: f64,
    /// Time from the order to open until a group serves.
    #[serde(rename = "form")]
    pub open_time: time::Duration,
    /// Mean number of prompt tokens of a request.
    #[serde(rename = "prompt")]
    pub mean_prompt: u32,
    /// Mean number of answer tokens of a request.
    #[serde(rename = "answer")]
    pub mean_answer: u32,
}

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadLimits {
    /// Loads that may begin in a second, over all upstreams.
    pub rate: f64,
    /// Loads in progress beyond which each takes longer.
    pub parallel: u32,
}

/// A model.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Model {
    /// Its name.
    pub name: id::Model,
    /// VMs of a group; at least 1.
    pub size: u32,
    /// Factor on all times of its groups.
    pub pace: f64,
    /// Its part of the work when the deployment starts, from 0 to 1.
    pub share: f64,
    /// Time of a load from the weight store.
    pub load: time::Duration,
    /// Time to join a group when the weights are staged on the host.
    pub warm: time::Duration,
}

impl Engine {
    /// The model with this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }
}
