//! Stand-ins for the independent review: a small deployment of real node
//! processes on loopback addresses, and the clients, replicas, operator and
//! platform around it. They follow the users' pages.
//!
//! A case calls [`run`] with its test. The exit code of the process is 0 if
//! the rule held, 1 if it was broken and 2 if the case couldn't run.

pub mod client;
pub mod http;
pub mod record;
pub mod replica;
pub mod site;

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    path::PathBuf,
    process::exit,
    sync::Arc,
    thread,
    time::Duration,
};

use record::Record;

/// Longest duration of a case.
const MAX_CASE_DURATION: Duration = Duration::from_secs(112);
/// Exit code of a case in which the rule was broken.
const EXIT_BROKEN: i32 = 1;
/// Exit code of a case that couldn't run.
const EXIT_NOT_RUN: i32 = 2;

/// What a case has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case couldn't run as intended, so it shows nothing.
    NotRun,
}

/// How a case is run.
#[derive(Clone, Debug)]
pub struct Case {
    /// The root of the repository.
    pub root: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    /// Collects what was sent, answered and run.
    pub record: Arc<Record>,
}

/// Runs a case and ends the process. The arguments are the repository's root
/// and the path of the record.
pub fn run(test: impl FnOnce(&Case) -> Verdict + Send + 'static) -> ! {
    let arguments: Vec<PathBuf> =
        std::env::args_os().skip(1).map(PathBuf::from).collect();
    let [root, path] = arguments.as_slice() else {
        eprintln!("needs the repository's root and the path of the record");
        exit(EXIT_NOT_RUN);
    };
    let has_trouble =
        std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::default());
    let Ok(root) = root.canonicalize() else {
        eprintln!("there is no repository at {}", root.display());
        exit(EXIT_NOT_RUN);
    };
    let case = Case { root, has_trouble, record: record.clone() };
    record.note(format!("TROUBLE={}", u8::from(has_trouble)));
    let running = thread::spawn(move || {
        catch_unwind(AssertUnwindSafe(|| test(&case)))
            .unwrap_or(Verdict::NotRun)
    });
    let mut waited = Duration::ZERO;
    while !running.is_finished() && waited < MAX_CASE_DURATION {
        thread::sleep(Duration::from_millis(50));
        waited += Duration::from_millis(50);
    }
    let verdict = match running.is_finished() {
        true => running.join().unwrap_or(Verdict::NotRun),
        false => Verdict::NotRun,
    };
    site::kill_all_nodes();
    record.note(format!("verdict: {verdict:?}"));
    if let Err(error) = record.write(path) {
        eprintln!("can't write the record: {error}");
        exit(EXIT_NOT_RUN);
    }
    println!("{verdict:?}");
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => EXIT_BROKEN,
        Verdict::NotRun => EXIT_NOT_RUN,
    });
}

/// Returns a number that differs between calls and runs.
pub fn unique_number() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let seed = u64::from(std::process::id()) << 32 | next;
    mix(seed ^ replica::now_ms().rotate_left(40))
}

/// Mixes the bits of a number.
pub fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
