//! Settings of the daemons: flags, environment variables, checks at start.
//!
//! Every setting is a flag and an environment variable; a flag goes first.
//! All wrong settings are reported at once, each with its flag, its variable,
//! the value and what would be right.
//!
//! ```text
//! --data-centre      AZUREMOUNT_DATA_CENTRE
//! --control          AZUREMOUNT_CONTROL
//! ```

use std::{fmt, net::SocketAddr, path::PathBuf, str::FromStr};

use argh::FromArgs;

use crate::{logs, util::common, wire::Member};

/// The exit code for wrong settings.
pub const EXIT_SETTINGS: u8 = 2;
/// The exit code for a part that failed while running.
pub const EXIT_FAILED: u8 = 1;
/// The exit code for a data folder that can't be used.
pub const EXIT_DATA: u8 = 3;

/// Every setting that was wrong.
#[derive(Debug, Default)]
pub struct Errors(Vec<String>);

impl fmt::Display for Errors {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.0 {
            writeln!(out, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Errors {}

/// azuremount-entry: answers callers and forwards to endpoints.
///
/// Every flag has an environment variable of the same name: --data-centre is
/// AZUREMOUNT_DATA_CENTRE. Exit codes: 0 stopped in order, 1 failed while
/// running, 2 wrong settings.
#[derive(Debug, Default, FromArgs)]
pub struct EntryFlags {
    /// name of this entry, unique in the system
    #[argh(option)]
    id: Option<String>,
    /// address for callers and endpoints, as ip:port; port 0 takes any
    #[argh(option)]
    listen: Option<String>,
    /// address for other entries, as ip:port; port 0 takes any
    #[argh(option)]
    peer_listen: Option<String>,
    /// address that callers are told, if not the one listened on
    #[argh(option)]
    advertise: Option<String>,
    /// the data centre this VM is in
    #[argh(option)]
    data_centre: Option<String>,
    /// control members, as ip:port,ip:port
    #[argh(option)]
    control: Option<String>,
    /// threads that serve callers (default 2)
    #[argh(option)]
    threads: Option<String>,
    /// text or json (default text)
    #[argh(option)]
    log_format: Option<String>,
    /// log filter, such as info or warn,entry=debug (default info)
    #[argh(option)]
    log_level: Option<String>,
    /// print the version and stop
    #[argh(switch)]
    pub version: bool,
}

/// azuremount-control: keeps configuration, claims and fleet on disk.
///
/// Every flag has an environment variable of the same name: --data-folder is
/// AZUREMOUNT_DATA_FOLDER. Exit codes: 0 stopped in order, 1 failed while
/// running, 2 wrong settings, 3 the data folder can't be used.
#[derive(Debug, Default, FromArgs)]
pub struct ControlFlags {
    /// number of this member, from 1
    #[argh(option)]
    id: Option<String>,
    /// address for members, entries and operators, as ip:port
    #[argh(option)]
    listen: Option<String>,
    /// all members with this one, as 1=ip:port,2=ip:port,3=ip:port
    #[argh(option)]
    members: Option<String>,
    /// folder for the log and snapshots; must be on the VM's own disk
    #[argh(option)]
    data_folder: Option<String>,
    /// milliseconds between a leader's heartbeats (default 200)
    #[argh(option)]
    heartbeat_ms: Option<String>,
    /// shortest silence in milliseconds before an election (default 1000)
    #[argh(option)]
    election_ms: Option<String>,
    /// log entries after which a snapshot is made (default 5000)
    #[argh(option)]
    snapshot_entries: Option<String>,
    /// text or json (default text)
    #[argh(option)]
    log_format: Option<String>,
    /// log filter, such as info or warn,control=debug (default info)
    #[argh(option)]
    log_level: Option<String>,
    /// print the version and stop
    #[argh(switch)]
    pub version: bool,
}

common! {
    /// How a process logs.
    pub struct Logs {
        /// Text or JSON.
        pub format: logs::Format,
        /// A filter for `tracing`.
        pub level: String,
    }
}

common! {
    /// An entry's settings, checked.
    pub struct Entry {
        /// Unique in the system.
        pub id: String,
        /// For callers and endpoints.
        pub listen: SocketAddr,
        /// For other entries.
        pub peer_listen: SocketAddr,
        /// What callers are told, if not `listen`.
        pub advertise: Option<SocketAddr>,
        /// Where this VM is.
        pub data_centre: String,
        /// At least one.
        pub control: Vec<SocketAddr>,
        /// From 1 to 64.
        pub threads: usize,
        /// How to log.
        pub logs: Logs,
    }
}

common! {
    /// A control member's settings, checked.
    pub struct Control {
        /// From 1.
        pub id: u64,
        /// For members, entries and operators.
        pub listen: SocketAddr,
        /// All members, this one too, sorted by id; incarnations are 0.
        pub members: Vec<Member>,
        /// Where the log lives.
        pub data_folder: PathBuf,
        /// Milliseconds.
        pub heartbeat_ms: u64,
        /// Milliseconds.
        pub election_ms: u64,
        /// Entries between two snapshots.
        pub snapshot_entries: usize,
        /// How to log.
        pub logs: Logs,
    }
}

/// Reads one process's settings and gathers what is wrong with them.
struct Check<E> {
    environment: E,
    errors: Errors,
}

impl<E: Fn(&str) -> Option<String>> Check<E> {
    fn raw(&self, flag: &Option<String>, name: &str) -> Option<String> {
        flag.clone().or_else(|| (self.environment)(&variable(name)))
    }

    fn wrong(&mut self, name: &str, text: impl fmt::Display) {
        let variable = variable(name);
        self.errors.0.push(format!("--{name} ({variable}): {text}"));
    }

    fn need(&mut self, flag: &Option<String>, name: &str) -> String {
        match self.raw(flag, name) {
            Some(text) if !text.is_empty() => text,
            _ => {
                self.wrong(name, "is missing");
                String::new()
            }
        }
    }

    fn parse<T: FromStr>(
        &mut self,
        flag: &Option<String>,
        name: &str,
        default: &str,
        wanted: &str,
    ) -> Option<T> {
        let text = self.raw(flag, name).unwrap_or_else(|| default.to_owned());
        if text.is_empty() {
            self.wrong(name, "is missing");
            return None;
        }
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.wrong(name, format!("{text:?} is not {wanted}"));
                None
            }
        }
    }

    fn number(
        &mut self,
        flag: &Option<String>,
        name: &str,
        default: &str,
        low: u64,
        high: u64,
    ) -> u64 {
        let wanted = format!("a whole number from {low} to {high}");
        match self.parse::<u64>(flag, name, default, &wanted) {
            Some(number) if (low..=high).contains(&number) => number,
            Some(number) => {
                self.wrong(name, format!("{number} is not {wanted}"));
                low
            }
            None => low,
        }
    }

    fn logs(
        &mut self,
        format: &Option<String>,
        level: &Option<String>,
    ) -> Logs {
        let format = self.parse(format, "log-format", "text", "text or json");
        Logs {
            format: format.unwrap_or(logs::Format::Text),
            level: self
                .raw(level, "log-level")
                .unwrap_or_else(|| "info".to_owned()),
        }
    }
}

const ADDRESS: &str = "an address such as 10.0.0.1:7000";

impl EntryFlags {
    /// Checks the flags, with `environment` behind them.
    ///
    /// # Errors
    ///
    /// Every setting that is missing or wrong.
    pub fn check(
        &self,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Entry, Errors> {
        let mut check = Check { environment, errors: Errors::default() };
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let id = check.need(&self.id, "id");
        let listen = check.parse(&self.listen, "listen", "", ADDRESS);
        let peer = check.parse(&self.peer_listen, "peer-listen", "", ADDRESS);
        let advertise = match check.raw(&self.advertise, "advertise") {
            Some(_) => check.parse(&self.advertise, "advertise", "", ADDRESS),
            None => None,
        };
        let data_centre = check.need(&self.data_centre, "data-centre");
        let control = check.need(&self.control, "control");
        let mut addresses = Vec::new();
        for text in control.split(',').filter(|text| !text.is_empty()) {
            match text.trim().parse() {
                Ok(address) => addresses.push(address),
                Err(_) => {
                    check.wrong(
                        "control",
                        format!("{text:?} is not {ADDRESS}"),
                    );
                }
            }
        }
        let threads = check.number(&self.threads, "threads", "2", 1, 64);
        let logs = check.logs(&self.log_format, &self.log_level);
        if !check.errors.0.is_empty() {
            return Err(check.errors);
        }
        Ok(Entry {
            id,
            listen: listen.unwrap_or(any),
            peer_listen: peer.unwrap_or(any),
            advertise,
            data_centre,
            control: addresses,
            threads: threads as usize,
            logs,
        })
    }
}

impl ControlFlags {
    /// Checks the flags, with `environment` behind them.
    ///
    /// # Errors
    ///
    /// Every setting that is missing or wrong.
    pub fn check(
        &self,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Control, Errors> {
        let mut check = Check { environment, errors: Errors::default() };
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let id = check.number(&self.id, "id", "", 1, 1_000_000);
        let listen = check.parse(&self.listen, "listen", "", ADDRESS);
        let written = check.need(&self.members, "members");
        let members = match parse_members(&written) {
            Ok(members) => members,
            Err(text) => {
                if !written.is_empty() {
                    check.wrong("members", text);
                }
                Vec::new()
            }
        };
        let listed = members.iter().any(|member| member.id == id);
        if !members.is_empty() && !listed {
            check.wrong("members", format!("does not list member {id}"));
        }
        let folder = check.need(&self.data_folder, "data-folder");
        let heartbeat = check.number(
            &self.heartbeat_ms,
            "heartbeat-ms",
            "200",
            10,
            10_000,
        );
        let election =
            check.number(&self.election_ms, "election-ms", "1000", 50, 60_000);
        if election < 3 * heartbeat {
            check.wrong(
                "election-ms",
                format!("{election} is not at least 3 heartbeats"),
            );
        }
        let snapshot = check.number(
            &self.snapshot_entries,
            "snapshot-entries",
            "5000",
            10,
            10_000_000,
        );
        let logs = check.logs(&self.log_format, &self.log_level);
        if !check.errors.0.is_empty() {
            return Err(check.errors);
        }
        Ok(Control {
            id,
            listen: listen.unwrap_or(any),
            members,
            data_folder: PathBuf::from(folder),
            heartbeat_ms: heartbeat,
            election_ms: election,
            snapshot_entries: snapshot as usize,
            logs,
        })
    }
}

fn variable(name: &str) -> String {
    format!("AZUREMOUNT_{}", name.to_uppercase().replace('-', "_"))
}

fn parse_members(text: &str) -> Result<Vec<Member>, String> {
    let mut members: Vec<Member> = Vec::new();
    for part in text.split(',') {
        let pair = part.trim().split_once('=');
        let parsed = pair.and_then(|(id, address)| {
            let id: u64 = id.parse().ok().filter(|id| *id > 0)?;
            let address: SocketAddr = address.parse().ok()?;
            Some((id, address))
        });
        let Some((id, address)) = parsed else {
            return Err(format!("{part:?} is not like 1=10.0.0.1:7000"));
        };
        if members.iter().any(|member| member.id == id) {
            return Err(format!("lists member {id} twice"));
        }
        members.push(Member {
            id,
            incarnation: 0,
            address: address.to_string(),
            voter: true,
        });
    }
    members.sort_by_key(|member| member.id);
    Ok(members)
}

/// Reads a variable; an empty one counts as not set.
pub fn from_environment(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}
