//! In-memory platform driver for a single instance and for tests; its content is lost when dropped.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt, ready};

use super::{
    Condition, ListedInstance, Object, ObjectCondition, Platform, Row, RowChange, RowKey, RowWrite,
    WriteResult,
};

/// Tables, objects and instance list of an in-memory platform.
#[derive(Debug, Default)]
pub struct Store {
    rows: BTreeMap<RowKey, Row>,
    objects: BTreeMap<String, Object>,
    instances: Vec<ListedInstance>,
    /// Last version assigned to a row or object; increases by one with each write.
    last_version: u64,
}

impl Store {
    /// Returns a row.
    pub fn get(&self, key: &RowKey) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    /// Returns all rows whose keys start with `prefix`, sorted by key.
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let from = RowKey(prefix.to_owned());
        self.rows
            .range(from..)
            .map(|(_, row)| row)
            .take_while(|r| r.key.0.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Applies all writes, or none if a condition is not met.
    pub fn write(&mut self, writes: &[RowWrite]) -> WriteResult {
        let failed = writes.iter().filter(|w| !self.is_met(w)).map(|w| w.key.clone()).collect::<Vec<_>>();
        if !failed.is_empty() {
            return WriteResult::Conflict(failed);
        }
        WriteResult::TookEffect(writes.iter().map(|w| self.apply(w)).collect())
    }

    fn is_met(&self, write: &RowWrite) -> bool {
        let version = self.rows.get(&write.key).map(|r| r.version);
        match write.condition {
            Condition::Absent => version.is_none(),
            Condition::VersionIs(expected) => version == Some(expected),
        }
    }

    fn apply(&mut self, write: &RowWrite) -> u64 {
        let RowChange::Put(value) = &write.change else {
            self.rows.remove(&write.key);
            return 0;
        };
        self.last_version += 1;
        let row = Row { key: write.key.clone(), value: value.clone(), version: self.last_version };
        self.rows.insert(write.key.clone(), row);
        self.last_version
    }

    /// Returns an object.
    pub fn get_object(&self, name: &str) -> Option<Object> {
        self.objects.get(name).cloned()
    }

    /// Writes an object if the condition is met; the lists in the result are empty.
    pub fn put_object(&mut self, name: &str, content: Bytes, condition: &ObjectCondition) -> WriteResult {
        let current = self.objects.get(name).map(|o| o.etag.as_str());
        let is_met = match condition {
            ObjectCondition::Absent => current.is_none(),
            ObjectCondition::Match(etag) => current == Some(etag),
            ObjectCondition::Any => true,
        };
        if !is_met {
            return WriteResult::Conflict(Vec::new());
        }
        self.last_version += 1;
        let etag = format!("\"{}\"", self.last_version);
        self.objects.insert(name.to_owned(), Object { content, etag });
        WriteResult::TookEffect(Vec::new())
    }

    /// Returns the names of the objects that start with `prefix`, sorted.
    pub fn list_objects(&self, prefix: &str) -> Vec<String> {
        self.objects.keys().filter(|name| name.starts_with(prefix)).cloned().collect()
    }

    /// Returns the instance list.
    pub fn instances(&self) -> Vec<ListedInstance> {
        self.instances.clone()
    }

    /// Registers an instance, replacing an entry of the same name.
    pub fn register(&mut self, instance: ListedInstance) {
        self.instances.retain(|i| i.id != instance.id);
        self.instances.push(instance);
    }

    /// Removes an instance from the list.
    pub fn deregister(&mut self, id: &crate::units::InstanceId) {
        self.instances.retain(|i| i.id != *id);
    }
}

/// Store that the functions of a driver share.
pub type SharedStore = Arc<Mutex<Store>>;

fn with_store<T: Send + 'static>(
    store: &SharedStore,
    work: impl FnOnce(&mut Store) -> T,
) -> BoxFuture<'static, T> {
    let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
    ready(work(&mut store)).boxed()
}

/// Creates a driver for a shared store; none of its functions fails.
pub fn driver(store: &SharedStore) -> Platform {
    let share = || Arc::clone(store);
    let (get, scan, write) = (share(), share(), share());
    let (get_object, put_object, list_objects) = (share(), share(), share());
    let (list_instances, register) = (share(), share());
    Platform {
        name: "embedded",
        get: Arc::new(move |key| with_store(&get, |s| Ok(s.get(&key)))),
        scan: Arc::new(move |prefix| with_store(&scan, |s| Ok(s.scan(&prefix)))),
        write: Arc::new(move |writes| with_store(&write, |s| s.write(&writes))),
        get_object: Arc::new(move |name| with_store(&get_object, |s| Ok(s.get_object(&name)))),
        put_object: Arc::new(move |(name, content, condition)| {
            with_store(&put_object, |s| s.put_object(&name, content, &condition))
        }),
        list_objects: Arc::new(move |prefix| with_store(&list_objects, |s| Ok(s.list_objects(&prefix)))),
        list_instances: Arc::new(move |()| with_store(&list_instances, |s| Ok(s.instances()))),
        register: Arc::new(move |instance| {
            with_store(&register, |s| {
                s.register(instance);
                Ok(())
            })
        }),
    }
}

#[linkme::distributed_slice(crate::kernel::registry::PLATFORM_DRIVERS)]
static EMBEDDED: crate::kernel::registry::PlatformDriver = crate::kernel::registry::PlatformDriver {
    name: "embedded",
    open: |_| Ok(driver(&SharedStore::default())),
};
