//! TOML files as trees whose every node knows where it was written.
//!
//! Overlays are merged on these trees, before any meaning is given to them,
//! so that an error in a merged configuration still names the file and line
//! that brought the value in.

use toml::de::{DeTable, DeValue};

use super::Problem;
use crate::{
    util::{common, upsert},
    wire::SourceFile,
};

common! {
    /// Where a value was written.
    pub struct Place {
        /// The file's name.
        pub file: String,
        /// Counted from 1.
        pub line: usize,
    }
}

common! {
    /// A value with its place.
    pub struct Node {
        /// The value.
        pub value: Value,
        /// Where it stands.
        pub place: Place,
    }
}

common! {
    /// The kinds of value that configurations use.
    pub enum Value {
        /// Text.
        Text(String),
        /// A whole number.
        Integer(i64),
        /// A number with a point.
        Float(f64),
        /// True or false.
        Flag(bool),
        /// A list.
        List(Vec<Node>),
        /// Keys with values, sorted by key.
        Table(Vec<(String, Node)>),
    }
}

impl Node {
    /// Reads a file into a tree.
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

    /// Lays `over` on top: tables merge, anything else is replaced.
    pub fn merge(&mut self, over: &Node) {
        let (Value::Table(under), Value::Table(upper)) =
            (&mut self.value, &over.value)
        else {
            *self = over.clone();
            return;
        };
        for (key, node) in upper {
            let found = under.iter_mut().find(|(known, _)| known == key);
            match found {
                Some((_, known)) => known.merge(node),
                None => {
                    upsert(under, (key.clone(), node.clone()), |pair| &pair.0);
                }
            }
        }
    }

    /// The tree without its places.
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

    /// What kind of value it is, for messages.
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
            // What does not fit is kept as text; the schema then refuses it
            // with its place.
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
