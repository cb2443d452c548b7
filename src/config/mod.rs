//! Operators' configuration: one base file and one overlay for each site.
//!
//! The base describes services, teams, data centres and classes of VM. An
//! overlay belongs to one data centre and contains only the values that differ
//! there:
//!
//! ```toml
//! site = "barasat"
//!
//! [services.sathi-7b]
//! slots = 4
//! ```
//!
//! Tables merge; any other value in the overlay replaces the value in the
//! base. The merged tree is then validated strictly: unknown keys, wrong
//! types, numbers out of bounds and references to undefined names are errors,
//! each reported with file, line and key. [`check`] validates a configuration
//! for all its sites at once. One invalid overlay invalidates the whole
//! configuration, so that it is in force at every site or at none.
//!
//! # Pitfalls
//!
//! An overlay can't remove values of the base; it can only replace them. Every
//! data centre needs an overlay, even if it only names the site. Otherwise a
//! site that was forgotten would run on the base alone without a decision.

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
        /// File and line.
        pub place: Place,
        /// Dotted key; empty if the error concerns the whole file.
        pub key: String,
        /// Description of the error, with the value and its bounds.
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
    /// Validated configuration of one site.
    pub struct Config {
        /// Data centre that the configuration was rendered for.
        pub site: String,
        /// Settings of the whole system.
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
    /// Settings that apply to the whole system (table `system`).
    pub struct System {
        /// Name of the system.
        pub name: String,
        /// Time that a caller keeps the list of entries, in ms.
        pub keep_entries_ms: u64,
        /// Deadline of a request that specifies none, in ms.
        pub deadline_ms: u64,
        /// Time that a stopping entry gives requests to finish, in ms.
        pub drain_ms: u64,
        /// Limit on retries and hedges, in percent of recent successes.
        pub retry_percent: u64,
    }
}

common! {
    /// A data centre; its overlay has the same name.
    pub struct DataCentre {
        pub name: String,
        /// Region of the data centre.
        pub region: String,
    }
}

common! {
    /// A group of callers, with its weight and latency targets.
    pub struct Team {
        /// Name, as callers send it.
        pub name: String,
        /// Weight of the team's share relative to the other teams'.
        pub weight: u64,
        /// Target for the p95 of the time to the first token, in ms.
        pub first_token_ms: u64,
        /// Target for the p95 of the time between two tokens, in ms.
        pub between_tokens_ms: u64,
    }
}

common! {
    copy
    /// Kind of a service.
    pub enum Kind {
        /// A language model that streams tokens.
        Model,
        /// HTTP calls that are passed through.
        Plain,
    }
}

common! {
    /// A service that endpoints provide and callers request.
    pub struct Service {
        /// Name, as callers send it.
        pub name: String,
        pub kind: Kind,
        /// Whether calls on all paths may be repeated.
        pub repeatable: bool,
        /// Paths whose calls may be repeated even if `repeatable` is false.
        pub repeatable_paths: Vec<String>,
        /// Requests that one endpoint runs concurrently.
        pub slots: u64,
        /// Time without data after which an answer counts as lost, in ms.
        pub silence_ms: u64,
        /// Maximum number of requests that wait for each endpoint.
        pub queue: u64,
        /// Routing policy for requests.
        pub routing: Policy,
        /// Weight of recomputing relative to its time, in percent.
        pub recompute_percent: u64,
        /// Age of a load when its endpoint reports it, in ms.
        pub report_lag_ms: u64,
    }
}

common! {
    /// A class of VM that the cloud offers.
    pub struct Class {
        pub name: String,
        /// Price of one hour, in thousandths of a cent.
        pub price: u64,
        /// Whether the cloud may reclaim the VM.
        pub reclaimable: bool,
    }
}

impl Service {
    /// Returns whether a call to `path` may run twice.
    pub fn may_repeat(&self, path: &str) -> bool {
        self.repeatable
            || self.repeatable_paths.iter().any(|known| known == path)
    }
}

impl Config {
    /// Returns the team with the given name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        let at = position(&self.teams, name, |team| team.name.as_str());
        at.ok().map(|at| &self.teams[at])
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at =
            position(&self.services, name, |service| service.name.as_str());
        at.ok().map(|at| &self.services[at])
    }

    /// Returns the class with the given name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        let at = position(&self.classes, name, |class| class.name.as_str());
        at.ok().map(|at| &self.classes[at])
    }
}

/// Renders the configurations of all sites.
///
/// # Errors
///
/// All errors of all sites, in the order of the files.
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
    // An error in the base occurs once for each site; report it only once.
    let mut distinct: Vec<Problem> = Vec::new();
    for problem in problems {
        if !distinct.contains(&problem) {
            distinct.push(problem);
        }
    }
    if distinct.is_empty() { Ok(configs) } else { Err(distinct) }
}

/// Renders the configuration of one site.
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

/// Returns the overlay whose `site` is the given data centre.
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
    let overlay_tree = match Node::parse(overlay) {
        Ok(tree) => tree,
        Err(problem) => {
            problems.push(problem);
            return None;
        }
    };
    let mut tree = base.clone();
    tree.merge(&overlay_tree);
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
    // Calls may be repeated only if the configuration says so, except that
    // model calls may by default: they have no external effect.
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

/// Returns one site's configuration as TOML: the base merged with the overlay.
///
/// # Errors
///
/// The same as for [`render`].
pub fn effective(
    base: &SourceFile,
    overlay: &SourceFile,
) -> Result<String, Vec<Problem>> {
    render(base, overlay)?;
    let mut tree = Node::parse(base).map_err(|problem| vec![problem])?;
    let overlay_tree =
        Node::parse(overlay).map_err(|problem| vec![problem])?;
    tree.merge(&overlay_tree);
    Ok(toml::to_string_pretty(&tree.to_toml()).unwrap_or_default())
}
