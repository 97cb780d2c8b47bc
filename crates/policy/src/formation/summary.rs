//! Counts of VMs and groups by fabric domain, for logs and metrics.

use std::{collections, fmt};

use corneltrestle_time::moment;

use super::{Condition, Plan, Role, State, View, Vm, vm};
use crate::id;

/// VMs and groups by fabric domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Counts by name of the domain; the name is empty for VMs without a domain.
    pub domains: collections::BTreeMap<String, Counts>,
}

/// VMs and groups of one fabric domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Groups that serve, by model.
    pub serving: collections::BTreeMap<id::Model, usize>,
    /// Groups that are being formed, by model.
    pub forming: collections::BTreeMap<id::Model, usize>,
    /// Free VMs that have the weights of a model, by model.
    pub spares: collections::BTreeMap<id::Model, usize>,
    /// VMs that load a model outside a serving group.
    pub loading: usize,
    /// VMs without the weights of any model.
    pub empty: usize,
    /// VMs that are leaving or lost, also as members of a group.
    pub unusable: usize,
}

impl Summary {
    /// Counts the VMs and groups of a service.
    pub fn of(view: &View<'_>, state: &mut State, now: moment::Moment) -> Self {
        let mut summary = Self::default();
        let pass = state.pass(view.service);
        let plans = pass.known().plans().values().filter(|plan| !plan.is_dissolving);
        let heads = plans.filter_map(|plan| Some((plan.members.first()?, plan))).collect();
        for vm in vm::classify(view, pass.known(), now) {
            let fabric = vm.fabric().map_or("", id::Fabric::as_str);
            summary.domains.entry(fabric.to_owned()).or_default().count(view, &heads, &vm);
        }
        summary
    }

    /// Number of serving groups of each model over all domains.
    pub fn serving(&self) -> collections::BTreeMap<&id::Model, usize> {
        let mut total = collections::BTreeMap::new();
        for (model, number) in self.domains.values().flat_map(|counts| &counts.serving) {
            *total.entry(model).or_default() += number;
        }
        total
    }
}

impl Counts {
    /// Counts a VM; `heads` are the plans of groups that are not dissolved, by their heads.
    fn count(
        &mut self,
        view: &View<'_>,
        heads: &collections::HashMap<&id::Vm, &Plan>,
        vm: &Vm<'_>,
    ) {
        if vm.condition != Condition::Usable {
            self.unusable += 1;
            return;
        }
        match vm.role {
            Role::Spare => {
                let model = view.engine.models.iter().find(|model| vm.has(&model.name));
                if let Some(model) = model {
                    *self.spares.entry(model.name.clone()).or_default() += 1;
                }
            }
            Role::Loading => self.loading += 1,
            Role::Empty => self.empty += 1,
            Role::Unusable => self.unusable += 1,
            Role::Member => {
                if let Some(plan) = heads.get(&vm.upstream.id) {
                    let groups =
                        if plan.opened.is_some() { &mut self.serving } else { &mut self.forming };
                    *groups.entry(plan.model.clone()).or_default() += 1;
                }
            }
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list = |counts: &collections::BTreeMap<id::Model, usize>| {
            let parts: Vec<_> = counts.iter().map(|(model, n)| format!("{model}={n}")).collect();
            parts.join(",")
        };
        let parts: Vec<_> = self
            .domains
            .iter()
            .map(|(name, counts)| {
                format!(
                    "{name} serving[{}] forming[{}] spares[{}] loading={} empty={} unusable={}",
                    list(&counts.serving),
                    list(&counts.forming),
                    list(&counts.spares),
                    counts.loading,
                    counts.empty,
                    counts.unusable
                )
            })
            .collect();
        f.write_str(&parts.join("; "))
    }
}
