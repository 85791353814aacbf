//! Computes and applies edits between two configurations, entity by entity.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{
    check::check_edited,
    document::{
        BackendServer, Configuration, Drain, FailureDomain, Link, Region, Service, ShiftCap, Site,
    },
    error::Error,
};

/// The addition, change or removal of one entity.
///
/// Serialized as JSON. Displayed as a `+`, `~` or `-` line followed by the old
/// and new values.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Edit {
    /// Field of [`Configuration`] that holds the entity, such as `sites`.
    pub table: String,
    /// The entity's name. Shift caps, links and drains have a compound key, joined
    /// by `/`.
    pub key: String,
    /// The previous entity; `None` if it is added.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub old: Option<Value>,
    /// The next entity; `None` if it is removed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub new: Option<Value>,
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match (&self.old, &self.new) {
            (None, _) => '+',
            (_, None) => '-',
            _ => '~',
        };
        write!(f, "{sign} {} {}", self.table, self.key)?;
        for value in [&self.old, &self.new].into_iter().flatten() {
            write!(f, "\n    {value}")?;
        }
        Ok(())
    }
}

/// Returns the edits that turn `old` into `new`.
///
/// Removed and changed entities come first, by table and key, then added ones.
pub fn difference(old: &Configuration, new: &Configuration) -> Vec<Edit> {
    let (old, new) = (entities(old), entities(new));
    let mut edits = Vec::new();
    for (key, old_value) in &old {
        let new_value = new.get(key);
        if new_value != Some(old_value) {
            edits.push(new_edit(key, Some(old_value), new_value));
        }
    }
    let added = new.iter().filter(|(key, _)| !old.contains_key(*key));
    edits.extend(added.map(|(key, new_value)| new_edit(key, None, Some(new_value))));
    edits
}

/// Applies edits to a valid configuration and checks the result.
///
/// Entities keep their order; added ones are appended. Returns an error if an
/// edit is malformed, removes an entity that does not exist, or leads to an
/// invalid configuration.
pub fn apply(old: &Configuration, edits: &[Edit]) -> Result<Configuration, Error> {
    let mut next = old.clone();
    for edit in edits {
        apply_edit(&mut next, edit)?;
    }
    let sites = edits.iter().filter(|edit| edit.table == "sites");
    check_edited(&next, &sites.map(|edit| edit.key.as_str()).collect())?;
    Ok(next)
}

fn apply_edit(c: &mut Configuration, edit: &Edit) -> Result<(), Error> {
    match edit.table.as_str() {
        "regions" => apply_to(&mut c.regions, edit),
        "failure_domains" => apply_to(&mut c.failure_domains, edit),
        "sites" => apply_to(&mut c.sites, edit),
        "services" => apply_to(&mut c.services, edit),
        "backend_servers" => apply_to(&mut c.backend_servers, edit),
        "shift_caps" => apply_to(&mut c.shift_caps, edit),
        "links" => apply_to(&mut c.links, edit),
        "drains" => apply_to(&mut c.drains, edit),
        _ => Err(malformed(edit, "the table does not exist".into())),
    }
}

fn apply_to<T: Entity>(table: &mut Vec<T>, edit: &Edit) -> Result<(), Error> {
    let at = table.iter().position(|entity| entity.has_key(&edit.key));
    let parse = |new: &Value| T::deserialize(new).map_err(|e| malformed(edit, e.to_string()));
    match (at, &edit.new) {
        (Some(at), Some(new)) => table[at] = parse(new)?,
        (Some(at), None) => drop(table.remove(at)),
        (None, Some(new)) => table.push(parse(new)?),
        (None, None) => return Err(malformed(edit, "the entity to remove does not exist".into())),
    }
    Ok(())
}

fn malformed(edit: &Edit, reason: String) -> Error {
    Error::Syntax { path: format!("{}/{}", edit.table, edit.key), reason }
}

/// An entity of a table, identified by a key.
trait Entity: DeserializeOwned {
    /// Whether `key` identifies this entity, in the form that [`key_of`] returns.
    fn has_key(&self, key: &str) -> bool;
}

/// Implements [`Entity`] for types that are identified by their name.
macro_rules! impl_named_entity {
    ($($entity:ty),*) => {
        $(impl Entity for $entity {
            fn has_key(&self, key: &str) -> bool {
                self.name == key
            }
        })*
    };
}

impl_named_entity!(Region, FailureDomain, Site, Service, BackendServer);

impl Entity for ShiftCap {
    fn has_key(&self, key: &str) -> bool {
        key == [&*self.service, &*self.from, &*self.to].join("/")
    }
}

impl Entity for Link {
    fn has_key(&self, key: &str) -> bool {
        key == [&*self.from, &*self.to].join("/")
    }
}

impl Entity for Drain {
    fn has_key(&self, key: &str) -> bool {
        let kind = serde_json::to_value(self.kind).ok();
        let kind = kind.as_ref().and_then(Value::as_str).unwrap_or_default();
        key == [kind, &*self.name].join("/")
    }
}

type Entities = BTreeMap<(String, String), Value>;

fn new_edit(key: &(String, String), old: Option<&Value>, new: Option<&Value>) -> Edit {
    let (table, key) = key.clone();
    Edit { table, key, old: old.cloned(), new: new.cloned() }
}

/// Returns all entities as JSON, by table and key.
fn entities(c: &Configuration) -> Entities {
    let value = serde_json::to_value(c).expect("a configuration is JSON");
    let mut entities = Entities::new();
    let Value::Object(tables) = value else { return entities };
    for (table, rows) in tables {
        let Value::Array(rows) = rows else { continue };
        entities.extend(rows.into_iter().map(|row| ((table.clone(), key_of(&row)), row)));
    }
    entities
}

/// Returns the key of an entity: its `kind` and `name`, or its `service`, `from`
/// and `to` if it has no name. Fields that it lacks are left out.
fn key_of(entity: &Value) -> String {
    let parts = ["kind", "name", "service", "from", "to"];
    let has_name = entity.get("name").is_some();
    let is_key_part = |part: &&'static str| !has_name || matches!(*part, "kind" | "name");
    let present =
        parts.into_iter().filter(is_key_part).filter_map(|part| entity.get(part)?.as_str());
    present.collect::<Vec<_>>().join("/")
}
