//! Entry nodes of a deployment.

use std::{fs, net, path};

use corneltrestle_kernel::{node, settings};
use corneltrestle_node::operate;
use corneltrestle_policy::vm;

use crate::{Result, address, client};

/// Port for callers.
const CALLERS: u16 = 8_080;
/// Port for operators.
const OPERATORS: u16 = 9_080;
/// Port for other nodes.
const LINK: u16 = 7_080;
/// The operators' token of a deployment.
const TOKEN: &str = "local-operator-token";
/// The secret of the nodes of a deployment.
const SECRET: &str = "local-secret-of-the-nodes";

/// Addresses at which a node finds the platform and listens, in place of the direct ones.
///
/// Forwarders in between can cut these paths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overrides {
    /// The key-value service.
    pub store: Option<net::SocketAddr>,
    /// The VM list.
    pub vms: Option<net::SocketAddr>,
    /// Where the link listens; peers still use the address in the VM list.
    pub bind: Option<net::SocketAddr>,
}

/// A running entry node.
#[derive(Debug)]
pub struct Node {
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for operators.
    pub operators: net::SocketAddr,
    /// The node.
    pub running: node::Attached,
}

impl Node {
    /// Applies a note through the operators' interface.
    ///
    /// # Errors
    ///
    /// When the node cannot be called.
    pub async fn apply(&self, note: &str) -> Result<operate::Verdict> {
        let answer = self.operate(hyper::Method::POST, "/v1/note", note).await?;
        serde_json::from_slice(&answer.body).map_err(|e| crate::Error::Call {
            step: "apply note",
            peer: self.operators.to_string(),
            cause: e.to_string(),
        })
    }

    /// Calls the operators' interface.
    ///
    /// # Errors
    ///
    /// When the node cannot be called.
    pub async fn operate(
        &self,
        method: hyper::Method,
        path: &str,
        body: &str,
    ) -> Result<client::Response> {
        let caller = client::Client::new(self.operators, TOKEN);
        caller.call(method, path, &[], body.as_bytes().to_vec()).await
    }

    /// Stops the node with its drain.
    pub async fn shutdown(self) {
        self.running.shutdown().await;
    }
}

/// Writes the files that the nodes' settings name; returns their folder.
pub(crate) fn write_secrets(addresses: &address::Addresses) -> Result<path::PathBuf> {
    let folder = std::env::temp_dir().join(format!("corneltrestle-{}", addresses.name()));
    let written = fs::create_dir_all(&folder)
        .and_then(|()| fs::write(folder.join("token"), TOKEN))
        .and_then(|()| fs::write(folder.join("secret"), SECRET));
    let peer = folder.display().to_string();
    written.map(|()| folder).map_err(|source| crate::Error::File { peer, source })
}

impl crate::Local {
    /// Adds the nodes' VMs to the VM list.
    pub(crate) fn list_nodes(&mut self) {
        let mut number = 0;
        for zone in &self.plan.zones {
            for index in 0..zone.nodes {
                self.listed.push(vm::Vm {
                    id: format!("{}-entry-{index}", zone.name).as_str().into(),
                    address: (self.addresses.node(number), LINK).into(),
                    zone: zone.name.as_str().into(),
                    fabric: format!("{}-entry", zone.name).as_str().into(),
                    role: vm::Role::Entry,
                    state: vm::State::Live,
                    accelerators: 0,
                });
                number += 1;
            }
        }
    }

    /// Starts a node of the plan that is not running.
    ///
    /// # Errors
    ///
    /// When the node cannot be opened.
    pub fn start_node(&mut self, name: &str) -> Result<()> {
        let listed = self.listed.iter().find(|vm| vm.id.as_str() == name);
        let listed = listed.ok_or(crate::Error::NoNode)?;
        let ip = listed.address.ip();
        let text = self.settings_of(name, listed.zone.as_str(), ip);
        let fail = |source| crate::Error::Node { peer: name.to_owned(), source };
        let parsed = settings::Settings::parse(name, &text, &settings::sections())
            .map_err(|e| fail(node::Error::Settings(e)))?;
        let running = node::Attached::open(parsed).map_err(fail)?;
        let node =
            Node { callers: (ip, CALLERS).into(), operators: (ip, OPERATORS).into(), running };
        self.nodes.insert(name.to_owned(), node);
        Ok(())
    }

    /// The address of a VM in the VM list.
    pub fn address(&self, vm: &str) -> Option<net::SocketAddr> {
        self.listed.iter().find(|listed| listed.id.as_str() == vm).map(|listed| listed.address)
    }

    /// Stops a node with its drain.
    pub async fn stop_node(&mut self, name: &str) {
        if let Some(node) = self.nodes.remove(name) {
            node.shutdown().await;
        }
    }

    fn settings_of(&self, name: &str, zone: &str, ip: std::net::IpAddr) -> String {
        let files = self.files.display();
        let overrides = self.overrides.get(name).copied().unwrap_or_default();
        let store = overrides.store.unwrap_or(self.store.address());
        let vms = overrides.vms.unwrap_or(self.vms.address());
        let bind = overrides.bind.unwrap_or((ip, LINK).into());
        let further = &self.plan.settings;
        format!(
            "[node]\nid = {name}\nzone = {zone}\nlink = {ip}:{LINK}\nlink-bind = {bind}\nsecret-file = {files}/secret\ndrain-delay = 100ms\n\
             [callers]\naddress = {ip}:{CALLERS}\n\
             [operators]\naddress = {ip}:{OPERATORS}\ntoken-file = {files}/token\n\
             [store]\naddress = {store}\n[vms]\naddress = {vms}\n{further}\n"
        )
    }
}
