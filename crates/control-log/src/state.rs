//! The state that the log's entries build up. Pure and deterministic: the same
//! entries give the same state on every node.

use std::sync::Arc;

use barleyspar_domain::{
    AdapterName, AdapterSpec, CustomerSpec, Grant, ModelName, ModelSpec, ObjectKey, ObjectKind,
    ObjectSpec, PolicyName, PolicySpec, RunnerName, RunnerRecord, ServiceName, ServiceSpec,
};
use imbl::OrdMap;
use serde::{Deserialize, Serialize};

use crate::{Change, Conflict, Entry};

/// An object with its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The object.
    pub spec: ObjectSpec,
    /// Position of the entry that changed it last.
    pub changed_at: u64,
    /// Who changed it last.
    pub author: String,
}

/// State after all entries up to `position`. The maps are persistent: a clone
/// shares everything with its origin, and a change copies a few tree nodes. A
/// node clones its state for every entry, so that readers keep a consistent one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    position: u64,
    directory_changed_at: u64,
    objects: OrdMap<ObjectKey, Arc<StoredObject>>,
    runners: OrdMap<RunnerName, Arc<RunnerRecord>>,
    grants: OrdMap<ModelName, Arc<Grant>>,
}

fn key(kind: ObjectKind, name: &str) -> ObjectKey {
    ObjectKey {
        kind,
        name: name.to_owned(),
    }
}

macro_rules! typed_lookup {
    ($($(#[$doc:meta])* $function:ident($name:ty) -> $kind:ident($spec:ty);)*) => {$(
        $(#[$doc])*
        pub fn $function(&self, name: &$name) -> Option<&$spec> {
            let stored = self.objects.get(&key(ObjectKind::$kind, name.as_str()))?;
            match &stored.spec {
                ObjectSpec::$kind(spec) => Some(spec),
                _ => None,
            }
        }
    )*};
}

impl ControlState {
    /// Position of the last entry.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Position of the last change of the runner directory.
    pub fn directory_changed_at(&self) -> u64 {
        self.directory_changed_at
    }

    /// All objects.
    pub fn objects(&self) -> &OrdMap<ObjectKey, Arc<StoredObject>> {
        &self.objects
    }

    /// All runners.
    pub fn runners(&self) -> &OrdMap<RunnerName, Arc<RunnerRecord>> {
        &self.runners
    }

    /// All grants.
    pub fn grants(&self) -> &OrdMap<ModelName, Arc<Grant>> {
        &self.grants
    }

    /// The runners of `service`.
    pub fn runners_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Arc<RunnerRecord>> {
        let runners = self.runners.values();
        runners.filter(move |runner| &runner.service == service)
    }

    /// All models.
    pub fn models(&self) -> impl Iterator<Item = &ModelSpec> {
        self.objects
            .values()
            .filter_map(|stored| match &stored.spec {
                ObjectSpec::Model(model) => Some(model),
                _ => None,
            })
    }

    /// All customers.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerSpec> {
        self.objects
            .values()
            .filter_map(|stored| match &stored.spec {
                ObjectSpec::Customer(customer) => Some(customer),
                _ => None,
            })
    }

    /// Position of the last change of the object named `key`; 0 if there is none.
    pub fn changed_at(&self, key: &ObjectKey) -> u64 {
        self.objects.get(key).map_or(0, |stored| stored.changed_at)
    }

    typed_lookup! {
        /// The service named `name`.
        service(ServiceName) -> Service(ServiceSpec);
        /// The policy named `name`.
        policy(PolicyName) -> Policy(PolicySpec);
        /// The model named `name`.
        model(ModelName) -> Model(ModelSpec);
        /// The adapter named `name`.
        adapter(AdapterName) -> Adapter(AdapterSpec);
    }

    /// Applies the entry that follows.
    ///
    /// # Panics
    /// If `entry` is not the next one: applying out of order would let nodes
    /// at the same position disagree.
    pub fn apply(&mut self, entry: &Entry) {
        assert_eq!(entry.position, self.position + 1, "entries apply in order");
        self.position = entry.position;
        for change in &entry.changes {
            self.apply_change(change, &entry.author);
        }
    }

    fn apply_change(&mut self, change: &Change, author: &str) {
        match change {
            Change::PutObject(spec) => {
                let stored = StoredObject {
                    spec: spec.clone(),
                    changed_at: self.position,
                    author: author.to_owned(),
                };
                self.objects.insert(spec.key(), Arc::new(stored));
            }
            Change::DeleteObject(key) => {
                self.objects.remove(key);
            }
            Change::PutRunner(runner) => {
                self.directory_changed_at = self.position;
                self.runners
                    .insert(runner.name.clone(), Arc::new(runner.clone()));
            }
            Change::RemoveRunner(name) => {
                self.directory_changed_at = self.position;
                self.runners.remove(name);
            }
            Change::SetGrant(model, grant) => {
                self.grants.insert(model.clone(), Arc::new(grant.clone()));
            }
            Change::DropGrant(model) => {
                self.grants.remove(model);
            }
        }
    }

    /// Whether an operator's `changes`, made by somebody who read at `read_at`,
    /// fit this state.
    pub fn check(&self, changes: &[Change], read_at: Option<u64>) -> Result<(), Conflict> {
        let mut after = self.clone();
        after.position += 1;
        for change in changes {
            self.check_unchanged(change, read_at)?;
            if let Change::DeleteObject(object) = change
                && !self.objects.contains_key(object)
            {
                return Err(Conflict::Absent {
                    object: object.clone(),
                });
            }
            after.apply_change(change, "");
        }
        for change in changes {
            match change {
                Change::PutObject(spec) => after.check_references(spec)?,
                Change::DeleteObject(key) => after.check_not_referred(key)?,
                _ => {}
            }
        }
        Ok(())
    }

    fn check_unchanged(&self, change: &Change, read_at: Option<u64>) -> Result<(), Conflict> {
        let object = match change {
            Change::PutObject(spec) => spec.key(),
            Change::DeleteObject(object) => object.clone(),
            _ => return Ok(()),
        };
        let (Some(read_at), Some(stored)) = (read_at, self.objects.get(&object)) else {
            return Ok(());
        };
        if stored.changed_at <= read_at {
            return Ok(());
        }
        Err(Conflict::Changed {
            object,
            author: stored.author.clone(),
            changed_at: stored.changed_at,
            read_at,
        })
    }

    fn check_references(&self, spec: &ObjectSpec) -> Result<(), Conflict> {
        for (field, missing) in spec.references() {
            if !self.objects.contains_key(&missing) {
                return Err(Conflict::MissingReference {
                    object: spec.key(),
                    field: field.to_owned(),
                    missing,
                });
            }
        }
        let object = spec.key();
        let other_kind = match object.kind {
            ObjectKind::Model => ObjectKind::Adapter,
            ObjectKind::Adapter => ObjectKind::Model,
            _ => return Ok(()),
        };
        let other = key(other_kind, &object.name);
        match self.objects.contains_key(&other) {
            true => Err(Conflict::NameTaken { object, other }),
            false => Ok(()),
        }
    }

    fn check_not_referred(&self, object: &ObjectKey) -> Result<(), Conflict> {
        let refers = |spec: &ObjectSpec| spec.references().iter().any(|(_, key)| key == object);
        let referrer = self.objects.values().find(|stored| refers(&stored.spec));
        match referrer {
            Some(stored) => Err(Conflict::StillReferred {
                object: object.clone(),
                referrer: stored.spec.key(),
            }),
            None => Ok(()),
        }
    }
}
