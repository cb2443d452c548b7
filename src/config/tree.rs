//! TOML files as trees in which every node stores its file and line.
//!
//! Overlays are merged on these trees, before the values are interpreted, so
//! that an error in a merged configuration still names the file and line that
//! the value comes from.

use toml::de::{DeTable, DeValue};

use super::Problem;
use crate::{
    util::{common, upsert},
    wire::SourceFile,
};

common! {
    /// File and line of a value.
    pub struct Place {
        /// Name of the file.
        pub file: String,
        /// Line number, from 1.
        pub line: usize,
    }
}

common! {
    /// A value and the place where it is defined.
    pub struct Node {
        pub value: Value,
        pub place: Place,
    }
}

common! {
    /// The kinds of value that configurations use.
    pub enum Value {
        Text(String),
        /// A whole number.
        Integer(i64),
        /// A floating-point number.
        Float(f64),
        /// A boolean.
        Flag(bool),
        List(Vec<Node>),
        /// Keys with values, sorted by key.
        Table(Vec<(String, Node)>),
    }
}

impl Node {
    /// Parses a file.
    pub fn parse(file: &SourceFile) -> Result<Node, Problem> {
        let table = DeTable::parse(&file.text).map_err(|error| {
            let start = error.span().map_or(0, |span| span.start);
            Problem {
                place: place(file, start),
                key: String::new(),
                text: format!("not valid toml: {}", error.message()),
            }
        })?;
        let start = table.span().start;
        Ok(Node {
            value: read_table(file, table.get_ref()),
            place: place(file, start),
        })
    }

    /// Merges `overlay` into this node: tables merge, other values are
    /// replaced.
    pub fn merge(&mut self, overlay: &Node) {
        let (Value::Table(base_pairs), Value::Table(overlay_pairs)) =
            (&mut self.value, &overlay.value)
        else {
            *self = overlay.clone();
            return;
        };
        for (key, node) in overlay_pairs {
            let found = base_pairs.iter_mut().find(|(known, _)| known == key);
            match found {
                Some((_, known)) => known.merge(node),
                None => {
                    upsert(base_pairs, (key.clone(), node.clone()), |pair| {
                        &pair.0
                    });
                }
            }
        }
    }

    /// Converts the tree to a TOML value without places.
    pub fn to_toml(&self) -> toml::Value {
        match &self.value {
            Value::Text(text) => toml::Value::String(text.clone()),
            Value::Integer(number) => toml::Value::Integer(*number),
            Value::Float(number) => toml::Value::Float(*number),
            Value::Flag(flag) => toml::Value::Boolean(*flag),
            Value::List(items) => {
                toml::Value::Array(items.iter().map(Node::to_toml).collect())
            }
            Value::Table(pairs) => toml::Value::Table(
                pairs
                    .iter()
                    .map(|(key, node)| (key.clone(), node.to_toml()))
                    .collect(),
            ),
        }
    }

    /// Returns the kind of the value, for error messages.
    pub fn kind(&self) -> &'static str {
        match self.value {
            Value::Text(_) => "text",
            Value::Integer(_) => "a whole number",
            Value::Float(_) => "a number",
            Value::Flag(_) => "true or false",
            Value::List(_) => "a list",
            Value::Table(_) => "a table",
        }
    }
}

fn place(file: &SourceFile, offset: usize) -> Place {
    let before = file.text.get(..offset).unwrap_or(&file.text);
    Place { file: file.name.clone(), line: before.matches('\n').count() + 1 }
}

fn read_table(file: &SourceFile, table: &DeTable<'_>) -> Value {
    let mut pairs = Vec::new();
    for (key, value) in table.iter() {
        let node = Node {
            value: read_value(file, value.get_ref()),
            place: place(file, key.span().start),
        };
        upsert(&mut pairs, (key.get_ref().to_string(), node), |pair| &pair.0);
    }
    Value::Table(pairs)
}

fn read_value(file: &SourceFile, value: &DeValue<'_>) -> Value {
    match value {
        DeValue::String(text) => Value::Text(text.to_string()),
        DeValue::Integer(number) => {
            let parsed = i64::from_str_radix(number.as_str(), number.radix());
            // A number that does not fit is kept as text, so that the reader
            // reports it with its place.
            match parsed {
                Ok(number) => Value::Integer(number),
                Err(_) => Value::Text(number.as_str().to_owned()),
            }
        }
        DeValue::Float(number) => match number.as_str().parse() {
            Ok(number) => Value::Float(number),
            Err(_) => Value::Text(number.as_str().to_owned()),
        },
        DeValue::Boolean(flag) => Value::Flag(*flag),
        DeValue::Datetime(time) => Value::Text(time.to_string()),
        DeValue::Array(items) => Value::List(
            items
                .iter()
                .map(|item| Node {
                    value: read_value(file, item.get_ref()),
                    place: place(file, item.span().start),
                })
                .collect(),
        ),
        DeValue::Table(table) => read_table(file, table),
    }
}
