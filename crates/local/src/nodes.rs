//! Entry nodes of a deployment: their settings, start and stop.

use std::{fs, net, path};

use corneltrestle_kernel::{node, settings};
use corneltrestle_node::operate;
use corneltrestle_policy::vm;

use crate::{Result, address, client};

/// Port of the callers' interface.
const CALLERS_PORT: u16 = 8_080;
/// Port of the operators' interface.
const OPERATORS_PORT: u16 = 9_080;
/// Port of the link, the interface for other nodes.
const LINK_PORT: u16 = 7_080;
/// The operators' token of each deployment.
const TOKEN: &str = "local-operator-token";
/// The secret that the nodes of a deployment share.
const SECRET: &str = "local-secret-of-the-nodes";

/// Addresses that a node uses instead of the direct ones; `None` means the direct address.
///
/// Tests set them to the addresses of forwarders, which can interrupt the connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overrides {
    /// Address of the key-value service.
    pub store: Option<net::SocketAddr>,
    /// Address of the VM list.
    pub vms: Option<net::SocketAddr>,
    /// Address on which the link listens. Other nodes still connect to the address in the VM list.
    pub bind: Option<net::SocketAddr>,
}

/// A running entry node.
#[derive(Debug)]
pub struct Node {
    /// Address of the callers' interface.
    pub callers: net::SocketAddr,
    /// Address of the operators' interface.
    pub operators: net::SocketAddr,
    /// The node, running on the runtime of the deployment.
    pub running: node::Attached,
}

impl Node {
    /// Applies a release note through the operators' interface.
    ///
    /// # Errors
    ///
    /// When the call fails or the response is not a verdict.
    pub async fn apply(&self, note: &str) -> Result<operate::Verdict> {
        let response = self.operate(hyper::Method::POST, "/v1/note", note).await?;
        serde_json::from_slice(&response.body).map_err(|e| crate::Error::Call {
            step: "apply note",
            address: self.operators.to_string(),
            cause: e.to_string(),
        })
    }

    /// Calls the operators' interface with the operators' token.
    ///
    /// # Errors
    ///
    /// When the call fails.
    pub async fn operate(
        &self,
        method: hyper::Method,
        path: &str,
        body: &str,
    ) -> Result<client::Response> {
        let client = client::Client::new(self.operators, TOKEN);
        client.call(method, path, &[], body.as_bytes().to_vec()).await
    }

    /// Drains the node and stops it.
    pub async fn shutdown(self) {
        self.running.shutdown().await;
    }
}

/// Writes the files that the settings of the nodes name: the operators' token and the secret of the
/// nodes. Returns their directory.
pub(crate) fn write_secrets(addresses: &address::Addresses) -> Result<path::PathBuf> {
    let dir = std::env::temp_dir().join(format!("corneltrestle-{}", addresses.name()));
    let written = fs::create_dir_all(&dir)
        .and_then(|()| fs::write(dir.join("token"), TOKEN))
        .and_then(|()| fs::write(dir.join("secret"), SECRET));
    let path = dir.display().to_string();
    written.map(|()| dir).map_err(|source| crate::Error::File { path, source })
}

impl crate::Local {
    /// Adds the VMs of the entry nodes to the VM list.
    pub(crate) fn list_nodes(&mut self) {
        let mut node_index = 0;
        for zone in &self.plan.zones {
            for index in 0..zone.nodes {
                self.vm_list.push(vm::Vm {
                    id: format!("{}-entry-{index}", zone.name).as_str().into(),
                    address: (self.addresses.node(node_index), LINK_PORT).into(),
                    zone: zone.name.as_str().into(),
                    fabric: format!("{}-entry", zone.name).as_str().into(),
                    role: vm::Role::Entry,
                    state: vm::State::Live,
                    accelerators: 0,
                });
                node_index += 1;
            }
        }
    }

    /// Starts a node of the plan that is not running.
    ///
    /// # Errors
    ///
    /// When the plan has no such node or the node cannot be started.
    pub fn start_node(&mut self, name: &str) -> Result<()> {
        let listed = self.vm_list.iter().find(|vm| vm.id.as_str() == name);
        let listed = listed.ok_or(crate::Error::NoNode)?;
        let ip = listed.address.ip();
        let text = self.settings_of(name, listed.zone.as_str(), ip);
        let fail = |source| crate::Error::Node { name: name.to_owned(), source };
        let parsed = settings::Settings::parse(name, &text, &settings::sections())
            .map_err(|e| fail(node::Error::Settings(e)))?;
        let running = node::Attached::open(parsed).map_err(fail)?;
        let node = Node {
            callers: (ip, CALLERS_PORT).into(),
            operators: (ip, OPERATORS_PORT).into(),
            running,
        };
        self.nodes.insert(name.to_owned(), node);
        Ok(())
    }

    /// The address of a VM in the VM list; for an entry node, that of its link.
    pub fn address(&self, vm: &str) -> Option<net::SocketAddr> {
        self.vm_list.iter().find(|listed| listed.id.as_str() == vm).map(|listed| listed.address)
    }

    /// Drains a node and stops it; does nothing if it is not running.
    pub async fn stop_node(&mut self, name: &str) {
        if let Some(node) = self.nodes.remove(name) {
            node.shutdown().await;
        }
    }

    fn settings_of(&self, name: &str, zone: &str, ip: std::net::IpAddr) -> String {
        let dir = self.dir.display();
        let overrides = self.overrides.get(name).copied().unwrap_or_default();
        let store = overrides.store.unwrap_or(self.store.address());
        let vms = overrides.vms.unwrap_or(self.vms.address());
        let bind = overrides.bind.unwrap_or((ip, LINK_PORT).into());
        let extra = &self.plan.settings;
        format!(
            "[node]\nid = {name}\nzone = {zone}\nlink = {ip}:{LINK_PORT}\nlink-bind = {bind}\nsecret-file = {dir}/secret\ndrain-delay = 100ms\n\
             [callers]\naddress = {ip}:{CALLERS_PORT}\n\
             [operators]\naddress = {ip}:{OPERATORS_PORT}\ntoken-file = {dir}/token\n\
             [store]\naddress = {store}\n[vms]\naddress = {vms}\n{extra}\n"
        )
    }
}
