//! The difference between two configurations, by entity.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{document::Configuration, error::Error};

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

/// Applies edits. Entities keep their order; new ones go to the end.
pub fn apply(old: &Configuration, edits: &[Edit]) -> Result<Configuration, Error> {
    let mut value = serde_json::to_value(old).expect("a configuration is JSON");
    for edit in edits {
        apply_one(&mut value, edit)?;
    }
    Configuration::parse(&value.to_string())
}

fn apply_one(value: &mut Value, edit: &Edit) -> Result<(), Error> {
    let syntax = |reason: &str| Error::Syntax { path: edit.table.clone(), reason: reason.into() };
    let table = value.get_mut(&edit.table).and_then(Value::as_array_mut);
    let table = table.ok_or_else(|| syntax("no such table"))?;
    let at = table.iter().position(|entity| key_of(entity) == edit.key);
    match (at, &edit.new) {
        (Some(at), Some(new)) => table[at] = new.clone(),
        (Some(at), None) => drop(table.remove(at)),
        (None, Some(new)) => table.push(new.clone()),
        (None, None) => return Err(syntax("the entity to remove does not exist")),
    }
    Ok(())
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
