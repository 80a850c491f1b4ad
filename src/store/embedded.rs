//! Platform in memory, for one instance and for tests; forgets everything when dropped.

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

/// Content of the platform's service, changed by plain method calls.
#[derive(Debug, Default)]
pub struct Store {
    rows: BTreeMap<RowKey, Row>,
    objects: BTreeMap<String, Object>,
    instances: Vec<ListedInstance>,
    /// Last version given to a row or object; rises by one with each.
    last_version: u64,
}

impl Store {
    /// Reads a row.
    pub fn get(&self, key: &RowKey) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    /// Reads all rows whose keys start with `prefix`, sorted by key.
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let from = RowKey(prefix.to_owned());
        self.rows
            .range(from..)
            .map(|(_, row)| row)
            .take_while(|r| r.key.0.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Writes all rows, or none when a condition does not hold.
    pub fn write(&mut self, writes: &[RowWrite]) -> WriteResult {
        let failed = writes.iter().filter(|w| !self.holds(w)).map(|w| w.key.clone()).collect::<Vec<_>>();
        if !failed.is_empty() {
            return WriteResult::Conflict(failed);
        }
        WriteResult::TookEffect(writes.iter().map(|w| self.apply(w)).collect())
    }

    fn holds(&self, write: &RowWrite) -> bool {
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

    /// Reads an object.
    pub fn get_object(&self, name: &str) -> Option<Object> {
        self.objects.get(name).cloned()
    }

    /// Writes an object under a condition; a conflict names no rows.
    pub fn put_object(&mut self, name: &str, content: Bytes, condition: &ObjectCondition) -> WriteResult {
        let current = self.objects.get(name).map(|o| o.etag.as_str());
        let holds = match condition {
            ObjectCondition::Absent => current.is_none(),
            ObjectCondition::Match(etag) => current == Some(etag),
            ObjectCondition::Any => true,
        };
        if !holds {
            return WriteResult::Conflict(Vec::new());
        }
        self.last_version += 1;
        let etag = format!("\"{}\"", self.last_version);
        self.objects.insert(name.to_owned(), Object { content, etag });
        WriteResult::TookEffect(Vec::new())
    }

    /// Lists the names of objects that start with `prefix`.
    pub fn list_objects(&self, prefix: &str) -> Vec<String> {
        self.objects.keys().filter(|name| name.starts_with(prefix)).cloned().collect()
    }

    /// Reads the instance list.
    pub fn instances(&self) -> Vec<ListedInstance> {
        self.instances.clone()
    }

    /// Registers an instance; a line of the same name is replaced.
    pub fn register(&mut self, instance: ListedInstance) {
        self.instances.retain(|i| i.id != instance.id);
        self.instances.push(instance);
    }

    /// Removes an instance from the list.
    pub fn deregister(&mut self, id: &crate::units::InstanceId) {
        self.instances.retain(|i| i.id != *id);
    }
}

/// Store shared by the functions of a driver.
pub type SharedStore = Arc<Mutex<Store>>;

fn locked<T: Send + 'static>(
    store: &SharedStore,
    work: impl FnOnce(&mut Store) -> T,
) -> BoxFuture<'static, T> {
    let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
    ready(work(&mut store)).boxed()
}

/// Creates a driver over a shared store that never fails.
pub fn driver(store: &SharedStore) -> Platform {
    let share = || Arc::clone(store);
    let (get, scan, write) = (share(), share(), share());
    let (get_object, put_object, list_objects) = (share(), share(), share());
    let (list_instances, register) = (share(), share());
    Platform {
        name: "embedded",
        get: Arc::new(move |key| locked(&get, |s| Ok(s.get(&key)))),
        scan: Arc::new(move |prefix| locked(&scan, |s| Ok(s.scan(&prefix)))),
        write: Arc::new(move |writes| locked(&write, |s| s.write(&writes))),
        get_object: Arc::new(move |name| locked(&get_object, |s| Ok(s.get_object(&name)))),
        put_object: Arc::new(move |(name, content, on)| {
            locked(&put_object, |s| s.put_object(&name, content, &on))
        }),
        list_objects: Arc::new(move |prefix| locked(&list_objects, |s| Ok(s.list_objects(&prefix)))),
        list_instances: Arc::new(move |()| locked(&list_instances, |s| Ok(s.instances()))),
        register: Arc::new(move |line| {
            locked(&register, |s| {
                s.register(line);
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
