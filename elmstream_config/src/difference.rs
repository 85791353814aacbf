//! The difference between two configurations, by entity.

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

/// An entity that was added, changed or removed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Edit {
    /// The table, as in the configuration.
    pub table: String,
    /// The entity's name, or its key where it has none.
    pub key: String,
    /// The entity before.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub old: Option<Value>,
    /// The entity after.
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

/// The edits that lead from `old` to `new`.
pub fn difference(old: &Configuration, new: &Configuration) -> Vec<Edit> {
    let (old, new) = (entities(old), entities(new));
    let mut edits = Vec::new();
    for (key, before) in &old {
        let after = new.get(key);
        if after != Some(before) {
            edits.push(edit(key, Some(before), after));
        }
    }
    let added = new.iter().filter(|(key, _)| !old.contains_key(*key));
    edits.extend(added.map(|(key, after)| edit(key, None, Some(after))));
    edits
}

/// Applies edits to a configuration that has passed its checks. Entities keep
/// their order; new ones go to the end.
pub fn apply(old: &Configuration, edits: &[Edit]) -> Result<Configuration, Error> {
    let mut next = old.clone();
    for edit in edits {
        apply_one(&mut next, edit)?;
    }
    let sites = edits.iter().filter(|edit| edit.table == "sites");
    check_edited(&next, &sites.map(|edit| edit.key.as_str()).collect())?;
    Ok(next)
}

fn apply_one(c: &mut Configuration, edit: &Edit) -> Result<(), Error> {
    match edit.table.as_str() {
        "regions" => apply_to(&mut c.regions, edit),
        "failure_domains" => apply_to(&mut c.failure_domains, edit),
        "sites" => apply_to(&mut c.sites, edit),
        "services" => apply_to(&mut c.services, edit),
        "backend_servers" => apply_to(&mut c.backend_servers, edit),
        "shift_caps" => apply_to(&mut c.shift_caps, edit),
        "links" => apply_to(&mut c.links, edit),
        "drains" => apply_to(&mut c.drains, edit),
        _ => Err(syntax(edit, "there is no such table".into())),
    }
}

fn apply_to<T: Entity>(table: &mut Vec<T>, edit: &Edit) -> Result<(), Error> {
    let at = table.iter().position(|entity| entity.is(&edit.key));
    let parse = |new: &Value| T::deserialize(new).map_err(|e| syntax(edit, e.to_string()));
    match (at, &edit.new) {
        (Some(at), Some(new)) => table[at] = parse(new)?,
        (Some(at), None) => drop(table.remove(at)),
        (None, Some(new)) => table.push(parse(new)?),
        (None, None) => return Err(syntax(edit, "the entity to remove does not exist".into())),
    }
    Ok(())
}

fn syntax(edit: &Edit, reason: String) -> Error {
    Error::Syntax { path: format!("{}/{}", edit.table, edit.key), reason }
}

/// An entity of one of the tables, found by its key.
trait Entity: DeserializeOwned {
    /// Whether this is its key, as [`key_of`] makes it.
    fn is(&self, key: &str) -> bool;
}

/// Implements [`Entity`] for types whose key is their name.
macro_rules! named {
    ($($entity:ty),*) => {
        $(impl Entity for $entity {
            fn is(&self, key: &str) -> bool {
                self.name == key
            }
        })*
    };
}

named!(Region, FailureDomain, Site, Service, BackendServer);

impl Entity for ShiftCap {
    fn is(&self, key: &str) -> bool {
        key == [&*self.service, &*self.from, &*self.to].join("/")
    }
}

impl Entity for Link {
    fn is(&self, key: &str) -> bool {
        key == [&*self.from, &*self.to].join("/")
    }
}

impl Entity for Drain {
    fn is(&self, key: &str) -> bool {
        let kind = serde_json::to_value(self.kind).ok();
        let kind = kind.as_ref().and_then(Value::as_str).unwrap_or_default();
        key == [kind, &*self.name].join("/")
    }
}

type Entities = BTreeMap<(String, String), Value>;

fn edit(key: &(String, String), old: Option<&Value>, new: Option<&Value>) -> Edit {
    let (table, key) = key.clone();
    Edit { table, key, old: old.cloned(), new: new.cloned() }
}

/// All entities by table and key.
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

/// The key of an entity: kind, name, service, from and to, where it has them.
fn key_of(entity: &Value) -> String {
    let parts = ["kind", "name", "service", "from", "to"];
    let has_name = entity.get("name").is_some();
    let named = |part: &&'static str| !has_name || matches!(*part, "kind" | "name");
    let present = parts.into_iter().filter(named).filter_map(|part| entity.get(part)?.as_str());
    present.collect::<Vec<_>>().join("/")
}
