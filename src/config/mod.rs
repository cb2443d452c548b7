//! What operators write: one base file, and one overlay for each site.
//!
//! The base describes services, teams, data centres and classes of VM. An
//! overlay belongs to one data centre and states only what differs there:
//!
//! ```toml
//! site = "barasat"
//!
//! [services.sathi-7b]
//! slots = 4
//! ```
//!
//! Tables merge, anything else is replaced. The merged tree is then read
//! strictly: unknown keys, wrong types, numbers out of bounds and names that
//! refer to nothing are errors, each with file, line and key. A configuration
//! is [checked](check) for all its sites at once, and one bad overlay refuses
//! the whole: it is in force everywhere or nowhere.
//!
//! # Pitfalls
//!
//! An overlay can't remove what the base has; it can only replace values. And
//! every data centre needs an overlay, be it one line long: a forgotten site
//! would otherwise run on the base alone without anybody having decided so.

mod reader;
mod tree;

use std::fmt;

pub use self::tree::Place;
use self::{reader::Reader, tree::Node};
use crate::{
    decide::route::Policy,
    util::{common, position},
    wire::SourceFile,
};

common! {
    /// One error in a configuration.
    pub struct Problem {
        /// Which file and line.
        pub place: Place,
        /// The dotted key; empty for the file as a whole.
        pub key: String,
        /// What is wrong, with the value and its bounds.
        pub text: String,
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Place { file, line } = &self.place;
        if self.key.is_empty() {
            return write!(out, "{file}:{line}: {}", self.text);
        }
        write!(out, "{file}:{line}: {}: {}", self.key, self.text)
    }
}

common! {
    /// The configuration of one site, checked.
    pub struct Config {
        /// The data centre it was rendered for.
        pub site: String,
        /// What the whole system shares.
        pub system: System,
        /// Sorted by name.
        pub data_centres: Vec<DataCentre>,
        /// Sorted by name.
        pub teams: Vec<Team>,
        /// Sorted by name.
        pub services: Vec<Service>,
        /// Sorted by name.
        pub classes: Vec<Class>,
    }
}

common! {
    /// Settings without a table of their own.
    pub struct System {
        /// Who runs it.
        pub name: String,
        /// How long a caller keeps the list of entries, in ms.
        pub keep_entries_ms: u64,
        /// For a request that names no deadline, in ms.
        pub deadline_ms: u64,
        /// How long a stopping entry lets requests finish, in ms.
        pub drain_ms: u64,
        /// Retries and hedges, in percent of recent successes.
        pub retry_percent: u64,
    }
}

common! {
    /// A data centre; its overlay has the same name.
    pub struct DataCentre {
        /// Its name.
        pub name: String,
        /// The region it lies in.
        pub region: String,
    }
}

common! {
    /// Those who send requests, and what they are owed.
    pub struct Team {
        /// Its name, as callers send it.
        pub name: String,
        /// Its share against the other teams'.
        pub weight: u64,
        /// Target for the first token at p95, in ms.
        pub first_token_ms: u64,
        /// Target between two tokens at p95, in ms.
        pub between_tokens_ms: u64,
    }
}

common! {
    copy
    /// What kind of service an endpoint offers.
    pub enum Kind {
        /// A language model that streams tokens.
        Model,
        /// HTTP calls that are passed through.
        Plain,
    }
}

common! {
    /// Something that endpoints offer and callers ask for.
    pub struct Service {
        /// Its name, as callers send it.
        pub name: String,
        /// Model or plain.
        pub kind: Kind,
        /// Whether a call may be repeated, unless its path says otherwise.
        pub repeatable: bool,
        /// Paths whose calls may be repeated all the same.
        pub repeatable_paths: Vec<String>,
        /// Requests that one endpoint takes at a time.
        pub slots: u64,
        /// Silence after which an answer is taken to be lost, in ms.
        pub silence_ms: u64,
        /// Requests that may wait for each endpoint.
        pub queue: u64,
        /// How its requests are routed.
        pub routing: Policy,
        /// What recomputing is worth against its time, in percent.
        pub recompute_percent: u64,
        /// How old a load is when its endpoint reports it, in ms.
        pub report_lag_ms: u64,
    }
}

common! {
    /// A class of VM that the cloud offers.
    pub struct Class {
        /// Its name.
        pub name: String,
        /// Thousandths of a cent for an hour.
        pub price: u64,
        /// Whether the cloud may take it back.
        pub reclaimable: bool,
    }
}

impl Service {
    /// Whether a call to `path` may be run twice.
    pub fn may_repeat(&self, path: &str) -> bool {
        self.repeatable
            || self.repeatable_paths.iter().any(|known| known == path)
    }
}

impl Config {
    /// The team of that name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        let at = position(&self.teams, name, |team| team.name.as_str());
        at.ok().map(|at| &self.teams[at])
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at =
            position(&self.services, name, |service| service.name.as_str());
        at.ok().map(|at| &self.services[at])
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        let at = position(&self.classes, name, |class| class.name.as_str());
        at.ok().map(|at| &self.classes[at])
    }
}

/// Renders every site; all errors of all sites, in the order of the files.
pub fn check(
    base: &SourceFile,
    overlays: &[SourceFile],
) -> Result<Vec<Config>, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut configs: Vec<Config> = Vec::new();
    let base_tree = match Node::parse(base) {
        Ok(tree) => tree,
        Err(problem) => return Err(vec![problem]),
    };
    for overlay in overlays {
        let rendered = render_tree(&base_tree, overlay, &mut problems);
        let Some(config) = rendered else { continue };
        if configs.iter().any(|known| known.site == config.site) {
            let text = format!("a second overlay for {:?}", config.site);
            problems.push(whole_file(overlay, text));
        }
        configs.push(config);
    }
    if problems.is_empty() {
        check_sites(base, &configs, &mut problems);
    }
    // An error in the base shows up once for each site.
    let mut distinct: Vec<Problem> = Vec::new();
    for problem in problems {
        if !distinct.contains(&problem) {
            distinct.push(problem);
        }
    }
    if distinct.is_empty() { Ok(configs) } else { Err(distinct) }
}

/// Renders one site.
pub fn render(
    base: &SourceFile,
    overlay: &SourceFile,
) -> Result<Config, Vec<Problem>> {
    let mut problems = Vec::new();
    let tree = Node::parse(base).map_err(|problem| vec![problem])?;
    let config = render_tree(&tree, overlay, &mut problems);
    match config {
        Some(config) if problems.is_empty() => Ok(config),
        _ => Err(problems),
    }
}

/// The overlay whose `site` is the given data centre.
pub fn overlay_for<'a>(
    overlays: &'a [SourceFile],
    site: &str,
) -> Option<&'a SourceFile> {
    overlays.iter().find(|overlay| {
        Node::parse(overlay).is_ok_and(|tree| {
            let mut problems = Vec::new();
            Reader::open(String::new(), &tree, &mut problems).is_some_and(
                |mut reader| reader.text("site", None, &mut problems) == site,
            )
        })
    })
}

fn render_tree(
    base: &Node,
    overlay: &SourceFile,
    problems: &mut Vec<Problem>,
) -> Option<Config> {
    let over = match Node::parse(overlay) {
        Ok(tree) => tree,
        Err(problem) => {
            problems.push(problem);
            return None;
        }
    };
    let mut tree = base.clone();
    tree.merge(&over);
    read_config(&tree, overlay, problems)
}

fn check_sites(
    base: &SourceFile,
    configs: &[Config],
    problems: &mut Vec<Problem>,
) {
    let Some(first) = configs.first() else {
        let text = "there is no overlay; each data centre needs one";
        problems.push(whole_file(base, text.to_owned()));
        return;
    };
    for data_centre in &first.data_centres {
        let name = &data_centre.name;
        if !configs.iter().any(|config| &config.site == name) {
            let text = format!("data centre {name:?} has no overlay");
            problems.push(whole_file(base, text));
        }
    }
}

fn whole_file(file: &SourceFile, text: String) -> Problem {
    let place = Place { file: file.name.clone(), line: 1 };
    Problem { place, key: String::new(), text }
}

fn read_config(
    tree: &Node,
    overlay: &SourceFile,
    problems: &mut Vec<Problem>,
) -> Option<Config> {
    let mut top = Reader::open(String::new(), tree, problems)?;
    let site = top.text("site", None, problems);
    let system = read_system(&mut top, problems);
    let data_centres = top
        .tables("data_centres", problems)
        .into_iter()
        .map(|(name, table)| read_data_centre(name, table, problems))
        .collect::<Vec<_>>();
    let teams = top
        .tables("teams", problems)
        .into_iter()
        .map(|(name, table)| read_team(name, table, problems))
        .collect::<Vec<_>>();
    let services = top
        .tables("services", problems)
        .into_iter()
        .map(|(name, table)| read_service(name, table, problems))
        .collect::<Vec<_>>();
    let classes = top
        .tables("classes", problems)
        .into_iter()
        .map(|(name, table)| read_class(name, table, problems))
        .collect::<Vec<_>>();
    let empty = [
        ("data_centres", data_centres.is_empty()),
        ("teams", teams.is_empty()),
        ("services", services.is_empty()),
    ];
    for (key, is_empty) in empty {
        if is_empty {
            problems.push(Problem {
                place: top.place().clone(),
                key: key.to_owned(),
                text: "needs at least one entry".to_owned(),
            });
        }
    }
    if !data_centres.iter().any(|known| known.name == site) {
        let text = format!("site {site:?} is not among the data centres");
        problems.push(whole_file(overlay, text));
    }
    top.finish(problems);
    Some(Config { site, system, data_centres, teams, services, classes })
}

fn read_system(top: &mut Reader<'_>, problems: &mut Vec<Problem>) -> System {
    let mut system = System {
        name: String::new(),
        keep_entries_ms: 10_000,
        deadline_ms: 30_000,
        drain_ms: 20_000,
        retry_percent: 10,
    };
    let place = top.place().clone();
    let Some(node) = top.node("system") else {
        let key = "system".to_owned();
        problems.push(Problem { place, key, text: "is missing".to_owned() });
        return system;
    };
    let Some(mut table) = Reader::open("system".to_owned(), node, problems)
    else {
        return system;
    };
    system.name = table.text("name", None, problems);
    system.keep_entries_ms = table.integer(
        "keep_entries_ms",
        100..=600_000,
        Some(system.keep_entries_ms),
        problems,
    );
    system.deadline_ms = table.integer(
        "deadline_ms",
        100..=3_600_000,
        Some(system.deadline_ms),
        problems,
    );
    system.drain_ms = table.integer(
        "drain_ms",
        0..=600_000,
        Some(system.drain_ms),
        problems,
    );
    system.retry_percent = table.integer(
        "retry_percent",
        0..=100,
        Some(system.retry_percent),
        problems,
    );
    table.finish(problems);
    system
}

fn read_data_centre(
    name: &str,
    mut table: Reader<'_>,
    problems: &mut Vec<Problem>,
) -> DataCentre {
    let region = table.text("region", None, problems);
    table.finish(problems);
    DataCentre { name: name.to_owned(), region }
}

fn read_team(
    name: &str,
    mut table: Reader<'_>,
    problems: &mut Vec<Problem>,
) -> Team {
    let team = Team {
        name: name.to_owned(),
        weight: table.integer("weight", 1..=1000, Some(1), problems),
        first_token_ms: table.integer(
            "first_token_ms",
            10..=600_000,
            Some(1700),
            problems,
        ),
        between_tokens_ms: table.integer(
            "between_tokens_ms",
            1..=60_000,
            Some(34),
            problems,
        ),
    };
    table.finish(problems);
    team
}

fn read_service(
    name: &str,
    mut table: Reader<'_>,
    problems: &mut Vec<Problem>,
) -> Service {
    let written = table.text("kind", None, problems);
    let kind = match written.as_str() {
        "model" => Kind::Model,
        "plain" => Kind::Plain,
        _ => {
            problems.push(Problem {
                place: table.place().clone(),
                key: table.path_of("kind"),
                text: format!("{written:?} is neither model nor plain"),
            });
            Kind::Plain
        }
    };
    // Repeating is harmless only where somebody said so; a model's answer
    // has no effect outside.
    let model = kind == Kind::Model;
    let written = table.text("routing", Some("cost"), problems);
    let routing = Policy::parse(&written).unwrap_or_else(|| {
        let names = Policy::ALL.map(|(name, _)| name).join(", ");
        problems.push(Problem {
            place: table.place().clone(),
            key: table.path_of("routing"),
            text: format!("{written:?} is none of {names}"),
        });
        Policy::Cost
    });
    let service = Service {
        name: name.to_owned(),
        routing,
        kind,
        repeatable: table.flag("repeatable", model, problems),
        repeatable_paths: table.texts("repeatable_paths", problems),
        slots: table.integer("slots", 1..=4096, Some(8), problems),
        silence_ms: table.integer(
            "silence_ms",
            50..=600_000,
            Some(5000),
            problems,
        ),
        queue: table.integer("queue", 0..=100_000, Some(16), problems),
        recompute_percent: table.integer(
            "recompute_percent",
            0..=10_000,
            Some(100),
            problems,
        ),
        report_lag_ms: table.integer(
            "report_lag_ms",
            0..=60_000,
            Some(1000),
            problems,
        ),
    };
    table.finish(problems);
    service
}

fn read_class(
    name: &str,
    mut table: Reader<'_>,
    problems: &mut Vec<Problem>,
) -> Class {
    let class = Class {
        name: name.to_owned(),
        price: table.integer("price", 0..=1_000_000_000, None, problems),
        reclaimable: table.flag("reclaimable", false, problems),
    };
    table.finish(problems);
    class
}

/// One site's configuration as a TOML file: the base with its overlay on top.
///
/// # Errors
///
/// As [`render`].
pub fn effective(
    base: &SourceFile,
    overlay: &SourceFile,
) -> Result<String, Vec<Problem>> {
    render(base, overlay)?;
    let mut tree = Node::parse(base).map_err(|problem| vec![problem])?;
    let over = Node::parse(overlay).map_err(|problem| vec![problem])?;
    tree.merge(&over);
    Ok(toml::to_string_pretty(&tree.to_toml()).unwrap_or_default())
}
