//! Manifests: files that hold services, policies, models, adapters and customers.

use std::collections::BTreeMap;
use std::ops::Range;
use std::path::PathBuf;

use barleyspar_domain::{
    AdapterSpec, CustomerSpec, ModelSpec, ObjectKey, ObjectKind, ObjectSpec, PolicySpec,
    ServiceSpec,
};
use barleyspar_policy::Program;
use serde::Deserialize;
use toml::Spanned;

use crate::{Document, FileError, FileErrors};

/// Length of a SHA-256 digest in hexadecimal.
const SHA256_HEX_LENGTH: usize = 64;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ManifestFile {
    #[serde(default)]
    service: Vec<Spanned<ServiceSpec>>,
    #[serde(default)]
    policy: Vec<Spanned<PolicySpec>>,
    #[serde(default)]
    model: Vec<Spanned<ModelSpec>>,
    #[serde(default)]
    adapter: Vec<Spanned<AdapterSpec>>,
    #[serde(default)]
    customer: Vec<Spanned<CustomerSpec>>,
}

/// An object and where it stands.
#[derive(Debug, Clone)]
pub struct LocatedObject {
    /// The object.
    pub spec: ObjectSpec,
    document: usize,
    span: Range<usize>,
}

/// All objects of a set of files; each name stands once.
#[derive(Debug, Default)]
pub struct ManifestSet {
    documents: Vec<Document>,
    objects: Vec<LocatedObject>,
}

impl ManifestSet {
    /// The objects in the order in which they stand.
    pub fn objects(&self) -> impl Iterator<Item = &LocatedObject> {
        self.objects.iter()
    }

    /// The specifications in the order in which they stand.
    pub fn specs(&self) -> Vec<ObjectSpec> {
        self.objects.iter().map(|o| o.spec.clone()).collect()
    }

    /// An error at `field` of the object `key`.
    pub fn error_at(&self, key: &ObjectKey, field: &str, cause: &str) -> Option<FileError> {
        let object = self.objects.iter().find(|o| &o.spec.key() == key)?;
        Some(self.error(object, field, cause))
    }

    /// Checks that every name an object refers to stands in the set.
    pub fn check_references(&self) -> Result<(), FileErrors> {
        let known: BTreeMap<ObjectKey, ()> =
            self.objects.iter().map(|o| (o.spec.key(), ())).collect();
        let errors: Vec<FileError> = self
            .objects
            .iter()
            .flat_map(|object| {
                object
                    .spec
                    .references()
                    .into_iter()
                    .map(move |(field, key)| (object, field, key))
            })
            .filter(|(_, _, key)| !known.contains_key(key))
            .map(|(object, field, key)| self.error(object, field, &format!("{key} does not exist")))
            .collect();
        finish(errors)
    }

    fn error(&self, object: &LocatedObject, field: &str, cause: &str) -> FileError {
        let document = &self.documents[object.document];
        FileError {
            file: document.file.clone(),
            line: document.line_of_field(&object.span, field),
            field: format!("{}.{field}", object.spec.key()),
            cause: cause.to_owned(),
        }
    }

    fn add<T>(&mut self, items: Vec<Spanned<T>>, wrap: impl Fn(T) -> ObjectSpec) {
        let document = self.documents.len() - 1;
        for item in items {
            let span = item.span();
            self.objects.push(LocatedObject {
                spec: wrap(item.into_inner()),
                document,
                span,
            });
        }
    }

    fn check_each(&self) -> Vec<FileError> {
        let mut seen: BTreeMap<ObjectKey, &LocatedObject> = BTreeMap::new();
        let mut errors = Vec::new();
        for object in &self.objects {
            if let Err((field, cause)) = check_values(&object.spec) {
                errors.push(self.error(object, field, &cause));
            }
            if let Some(first) = seen.insert(object.spec.key(), object) {
                let earlier = self.error(first, "name", "");
                let cause = format!("stands already at {}:{}", earlier.file, earlier.line);
                errors.push(self.error(object, "name", &cause));
            }
        }
        errors.extend(self.check_shared_names());
        errors
    }

    /// Callers name models and adapters alike, so these share one name space.
    fn check_shared_names(&self) -> Vec<FileError> {
        let model = |name: &str| ObjectKey {
            kind: ObjectKind::Model,
            name: name.to_owned(),
        };
        self.objects
            .iter()
            .filter(|o| matches!(o.spec, ObjectSpec::Adapter(_)))
            .filter(|o| {
                let key = model(&o.spec.key().name);
                self.objects.iter().any(|other| other.spec.key() == key)
            })
            .map(|o| self.error(o, "name", "is also the name of a model"))
            .collect()
    }
}

fn check_values(spec: &ObjectSpec) -> Result<(), (&'static str, String)> {
    match spec {
        ObjectSpec::Model(model) => check_weights(&model.version, model.memory_bytes),
        ObjectSpec::Adapter(adapter) => check_weights(&adapter.version, adapter.memory_bytes),
        ObjectSpec::Policy(policy) => Program::compile(&policy.program)
            .and_then(|program| program.dry_run())
            .map_err(|error| {
                let place = match error.line() {
                    0 => String::new(),
                    line => format!("line {line} of the program: "),
                };
                ("program", format!("{place}{error}"))
            }),
        ObjectSpec::Customer(customer) => check_customer(customer),
        ObjectSpec::Service(service) => check_service(service),
    }
}

fn check_weights(version: &str, memory_bytes: u64) -> Result<(), (&'static str, String)> {
    if version.is_empty() {
        return Err(("version", "is empty".to_owned()));
    }
    if memory_bytes == 0 {
        return Err(("memory_bytes", "must be more than 0".to_owned()));
    }
    Ok(())
}

fn check_customer(customer: &CustomerSpec) -> Result<(), (&'static str, String)> {
    let digest = &customer.token_sha256;
    let hexadecimal = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if digest.len() != SHA256_HEX_LENGTH || !digest.chars().all(hexadecimal) {
        let cause = format!("must be {SHA256_HEX_LENGTH} lower-case hexadecimal digits");
        return Err(("token_sha256", cause));
    }
    if customer.maximum_waiting == 0 {
        return Err(("maximum_waiting", "must be more than 0".to_owned()));
    }
    Ok(())
}

fn check_service(service: &ServiceSpec) -> Result<(), (&'static str, String)> {
    let relative = service
        .repeatable_paths
        .iter()
        .find(|path| !path.starts_with('/'));
    match relative {
        Some(path) => Err(("repeatable_paths", format!("{path:?} must begin with '/'"))),
        None => Ok(()),
    }
}

/// Reads and checks the manifests at `paths`. Names that objects refer to may
/// stand elsewhere; see [`ManifestSet::check_references`].
pub fn read_manifests(paths: &[PathBuf]) -> Result<ManifestSet, FileErrors> {
    let mut set = ManifestSet::default();
    let mut errors = Vec::new();
    for path in paths {
        let parsed = Document::read(path).and_then(|document| {
            let file = document.parse::<ManifestFile>()?;
            Ok((document, file))
        });
        match parsed {
            Ok((document, file)) => {
                set.documents.push(document);
                set.add(file.service, ObjectSpec::Service);
                set.add(file.policy, ObjectSpec::Policy);
                set.add(file.model, ObjectSpec::Model);
                set.add(file.adapter, ObjectSpec::Adapter);
                set.add(file.customer, ObjectSpec::Customer);
            }
            Err(error) => errors.push(error),
        }
    }
    errors.extend(set.check_each());
    finish(errors).map(|()| set)
}

fn finish(errors: Vec<FileError>) -> Result<(), FileErrors> {
    if errors.is_empty() {
        return Ok(());
    }
    Err(FileErrors(errors))
}
