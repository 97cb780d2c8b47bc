//! Clients of an etcd v3 JSON gateway, as the key-value service, and of Prometheus HTTP service
//! discovery, as the VM list.

pub mod discovery;
pub mod gateway;
