//! Clients of the platform's services: the key-value store, an etcd v3 JSON gateway, and the list
//! of VMs, which is served as Prometheus HTTP service discovery.

pub mod discovery;
pub mod gateway;
