//! Metrics of an entry, in the format of Prometheus.
//!
//! All histograms have the team and the service as labels. Both come from the
//! configuration in force, never from a request, so that a caller can't create
//! additional series.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Labels of a histogram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Labels {
    /// The team.
    pub team: String,
    /// The service.
    pub service: String,
}

/// Labels of a refusal or failure.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// Text of the verdict.
    pub verdict: &'static str,
}

/// Label of a read of the plan.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PlanRead {
    /// `read`, or the verdict of the error.
    pub outcome: &'static str,
}

/// Label of a fetch of the plan from another node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PlanFetch {
    /// `fetched`, `failed` or `timed out`.
    pub outcome: &'static str,
}

/// Label of an attempt that failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FailedAttempt {
    /// What the connection showed about the replica.
    pub fault: &'static str,
}

/// Label of an attempt to continue a stream at another replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StreamMove {
    /// `moved`, or why the stream does not go on there.
    pub outcome: &'static str,
}

/// Label of a request that resumes a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Resumption {
    /// `resumed`, or why not.
    pub outcome: &'static str,
}

/// Label of the record of where a stream begins.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StreamRecord {
    /// `kept` by another node, `unkept`, or `outdated` as another node may have
    /// an earlier record that names another origin.
    pub outcome: &'static str,
}

/// Label of a gauge for each service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Service {
    /// The service.
    pub service: String,
}

/// Labels of a claim on a retry budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Retry {
    /// The service.
    pub service: String,
    /// `granted`, `denied`, or `returned` if a granted one did not arrive.
    pub outcome: &'static str,
}

/// Labels of a refusal for want of capacity.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AdmissionRefusal {
    /// The team.
    pub team: String,
    /// The service.
    pub service: String,
    /// `share`, `late` or `early`.
    pub reason: &'static str,
}

type Histograms = Family<Labels, Histogram, fn() -> Histogram>;

/// The metrics of one entry.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Time from a request to the end of its answer, in s.
    pub latency: Histograms,
    /// Time from a request to the first piece of its answer, in s.
    pub first_token: Histograms,
    /// Time between two pieces of an answer, in s.
    pub between_tokens: Histograms,
    /// Time that a request waited for admission, in s.
    pub queue_wait: Histograms,
    /// Prompt tokens computed by an engine although another had cached them.
    pub recomputed_tokens: Histograms,
    /// Answers other than success.
    pub outcomes: Family<Outcome, Counter>,
    /// Requests in flight.
    pub running: Gauge,
    /// Streams that were resumed at another endpoint.
    pub moved: Counter,
    /// Requests taken over from another entry.
    pub adopted: Counter,
    /// Configuration revision in force.
    pub revision: Gauge,
    /// Reads of the plan through the quorum, by outcome.
    pub plan_reads: Family<PlanRead, Counter>,
    /// Fetches of the plan from other nodes, by outcome.
    pub plan_fetches: Family<PlanFetch, Counter>,
    /// Time from the first report of a newer plan to its application, in s.
    pub plan_delay: Histogram,
    /// Term of this node's member of the replicated log.
    pub term: Gauge,
    /// 1 while that member is the leader, otherwise 0.
    pub leads: Gauge,
    /// 1 while that member leads or hears a leader, otherwise 0.
    pub hears_leader: Gauge,
    /// Reads that the member could not confirm in time while it led.
    pub late_reads: Counter,
    /// Heartbeats and answer headers of replicas that can't be parsed.
    pub unreadable: Counter,
    /// Replicas that crashed with requests of this node in flight.
    pub ended_replicas: Counter,
    /// Requests that have reached the number of crashes for quarantine.
    pub suspects: Counter,
    /// Parts of prompts that have reached that number.
    pub suspect_parts: Counter,
    /// Requests refused as a part of their prompt is quarantined.
    pub refused_for_parts: Counter,
    /// Replicas that have announced a rate limit.
    pub limited_replicas: Gauge,
    /// Backoffs that replicas have requested of this node.
    pub backoffs: Counter,
    /// Replicas that this node sends nothing now, as they requested.
    pub backing_off_replicas: Gauge,
    /// Replicas that are considered slow, by service.
    pub slow_replicas: Family<Service, Gauge>,
    /// Answers in which a replica announced that it leaves.
    pub leaving_answers: Counter,
    /// Attempts at replicas that failed, by fault.
    pub failed_attempts: Family<FailedAttempt, Counter>,
    /// Streams that callers resume, by outcome.
    pub resumptions: Family<Resumption, Counter>,
    /// Records of where streams begin, by outcome when the stream begins.
    pub stream_records: Family<StreamRecord, Counter>,
    /// Receipts of records that arrived after their streams had begun.
    pub late_receipts: Counter,
    /// Attempts whose replica was silent so long that another one was asked.
    pub silent_attempts: Counter,
    /// Searches for another replica to continue a stream, by outcome.
    pub stream_moves: Family<StreamMove, Counter>,
    /// Attempts to resume a stream whose events were not sent on, as no
    /// heartbeat showed the version.
    pub unconfirmed_replicas: Counter,
    /// Claims on the retry budgets, by service and outcome.
    pub retries: Family<Retry, Counter>,
    /// Retries in the window of the retry budget, by service.
    pub retry_budget_used: Family<Service, Gauge>,
    /// Retries that the budget allows in the window, by service.
    pub retry_budget_allowed: Family<Service, Gauge<f64, AtomicU64>>,
    /// Number of entries that share the slack of the retry budgets.
    pub retry_budget_entries: Gauge,
    /// Time since this process began to count retries, in s.
    pub retry_budget_age: Gauge<f64, AtomicU64>,
    /// State of the newest roll-out: 0 running, 1 completed, 2 reverted.
    pub rollout_state: Family<Service, Gauge>,
    /// Step of the newest roll-out.
    pub rollout_step: Family<Service, Gauge>,
    /// Attempts that this node sent to a service since the order.
    pub rollout_sent: Family<Service, Gauge>,
    /// Attempts that it sent to the new version.
    pub rollout_exposed: Family<Service, Gauge>,
    /// Requests refused for want of capacity, by team, service and reason.
    pub admission_refusals: Family<AdmissionRefusal, Counter>,
    /// Replicas' worth of work that may be admitted, by service.
    pub admission_capacity: Family<Service, Gauge<f64, AtomicU64>>,
    /// Replicas' worth of work that callers ask for, by service.
    pub admission_demand: Family<Service, Gauge<f64, AtomicU64>>,
    /// Services whose replicas this node can't reach.
    pub unreachable_services: Gauge,
    /// Requests forwarded to other nodes.
    pub forwarded: Counter,
    /// Requests that other nodes have forwarded to this one.
    pub taken_for_others: Counter,
}

fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

fn tokens() -> Histogram {
    Histogram::new(exponential_buckets(16.0, 2.0, 14))
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub struct Running(Gauge);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl Metrics {
    /// Creates metrics that are all 0.
    pub fn open() -> Metrics {
        let mut registry = Registry::with_prefix("azuremount");
        let seconds = || Histograms::new_with_constructor(seconds);
        let metrics = Metrics {
            latency: seconds(),
            first_token: seconds(),
            between_tokens: seconds(),
            queue_wait: seconds(),
            recomputed_tokens: Histograms::new_with_constructor(tokens),
            outcomes: Family::default(),
            running: Gauge::default(),
            moved: Counter::default(),
            adopted: Counter::default(),
            revision: Gauge::default(),
            plan_reads: Family::default(),
            plan_fetches: Family::default(),
            plan_delay: Histogram::new(exponential_buckets(0.001, 2.0, 17)),
            term: Gauge::default(),
            leads: Gauge::default(),
            hears_leader: Gauge::default(),
            late_reads: Counter::default(),
            unreadable: Counter::default(),
            ended_replicas: Counter::default(),
            suspects: Counter::default(),
            suspect_parts: Counter::default(),
            refused_for_parts: Counter::default(),
            limited_replicas: Gauge::default(),
            backoffs: Counter::default(),
            backing_off_replicas: Gauge::default(),
            slow_replicas: Family::default(),
            leaving_answers: Counter::default(),
            failed_attempts: Family::default(),
            resumptions: Family::default(),
            stream_records: Family::default(),
            late_receipts: Counter::default(),
            silent_attempts: Counter::default(),
            stream_moves: Family::default(),
            unconfirmed_replicas: Counter::default(),
            retries: Family::default(),
            retry_budget_used: Family::default(),
            retry_budget_allowed: Family::default(),
            retry_budget_entries: Gauge::default(),
            retry_budget_age: Gauge::default(),
            rollout_state: Family::default(),
            rollout_step: Family::default(),
            rollout_sent: Family::default(),
            rollout_exposed: Family::default(),
            admission_refusals: Family::default(),
            admission_capacity: Family::default(),
            admission_demand: Family::default(),
            unreachable_services: Gauge::default(),
            forwarded: Counter::default(),
            taken_for_others: Counter::default(),
            registry: Registry::default(),
        };
        // Metrics of control come first, because collectors truncate long
        // pages.
        registry.register(
            "revision_in_force",
            "The configuration revision in force",
            metrics.revision.clone(),
        );
        registry.register(
            "control_term",
            "The term of this node's member of the log",
            metrics.term.clone(),
        );
        registry.register(
            "control_leads",
            "1 while this node's member of the log leads",
            metrics.leads.clone(),
        );
        registry.register(
            "control_hears_leader",
            "1 while this node's member of the log leads or hears a leader",
            metrics.hears_leader.clone(),
        );
        registry.register(
            "control_late_reads",
            "Reads that this node's member led and could not confirm in time",
            metrics.late_reads.clone(),
        );
        registry.register(
            "plan_reads",
            "Reads of the plan through the quorum, by outcome",
            metrics.plan_reads.clone(),
        );
        registry.register(
            "plan_fetches",
            "Fetches of the plan from other nodes, by outcome",
            metrics.plan_fetches.clone(),
        );
        registry.register(
            "plan_delay_seconds",
            "From the first report of a newer plan to its application",
            metrics.plan_delay.clone(),
        );
        registry.register(
            "unreadable_statements",
            "Statements of replicas that can't be used",
            metrics.unreadable.clone(),
        );
        registry.register(
            "ended_replicas",
            "Replicas that ended under requests of this node",
            metrics.ended_replicas.clone(),
        );
        registry.register(
            "suspects",
            "Requests kept away from replicas, as some ended under them",
            metrics.suspects.clone(),
        );
        registry.register(
            "suspect_parts",
            "Parts of prompts under which three replicas or more crashed",
            metrics.suspect_parts.clone(),
        );
        registry.register(
            "refused_for_parts",
            "Requests refused as replicas crashed under a part of the prompt",
            metrics.refused_for_parts.clone(),
        );
        registry.register(
            "limited_replicas",
            "Replicas known to take a limited rate of requests",
            metrics.limited_replicas.clone(),
        );
        registry.register(
            "backoffs",
            "Backoffs that replicas have requested of this node",
            metrics.backoffs.clone(),
        );
        registry.register(
            "backing_off_replicas",
            "Replicas that this node sends nothing now, as they requested",
            metrics.backing_off_replicas.clone(),
        );
        registry.register(
            "slow_replicas",
            "Replicas that this node considers slow, by service",
            metrics.slow_replicas.clone(),
        );
        registry.register(
            "leaving_answers",
            "Answers in which a replica announced that it leaves",
            metrics.leaving_answers.clone(),
        );
        registry.register(
            "failed_attempts",
            "Attempts at replicas that failed, by fault",
            metrics.failed_attempts.clone(),
        );
        registry.register(
            "resumptions",
            "Streams that callers resume, by outcome",
            metrics.resumptions.clone(),
        );
        registry.register(
            "stream_records",
            "Records of where streams begin, by outcome",
            metrics.stream_records.clone(),
        );
        registry.register(
            "late_receipts",
            "Receipts of records after their streams had begun",
            metrics.late_receipts.clone(),
        );
        registry.register(
            "silent_attempts",
            "Attempts beside which another replica was asked, for silence",
            metrics.silent_attempts.clone(),
        );
        registry.register(
            "stream_moves",
            "Searches for another replica to continue a stream, by outcome",
            metrics.stream_moves.clone(),
        );
        registry.register(
            "unconfirmed_replicas",
            "Attempts to resume a stream without proof of the version",
            metrics.unconfirmed_replicas.clone(),
        );
        registry.register(
            "retries",
            "Claims on the retry budgets, by service and outcome",
            metrics.retries.clone(),
        );
        registry.register(
            "retry_budget_used",
            "Retries in the window of the retry budget, by service",
            metrics.retry_budget_used.clone(),
        );
        registry.register(
            "retry_budget_allowed",
            "Retries that the budget allows in the window, by service",
            metrics.retry_budget_allowed.clone(),
        );
        registry.register(
            "retry_budget_entries",
            "Entries that share the slack of the retry budgets",
            metrics.retry_budget_entries.clone(),
        );
        registry.register(
            "retry_budget_age_seconds",
            "Since this process began to count retries",
            metrics.retry_budget_age.clone(),
        );
        registry.register(
            "rollout_state",
            "Newest roll-out: 0 running, 1 completed, 2 reverted",
            metrics.rollout_state.clone(),
        );
        registry.register(
            "rollout_step",
            "Times that the share of the new version was raised",
            metrics.rollout_step.clone(),
        );
        registry.register(
            "rollout_sent",
            "Attempts of this node at the service since the order",
            metrics.rollout_sent.clone(),
        );
        registry.register(
            "rollout_exposed",
            "Attempts of this node at the new version since the order",
            metrics.rollout_exposed.clone(),
        );
        registry.register(
            "admission_refusals",
            "Requests refused for want of capacity, by team and reason",
            metrics.admission_refusals.clone(),
        );
        registry.register(
            "admission_capacity_replicas",
            "Work that may be admitted, in replicas",
            metrics.admission_capacity.clone(),
        );
        registry.register(
            "admission_demand_replicas",
            "Work that callers ask for at all nodes, in replicas",
            metrics.admission_demand.clone(),
        );
        registry.register(
            "unreachable_services",
            "Services whose replicas this node can't reach",
            metrics.unreachable_services.clone(),
        );
        registry.register(
            "forwarded_requests",
            "Requests forwarded to other nodes",
            metrics.forwarded.clone(),
        );
        registry.register(
            "requests_of_other_nodes",
            "Requests that other nodes have forwarded to this one",
            metrics.taken_for_others.clone(),
        );
        registry.register(
            "latency_seconds",
            "From request to the end of its answer",
            metrics.latency.clone(),
        );
        registry.register(
            "first_token_seconds",
            "From request to the first piece of answer",
            metrics.first_token.clone(),
        );
        registry.register(
            "between_tokens_seconds",
            "Between two pieces of an answer",
            metrics.between_tokens.clone(),
        );
        registry.register(
            "queue_wait_seconds",
            "Wait for admission",
            metrics.queue_wait.clone(),
        );
        registry.register(
            "recomputed_tokens",
            "Tokens computed again because work moved or missed a cache",
            metrics.recomputed_tokens.clone(),
        );
        registry.register(
            "outcomes",
            "Answers other than success, by status and verdict",
            metrics.outcomes.clone(),
        );
        registry.register(
            "running_requests",
            "Requests under way",
            metrics.running.clone(),
        );
        registry.register(
            "moved_streams",
            "Streams moved to another endpoint",
            metrics.moved.clone(),
        );
        registry.register(
            "adopted_requests",
            "Requests taken over from another entry",
            metrics.adopted.clone(),
        );
        Metrics { registry, ..metrics }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn run(&self) -> Running {
        self.running.inc();
        Running(self.running.clone())
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}
