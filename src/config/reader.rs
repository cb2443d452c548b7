//! Strict reading of a configuration tree: unknown keys are errors.
//!
//! A [`Reader`] reads one table. Its getters record the keys that they read,
//! and [`Reader::finish`] reports every other key as unknown. Errors are
//! collected rather than returned, so that one run of `check` shows all of
//! them.

use std::ops::RangeInclusive;

use super::{
    Problem,
    tree::{Node, Place, Value},
};

/// Reads one table and records the keys that were requested.
pub struct Reader<'a> {
    path: String,
    place: &'a Place,
    pairs: &'a [(String, Node)],
    requested: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    /// Opens a table; reports a problem if the node is not a table.
    pub fn open(
        path: String,
        node: &'a Node,
        problems: &mut Vec<Problem>,
    ) -> Option<Reader<'a>> {
        let Value::Table(pairs) = &node.value else {
            problems.push(mismatch(&path, node, "a table"));
            return None;
        };
        Some(Reader { path, place: &node.place, pairs, requested: Vec::new() })
    }

    /// Returns the place where the table starts.
    pub fn place(&self) -> &Place {
        self.place
    }

    /// Returns the dotted path of a key in this table.
    pub fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Returns the node of a key, if the key is present.
    pub fn node(&mut self, key: &'static str) -> Option<&'a Node> {
        self.requested.push(key);
        let found = self.pairs.iter().find(|(known, _)| known == key);
        found.map(|(_, node)| node)
    }

    /// Returns the named tables below a key, such as `teams.*`.
    pub fn tables(
        &mut self,
        key: &'static str,
        problems: &mut Vec<Problem>,
    ) -> Vec<(&'a str, Reader<'a>)> {
        let path = self.path_of(key);
        let Some(node) = self.node(key) else { return Vec::new() };
        let Value::Table(pairs) = &node.value else {
            problems.push(mismatch(&path, node, "a table"));
            return Vec::new();
        };
        pairs
            .iter()
            .filter_map(|(name, node)| {
                let path = format!("{path}.{name}");
                let reader = Reader::open(path, node, problems)?;
                Some((name.as_str(), reader))
            })
            .collect()
    }

    /// Returns a text, or `default`. Without a default the key is required.
    pub fn text(
        &mut self,
        key: &'static str,
        default: Option<&str>,
        problems: &mut Vec<Problem>,
    ) -> String {
        match self.node(key) {
            Some(Node { value: Value::Text(text), .. }) => text.clone(),
            Some(node) => {
                problems.push(mismatch(&self.path_of(key), node, "text"));
                String::new()
            }
            None => {
                if default.is_none() {
                    self.missing(key, problems);
                }
                default.unwrap_or_default().to_owned()
            }
        }
    }

    /// Returns a whole number within bounds, or `default`. Without a default
    /// the key is required.
    pub fn integer(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<u64>,
        default: Option<u64>,
        problems: &mut Vec<Problem>,
    ) -> u64 {
        let low = *bounds.start();
        match self.node(key) {
            Some(Node { value: Value::Integer(number), place }) => {
                match u64::try_from(*number) {
                    Ok(number) if bounds.contains(&number) => number,
                    _ => {
                        problems.push(Problem {
                            place: place.clone(),
                            key: self.path_of(key),
                            text: format!(
                                "{number} is not within {low} to {}",
                                bounds.end()
                            ),
                        });
                        low
                    }
                }
            }
            Some(node) => {
                let path = self.path_of(key);
                problems.push(mismatch(&path, node, "a whole number"));
                low
            }
            None => {
                if default.is_none() {
                    self.missing(key, problems);
                }
                default.unwrap_or(low)
            }
        }
    }

    /// Returns a boolean, or `default`.
    pub fn flag(
        &mut self,
        key: &'static str,
        default: bool,
        problems: &mut Vec<Problem>,
    ) -> bool {
        match self.node(key) {
            Some(Node { value: Value::Flag(flag), .. }) => *flag,
            Some(node) => {
                let path = self.path_of(key);
                problems.push(mismatch(&path, node, "true or false"));
                default
            }
            None => default,
        }
    }

    /// Returns a list of texts; empty if the key is absent.
    pub fn texts(
        &mut self,
        key: &'static str,
        problems: &mut Vec<Problem>,
    ) -> Vec<String> {
        let path = self.path_of(key);
        let Some(node) = self.node(key) else { return Vec::new() };
        let Value::List(items) = &node.value else {
            problems.push(mismatch(&path, node, "a list of text"));
            return Vec::new();
        };
        let mut texts = Vec::new();
        for item in items {
            match &item.value {
                Value::Text(text) => texts.push(text.clone()),
                _ => problems.push(mismatch(&path, item, "text")),
            }
        }
        texts
    }

    /// Reports the keys that no getter requested.
    pub fn finish(self, problems: &mut Vec<Problem>) {
        for (key, node) in self.pairs {
            if self.requested.iter().any(|requested| requested == key) {
                continue;
            }
            let known: Vec<&str> = self.requested.clone();
            problems.push(Problem {
                place: node.place.clone(),
                key: self.path_of(key),
                text: format!("unknown key; known are {}", known.join(", ")),
            });
        }
    }

    fn missing(&self, key: &str, problems: &mut Vec<Problem>) {
        problems.push(Problem {
            place: self.place.clone(),
            key: self.path_of(key),
            text: "is missing".to_owned(),
        });
    }
}

fn mismatch(path: &str, node: &Node, wanted: &str) -> Problem {
    Problem {
        place: node.place.clone(),
        key: path.to_owned(),
        text: format!("must be {wanted}, not {}", node.kind()),
    }
}
