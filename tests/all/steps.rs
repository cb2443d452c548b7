//! The small language of the scenarios.

/// The words that stories are told in.
///
/// A process is named by a letter and a number: c1 a control member, e1 an
/// entry, m1 a model engine, p1 a plain service; `leader` and `follower` are
/// the control members that are that.
#[derive(goldenscript::Command)]
pub enum Step {
    /// Starts a system and waits until it serves: cluster controls=3
    Cluster {
        #[arg(key)]
        controls: Option<u8>,
        #[arg(key)]
        entries: Option<u8>,
        #[arg(key)]
        models: Option<u8>,
        #[arg(key)]
        plains: Option<u8>,
        /// Milliseconds of a piece, or of a plain call.
        #[arg(key)]
        piece_ms: Option<u64>,
        /// Milliseconds that an endpoint goes on after SIGTERM.
        #[arg(key)]
        within_ms: Option<u64>,
        /// Entries reach endpoints without a relay, which would take their
        /// connections after they have ended.
        #[arg(key)]
        direct: Option<bool>,
    },
    /// Starts a process that was killed.
    Start(String),
    /// Starts all processes that were killed.
    RestartKilled,
    /// kill -9.
    Kill(String),
    /// SIGTERM.
    Terminate(String),
    /// SIGSTOP and SIGCONT.
    Freeze(String),
    Thaw(String),
    /// Lets the control member go on that was frozen as `leader`.
    ThawFrozen,
    /// Makes all links of the leader silent, and mends them later.
    IsolateLeader,
    MendIsolated,
    /// An operator's change handed to the isolated leader itself.
    ApplyAtIsolated {
        id: String,
        from: u64,
    },
    /// Kills a member and starts it again with an empty data folder.
    Wipe(String),
    /// Makes all links of a process silent, and mends them.
    Cut(String),
    Mend(String),
    /// The same for its links with control members only.
    CutControl(String),
    MendControl(String),
    /// Makes open connections to a process silent for good; new ones work.
    Forget(String),
    /// Waits for a process to end by itself.
    Ended(String),
    /// An operator's change: apply ID FROM [drain=MS]
    Apply {
        id: String,
        from: u64,
        #[arg(key)]
        drain: Option<u64>,
    },
    /// So many changes one after the other.
    ApplyMany(u64),
    /// Two operators at once, with changes from the same revision.
    Race(u64),
    /// Waits until something holds: see `Cluster::wait_for`.
    Wait {
        what: String,
        argument: Option<String>,
    },
    /// A call that must not run twice: send KEY ENTRY
    Send {
        key: String,
        entry: String,
        #[arg(key)]
        path: Option<String>,
        #[arg(key)]
        body: Option<String>,
        #[arg(key)]
        deadline: Option<u64>,
    },
    /// A caller that repeats it under its key until it is answered.
    Insist {
        key: String,
        entry: String,
    },
    /// The same as `send` in the background; `outcome` waits for its answer.
    SendLater {
        key: String,
        entry: String,
    },
    /// A streamed model call in the background, by a caller that follows the
    /// rules; returns when its first piece has come.
    ChatLater {
        key: String,
        entry: String,
        #[arg(key)]
        tokens: Option<u64>,
    },
    /// What a background call came to.
    Outcome(String),
    /// Asks an entry for a request by its key.
    Reread {
        key: String,
        entry: String,
    },
    /// How often the plain services ran a request.
    Runs(String),
    /// Sets a stand-in's fault: fault p1 silent
    Fault {
        target: String,
        fault: String,
        #[arg(key)]
        at: Option<u64>,
    },
    /// Resumed streams that did not continue what had been shown.
    WrongResumes,
    /// How many model engines run.
    RunningModels,
    /// The entries that an entry hands out.
    Entries(String),
    /// An endpoint's notice that it leaves, told to an entry.
    Leave {
        endpoint: String,
        entry: String,
    },
    /// An endpoint's late heartbeat, with the incarnation that left.
    LateHeartbeat {
        endpoint: String,
        entry: String,
    },
}
