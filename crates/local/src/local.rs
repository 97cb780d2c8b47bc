//! A running deployment: its stand-ins and its entry nodes.

use std::{collections, path, time};

use corneltrestle_node::operate;
use corneltrestle_policy::vm;
use corneltrestle_standin::{engine, service, store, vms};

use crate::{address, nodes};

/// Result with [`crate::Error`] as the error.
pub type Result<T> = std::result::Result<T, crate::Error>;

/// A running deployment on the loopback interface.
#[derive(Debug)]
pub struct Local {
    /// Stand-in of the platform's key-value service, the store.
    pub store: store::Handle,
    /// Stand-in of the platform's VM list.
    pub vms: vms::Handle,
    /// Stand-ins of engines, by VM.
    pub engines: collections::BTreeMap<String, engine::Handle>,
    /// Stand-ins of order services, each with its zone.
    pub services: Vec<(String, service::Handle)>,
    /// Running entry nodes, by name.
    pub nodes: collections::BTreeMap<String, crate::Node>,
    /// Addresses to use instead of the direct ones, by name of the node. Read when the node starts.
    pub overrides: collections::BTreeMap<String, nodes::Overrides>,
    /// Entries of the VM list, for engines and entry nodes.
    pub(crate) vm_list: Vec<vm::Vm>,
    pub(crate) addresses: address::Addresses,
    /// Directory of the files that the settings of the nodes name.
    pub(crate) dir: path::PathBuf,
    pub(crate) plan: crate::Plan,
}

impl Local {
    /// Starts a deployment on the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound, a file cannot be written or a node cannot be started.
    pub async fn open(plan: crate::Plan) -> Result<Self> {
        let mut local = Self::bind(plan).await?;
        local.start_nodes()?;
        Ok(local)
    }

    /// Starts the stand-ins of a deployment, but not its nodes; see [`Local::start_nodes`].
    ///
    /// # Errors
    ///
    /// When an address cannot be bound or a file cannot be written.
    pub async fn bind(plan: crate::Plan) -> Result<Self> {
        let addresses = address::Addresses::reserve();
        let dir = nodes::write_secrets(&addresses)?;
        let platform = addresses.platform();
        let bind = |component| {
            move |source| crate::Error::Bind { component, address: platform.to_string(), source }
        };
        let store = store::bind(store::Config {
            listen: (platform, 0).into(),
            progress_interval: time::Duration::from_secs(1),
        })
        .await
        .map_err(bind("store"))?;
        let vms = vms::bind(vms::Config {
            listen: (platform, 0).into(),
            lag: plan.list_lag,
            vms: Vec::new(),
        })
        .await
        .map_err(bind("vms"))?;
        let mut local = Self {
            store,
            vms,
            engines: collections::BTreeMap::new(),
            services: Vec::new(),
            nodes: collections::BTreeMap::new(),
            overrides: collections::BTreeMap::new(),
            vm_list: Vec::new(),
            addresses,
            dir,
            plan,
        };
        local.bind_engines().await?;
        local.bind_services().await?;
        local.list_nodes();
        local.publish();
        Ok(local)
    }

    /// Starts the nodes of the plan on the Tokio runtime that the calling thread has entered.
    ///
    /// # Errors
    ///
    /// When a node cannot be started.
    pub fn start_nodes(&mut self) -> Result<()> {
        for name in self.plan.node_names() {
            self.start_node(&name)?;
        }
        Ok(())
    }

    async fn bind_engines(&mut self) -> Result<()> {
        let fabric = engine::Fabric::default();
        for slot in self.plan.vm_slots() {
            let ip = self.addresses.zone(slot.zone_number);
            let config = engine::Config {
                listen: (ip, 0).into(),
                vm: slot.vm.as_str().into(),
                fabric: fabric.clone(),
                ..self.plan.engine.clone()
            };
            let address = ip.to_string();
            let handle = engine::bind(config).await.map_err(|source| crate::Error::Bind {
                component: "engine",
                address,
                source,
            })?;
            self.vm_list.push(vm::Vm {
                id: slot.vm.as_str().into(),
                address: handle.address(),
                zone: slot.zone.as_str().into(),
                fabric: slot.fabric.as_str().into(),
                role: vm::Role::Engine,
                state: vm::State::Live,
                accelerators: 4,
            });
            self.engines.insert(slot.vm, handle);
        }
        Ok(())
    }

    async fn bind_services(&mut self) -> Result<()> {
        for (number, zone) in self.plan.zones.iter().enumerate() {
            for _ in 0..zone.services {
                let ip = self.addresses.zone(number);
                let address = ip.to_string();
                let config = service::Config { listen: (ip, 0).into(), ..Default::default() };
                let handle = service::bind(config).await.map_err(|source| crate::Error::Bind {
                    component: "service",
                    address,
                    source,
                })?;
                self.services.push((zone.name.clone(), handle));
            }
        }
        Ok(())
    }

    /// Sets the VM list of the stand-in to that of the deployment. Nodes see it after the lag of the
    /// plan.
    pub fn publish(&self) {
        self.vms.api().set(&self.vm_list);
    }

    /// Changes the state of a VM in the list and publishes the list.
    pub fn set_state(&mut self, vm: &str, state: vm::State) {
        for entry in self.vm_list.iter_mut().filter(|entry| entry.id.as_str() == vm) {
            entry.state = state;
        }
        self.publish();
    }

    /// File with the operators' token, which all nodes share.
    pub fn token_file(&self) -> path::PathBuf {
        self.dir.join("token")
    }

    /// Applies a release note through the operators' interface of the first node.
    ///
    /// # Errors
    ///
    /// When no node is running or the call fails.
    pub async fn apply(&self, note: &str) -> Result<operate::Verdict> {
        let node = self.nodes.values().next().ok_or(crate::Error::NoNode)?;
        node.apply(note).await
    }

    /// Drains and stops all nodes at the same time, then stops the stand-ins and removes the files.
    pub async fn shutdown(mut self) {
        let nodes = std::mem::take(&mut self.nodes).into_values();
        let stops: tokio::task::JoinSet<()> = nodes.map(crate::Node::shutdown).collect();
        stops.join_all().await;
        for handle in self.engines.values() {
            handle.shutdown().await;
        }
        for (_, handle) in &self.services {
            handle.shutdown().await;
        }
        self.vms.shutdown().await;
        self.store.shutdown().await;
        if let Err(e) = std::fs::remove_dir_all(&self.dir) {
            log::debug!("local: cannot remove {}: {e}", self.dir.display());
        }
    }
}
