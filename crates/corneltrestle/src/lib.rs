//! corneltrestle: a serving system for models whose replicas span several VMs.
