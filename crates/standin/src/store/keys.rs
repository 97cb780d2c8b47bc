//! Keys, leases and the change history that watches read.

use std::{collections, time};

use corneltrestle_kernel::table::Ranked;
use corneltrestle_time::moment;
use serde_json::json;

use super::message::{self, Result};

/// Largest value of a key.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Most recent changes that are kept; a watch from an earlier revision is cancelled.
const MAX_CHANGES: usize = 4096;

/// The keys, leases and history of a store.
#[derive(Debug)]
pub(super) struct Keys {
    revision: u64,
    keys: collections::BTreeMap<Vec<u8>, Key>,
    leases: collections::BTreeMap<i64, Lease>,
    next_lease: i64,
    history: collections::VecDeque<Change>,
    /// Revision of the latest change that was evicted from the history; 0 if none was.
    compacted: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Key {
    pub(super) value: Vec<u8>,
    create_revision: u64,
    mod_revision: u64,
    version: u64,
    /// Id of the lease that the key is attached to; 0 if none.
    lease: i64,
}

#[derive(Debug)]
struct Lease {
    ttl: time::Duration,
    expiry: moment::Moment,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    name: Vec<u8>,
    /// The new state of the key; `None` if it was deleted.
    key: Option<Key>,
}

impl Default for Keys {
    fn default() -> Self {
        // As in etcd, the revision of an empty store is 1.
        Self {
            revision: 1,
            keys: collections::BTreeMap::new(),
            leases: collections::BTreeMap::new(),
            next_lease: 1,
            history: collections::VecDeque::new(),
            compacted: 0,
        }
    }
}

impl Ranked for Keys {
    const RANK: u16 = 210;
    const NAME: &'static str = "standin-keys";
}

/// Reading and writing keys.
impl Keys {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn get(&self, name: &[u8]) -> Option<&Key> {
        self.keys.get(name)
    }

    pub(super) fn header(&self) -> serde_json::Value {
        let revision = self.revision.to_string();
        json!({"cluster_id": "1", "member_id": "1", "revision": revision, "raft_term": "1"})
    }

    pub(super) fn range(&self, range: &message::Range) -> serde_json::Value {
        match self.keys.get(&range.key) {
            Some(key) => {
                json!({"header": self.header(), "kvs": [key.encode(&range.key)], "count": "1"})
            }
            None => json!({"header": self.header()}),
        }
    }

    pub(super) fn txn(&mut self, txn: &message::Txn) -> Result<serde_json::Value> {
        let [compare] = &txn.compare;
        let message::Target::Mod = compare.target;
        let message::Comparison::Equal = compare.result;
        let current = self.keys.get(&compare.key).map_or(0, |key| key.mod_revision);
        let succeeded = i64::try_from(current).is_ok_and(|n| n == compare.mod_revision);
        let operations = if succeeded { &txn.success } else { &txn.failure };
        self.validate(operations)?;
        let responses: Vec<_> = operations.iter().map(|operation| self.apply(operation)).collect();
        let mut answer = json!({"header": self.header()});
        if succeeded {
            answer["succeeded"] = true.into();
        }
        if !responses.is_empty() {
            answer["responses"] = responses.into();
        }
        Ok(answer)
    }

    /// Validates all operations before the first one is applied, so that a transaction is atomic.
    fn validate(&self, operations: &[message::Operation]) -> Result<()> {
        for operation in operations {
            let message::Operation::Put(put) = operation else { continue };
            if put.value.len() > MAX_VALUE_BYTES {
                return Err(message::Error::invalid("etcdserver: request is too large"));
            }
            if put.lease != 0 && !self.leases.contains_key(&put.lease) {
                return Err(message::Error::lease_not_found());
            }
        }
        Ok(())
    }

    fn apply(&mut self, operation: &message::Operation) -> serde_json::Value {
        match operation {
            message::Operation::Range(range) => json!({"response_range": self.range(range)}),
            message::Operation::Put(put) => {
                self.put(put);
                json!({"response_put": {"header": {"revision": self.revision.to_string()}}})
            }
        }
    }

    fn put(&mut self, put: &message::Put) {
        self.revision += 1;
        let previous = self.keys.get(&put.key);
        let key = Key {
            value: put.value.clone(),
            create_revision: previous.map_or(self.revision, |key| key.create_revision),
            mod_revision: self.revision,
            version: previous.map_or(1, |key| key.version + 1),
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), key.clone());
        self.record(put.key.clone(), Some(key));
    }

    fn record(&mut self, name: Vec<u8>, key: Option<Key>) {
        if self.history.len() == MAX_CHANGES
            && let Some(evicted) = self.history.pop_front()
        {
            self.compacted = evicted.revision;
        }
        self.history.push_back(Change { revision: self.revision, name, key });
    }
}

/// Leases and the deletion of the keys attached to them.
impl Keys {
    pub(super) fn grant(
        &mut self,
        grant: &message::Grant,
        now: moment::Moment,
    ) -> Result<serde_json::Value> {
        let ttl = u64::try_from(grant.ttl).ok().filter(|ttl| (1..=9_000_000_000).contains(ttl));
        let ttl =
            ttl.ok_or_else(|| message::Error::invalid("etcdserver: lease TTL out of range"))?;
        let id = if grant.id == 0 { self.next_lease } else { grant.id };
        self.next_lease = self.next_lease.max(id) + 1;
        let ttl = time::Duration::from_secs(ttl);
        self.leases.insert(id, Lease { ttl, expiry: now + ttl });
        Ok(self.lease(id, Some(ttl)))
    }

    pub(super) fn keep_alive(
        &mut self,
        lease: &message::Lease,
        now: moment::Moment,
    ) -> serde_json::Value {
        self.expire(now);
        let ttl = self.leases.get_mut(&lease.id).map(|granted| {
            granted.expiry = now + granted.ttl;
            granted.ttl
        });
        self.lease(lease.id, ttl)
    }

    pub(super) fn revoke(&mut self, lease: &message::Lease) -> Result<serde_json::Value> {
        self.leases.remove(&lease.id).ok_or_else(message::Error::lease_not_found)?;
        self.remove_keys(&[lease.id]);
        Ok(json!({"header": self.header()}))
    }

    /// Removes expired leases and deletes the keys attached to them.
    pub(super) fn expire(&mut self, now: moment::Moment) {
        let is_expired = |granted: &Lease| now >= granted.expiry;
        let ids: Vec<_> =
            self.leases.iter().filter(|(_, g)| is_expired(g)).map(|(id, _)| *id).collect();
        self.leases.retain(|id, _| !ids.contains(id));
        self.remove_keys(&ids);
    }

    /// Removes all leases and deletes the keys attached to them.
    pub(super) fn expire_all(&mut self) {
        let ids: Vec<_> = std::mem::take(&mut self.leases).into_keys().collect();
        self.remove_keys(&ids);
    }

    fn remove_keys(&mut self, leases: &[i64]) {
        if leases.is_empty() {
            return;
        }
        let attached = self.keys.iter().filter(|(_, key)| leases.contains(&key.lease));
        let names: Vec<_> = attached.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.revision += 1;
            self.keys.remove(&name);
            self.record(name, None);
        }
    }

    fn lease(&self, id: i64, ttl: Option<time::Duration>) -> serde_json::Value {
        let mut answer = json!({"header": self.header(), "ID": id.to_string()});
        if let Some(ttl) = ttl {
            answer["TTL"] = ttl.as_secs().to_string().into();
        }
        answer
    }
}

/// Reading the history for watches.
impl Keys {
    /// The events of a key since revision `from`. If the history no longer reaches back that far,
    /// `Err` has the latest evicted revision.
    pub(super) fn events(
        &self,
        name: &[u8],
        from: u64,
    ) -> std::result::Result<Vec<serde_json::Value>, u64> {
        if from <= self.compacted {
            return Err(self.compacted);
        }
        let changes = self.history.iter().filter(|c| c.revision >= from && c.name == name);
        Ok(changes.map(Change::encode).collect())
    }
}

impl Change {
    fn encode(&self) -> serde_json::Value {
        match &self.key {
            Some(key) => json!({"kv": key.encode(&self.name)}),
            None => {
                let name = message::encode(&self.name);
                json!({"type": "DELETE", "kv": {"key": name, "mod_revision": self.revision.to_string()}})
            }
        }
    }
}

impl Key {
    fn encode(&self, name: &[u8]) -> serde_json::Value {
        let mut value = json!({
            "key": message::encode(name),
            "create_revision": self.create_revision.to_string(),
            "mod_revision": self.mod_revision.to_string(),
            "version": self.version.to_string(),
        });
        if !self.value.is_empty() {
            value["value"] = message::encode(&self.value).into();
        }
        if self.lease != 0 {
            value["lease"] = self.lease.to_string().into();
        }
        value
    }
}
