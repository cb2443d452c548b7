//! The commands of the scenario files.

/// A command of a scenario file.
///
/// A process is named by a letter and a number: c1 is a control member, e1 an
/// entry, m1 a model engine, p1 a plain service. `leader` and `follower` name
/// a control member by its current role.
#[derive(goldenscript::Command)]
pub enum Step {
    /// Starts a cluster and waits until it serves: cluster controls=3
    Cluster {
        #[arg(key)]
        controls: Option<u8>,
        #[arg(key)]
        entries: Option<u8>,
        #[arg(key)]
        models: Option<u8>,
        #[arg(key)]
        plains: Option<u8>,
        /// Time that a piece or a plain call takes, in ms.
        #[arg(key)]
        piece_ms: Option<u64>,
        /// Time for which an endpoint still serves after SIGTERM, in ms.
        #[arg(key)]
        within_ms: Option<u64>,
        /// Entries connect to endpoints without a relay. A relay would still
        /// accept connections after the endpoint has exited.
        #[arg(key)]
        direct: Option<bool>,
    },
    /// Starts a process that was killed.
    Start(String),
    /// Starts all processes that were killed.
    RestartKilled,
    /// Kills a process (SIGKILL).
    Kill(String),
    /// Terminates a process (SIGTERM).
    Terminate(String),
    /// Stops a process (SIGSTOP).
    Freeze(String),
    /// Resumes a frozen process (SIGCONT).
    Thaw(String),
    /// Resumes the process that `freeze` stopped last.
    ThawFrozen,
    /// Silences all links of the leader.
    IsolateLeader,
    /// Restores the links of the isolated leader.
    MendIsolated,
    /// Proposes an operator's change to the isolated leader directly.
    ApplyAtIsolated { id: String, from: u64 },
    /// Kills a member and restarts it with an empty data folder.
    Wipe(String),
    /// Silences all links of a process.
    Cut(String),
    /// Restores all links of a process.
    Mend(String),
    /// Silences the links between a process and control members.
    CutControl(String),
    /// Restores the links between a process and control members.
    MendControl(String),
    /// Silences the open connections to a process permanently; new connections
    /// work.
    Forget(String),
    /// Waits until a process exits by itself.
    Ended(String),
    /// Applies an operator's change: apply ID FROM [drain=MS]
    Apply {
        id: String,
        from: u64,
        #[arg(key)]
        drain: Option<u64>,
    },
    /// Applies the given number of changes one after another.
    ApplyMany(u64),
    /// Applies the changes of two operators at once, both made from the given
    /// revision.
    Race(u64),
    /// Waits until a condition holds; see `Cluster::wait_for`.
    Wait { what: String, argument: Option<String> },
    /// Sends a call that must not run twice: send KEY ENTRY
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
    /// Sends a call and retries it under its key until it is answered.
    Insist { key: String, entry: String },
    /// Sends a call in the background; `outcome` waits for its answer.
    SendLater { key: String, entry: String },
    /// Starts a streamed model call in the background, by a caller that reads
    /// on at other entries. Returns when the first piece has arrived.
    ChatLater {
        key: String,
        entry: String,
        #[arg(key)]
        tokens: Option<u64>,
    },
    /// Waits for the answer of a background call.
    Outcome(String),
    /// Reads a request from an entry by its key.
    Reread { key: String, entry: String },
    /// Prints how often the plain services ran a request.
    Runs(String),
    /// Sets a fault of a stand-in endpoint: fault p1 silent
    Fault {
        target: String,
        fault: String,
        #[arg(key)]
        at: Option<u64>,
    },
    /// Prints the number of resumed streams that did not continue the text
    /// already sent.
    WrongResumes,
    /// Prints the number of running model engines.
    RunningModels,
    /// Prints the entries whose addresses an entry gives to callers.
    Entries(String),
    /// Sends an entry an endpoint's notice that it leaves.
    Leave { endpoint: String, entry: String },
    /// Sends an entry a late heartbeat, with the incarnation of an endpoint
    /// that left.
    LateHeartbeat { endpoint: String, entry: String },
}
