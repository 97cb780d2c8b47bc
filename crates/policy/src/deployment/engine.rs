//! Inference engines of model services, with the parameters of their published cost model.

use std::time;

use crate::id;

/// An inference engine; all VMs of a service run the same one. Slots, capacities and times are
/// those of a whole group.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Engine {
    /// Requests that a group runs at once; more are queued.
    pub slots: u32,
    /// Number of tokens that the KV cache of a group holds.
    #[serde(rename = "memory")]
    pub kv_capacity: u64,
    /// Decoding steps in one pass; each running request sends one event per pass.
    #[serde(rename = "stride")]
    pub pass_steps: u32,
    /// Time of a decoding step without the parts that depend on the requests.
    #[serde(rename = "step")]
    pub step_time: time::Duration,
    /// Time that each running request adds to a step.
    #[serde(rename = "sequence")]
    pub sequence_time: time::Duration,
    /// Time that each 1,000 tokens of context of a running request add to a step.
    #[serde(rename = "context")]
    pub context_time: time::Duration,
    /// Prompt tokens that are processed per second, without attention; 0 or less if prefill takes
    /// no time.
    #[serde(rename = "read")]
    pub prefill_rate: f64,
    /// Attention time in prefill for each million pairs of a token and an earlier one.
    #[serde(rename = "pairs")]
    pub attention_time: time::Duration,
    /// Maximum number of prompt tokens processed in one step.
    #[serde(rename = "chunk")]
    pub prefill_chunk: u32,
    /// Models that the engine can serve; a group serves one of them.
    pub models: Vec<Model>,
    /// Limits on loads from the weight store.
    #[serde(rename = "loads")]
    pub load_limits: LoadLimits,
    /// Number of models whose weights are kept staged on the host of a VM.
    #[serde(rename = "kept")]
    pub staged_models: u32,
    /// Factor on all times of a group whose members are in several fabric domains.
    #[serde(rename = "far")]
    pub cross_domain: f64,
    /// Time from the open order until the group serves.
    #[serde(rename = "form")]
    pub open_time: time::Duration,
    /// Published mean number of prompt tokens of a request.
    #[serde(rename = "prompt")]
    pub mean_prompt: u32,
    /// Published mean number of answer tokens of a request.
    #[serde(rename = "answer")]
    pub mean_answer: u32,
}

/// Limits of the weight store on loads, over all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadLimits {
    /// Loads that may start per second.
    pub rate: f64,
    /// Number of concurrent loads above which each load takes longer.
    pub parallel: u32,
}

/// A model that an engine can serve.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Model {
    /// Name, unique in the engine.
    pub name: id::Model,
    /// Number of VMs in a group, at least 1.
    pub size: u32,
    /// Factor on all times of its groups; 2 means half the speed of the published times.
    pub pace: f64,
    /// Expected fraction of the load when the deployment starts, from 0 to 1.
    pub share: f64,
    /// Time to load the weights from the weight store, without other loads.
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
