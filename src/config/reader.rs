//! Strict reading of a tree: every key must be asked for, every error counts.
//!
//! A [`Reader`] stands for one table. Getters note what they read; dropping
//! out through [`Reader::finish`] reports every key that nothing asked for.
//! Errors are gathered rather than returned, so that one run of `check` shows
//! all of them.

use std::ops::RangeInclusive;

use super::{
    Problem,
    tree::{Node, Place, Value},
};

/// One table being read.
pub struct Reader<'a> {
    path: String,
    place: &'a Place,
    pairs: &'a [(String, Node)],
    seen: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    /// Starts on a table; an error if the node is none.
    pub fn open(
        path: String,
        node: &'a Node,
        problems: &mut Vec<Problem>,
    ) -> Option<Reader<'a>> {
        let Value::Table(pairs) = &node.value else {
            problems.push(mismatch(&path, node, "a table"));
            return None;
        };
        Some(Reader { path, place: &node.place, pairs, seen: Vec::new() })
    }

    /// Where the table starts.
    pub fn place(&self) -> &Place {
        self.place
    }

    /// The dotted path of a key in this table.
    pub fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// The node behind a key, if it is there.
    pub fn node(&mut self, key: &'static str) -> Option<&'a Node> {
        self.seen.push(key);
        let found = self.pairs.iter().find(|(known, _)| known == key);
        found.map(|(_, node)| node)
    }

    /// The named tables below a key, such as `teams.*`.
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

    /// A text, or `default`; without a default the key must be there.
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

    /// A whole number within bounds, or `default`.
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

    /// True or false, or `default`.
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

    /// A list of texts; empty when the key is not there.
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

    /// Reports the keys that nothing asked for.
    pub fn finish(self, problems: &mut Vec<Problem>) {
        for (key, node) in self.pairs {
            if self.seen.iter().any(|seen| seen == key) {
                continue;
            }
            let known: Vec<&str> = self.seen.clone();
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
