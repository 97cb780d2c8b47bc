//! A running deployment.

use std::{collections, path, time};

use corneltrestle_node::operate;
use corneltrestle_policy::vm;
use corneltrestle_standin::{engine, service, store, vms};

use crate::{address, nodes};

/// The result of running a deployment.
pub type Result<T> = std::result::Result<T, crate::Error>;

/// A running deployment.
#[derive(Debug)]
pub struct Local {
    /// The key-value service.
    pub store: store::Handle,
    /// The VM list.
    pub vms: vms::Handle,
    /// Engines by VM.
    pub engines: collections::BTreeMap<String, engine::Handle>,
    /// Plain services with their zones.
    pub services: Vec<(String, service::Handle)>,
    /// Entry nodes by name.
    pub nodes: collections::BTreeMap<String, crate::Node>,
    /// Other addresses on the paths of nodes, used when a node is started.
    pub overrides: collections::BTreeMap<String, nodes::Overrides>,
    pub(crate) listed: Vec<vm::Vm>,
    pub(crate) addresses: address::Addresses,
    pub(crate) files: path::PathBuf,
    pub(crate) plan: crate::Plan,
}

impl Local {
    /// Opens a deployment on the workers of the present runtime.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound or a file cannot be written.
    pub async fn open(plan: crate::Plan) -> Result<Self> {
        let mut local = Self::bind(plan).await?;
        local.start_nodes()?;
        Ok(local)
    }

    /// Opens the stand-ins of a deployment without its nodes.
    ///
    /// # Errors
    ///
    /// As [`Local::open`].
    pub async fn bind(plan: crate::Plan) -> Result<Self> {
        let addresses = address::Addresses::reserve();
        let files = nodes::write_secrets(&addresses)?;
        let platform = addresses.platform();
        let bind =
            |step| move |source| crate::Error::Bind { step, peer: platform.to_string(), source };
        let store = store::bind(store::Config {
            listen: (platform, 0).into(),
            progress: time::Duration::from_secs(1),
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
            listed: Vec::new(),
            addresses,
            files,
            plan,
        };
        local.bind_engines().await?;
        local.bind_services().await?;
        local.list_nodes();
        local.publish();
        Ok(local)
    }

    /// Starts the nodes of the plan on the workers of the runtime that the caller has entered.
    ///
    /// # Errors
    ///
    /// When a node cannot be opened.
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
            let peer = ip.to_string();
            let handle = engine::bind(config).await.map_err(|source| crate::Error::Bind {
                step: "engine",
                peer,
                source,
            })?;
            self.listed.push(vm::Vm {
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
                let peer = ip.to_string();
                let config = service::Config { listen: (ip, 0).into(), ..Default::default() };
                let handle = service::bind(config).await.map_err(|source| crate::Error::Bind {
                    step: "service",
                    peer,
                    source,
                })?;
                self.services.push((zone.name.clone(), handle));
            }
        }
        Ok(())
    }

    /// Publishes the VM list as it is now.
    pub fn publish(&self) {
        self.vms.api().set(&self.listed);
    }

    /// Changes the state of a VM in the list.
    pub fn set_state(&mut self, vm: &str, state: vm::State) {
        for entry in self.listed.iter_mut().filter(|entry| entry.id.as_str() == vm) {
            entry.state = state;
        }
        self.publish();
    }

    /// The file with the operators' token of all nodes.
    pub fn token_file(&self) -> path::PathBuf {
        self.files.join("token")
    }

    /// Applies a note through the operators' interface of the first node.
    ///
    /// # Errors
    ///
    /// When the node cannot be called.
    pub async fn apply(&self, note: &str) -> Result<operate::Verdict> {
        let node = self.nodes.values().next().ok_or(crate::Error::NoNode)?;
        node.apply(note).await
    }

    /// Stops everything: nodes first, each with its drain.
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
        if let Err(e) = std::fs::remove_dir_all(&self.files) {
            log::debug!("local: cannot remove {}: {e}", self.files.display());
        }
    }
}
