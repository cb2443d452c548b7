//! What a member knows about reads that it can't confirm and about elections,
//! for its log.

use super::{Identity, Node, Role};

/// Reads that a leader could not confirm for some time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnconfirmedReads {
    /// The ages of the reads in ms, oldest first.
    pub ages_ms: Vec<u64>,
    /// The voters that have not confirmed the oldest of them.
    pub missing: Vec<MissingVoter>,
}

/// A voter whose confirmation a leader's read lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingVoter {
    /// The voter's address.
    pub address: String,
    /// Time since the newest round that the voter has confirmed was sent, in
    /// ms.
    pub silent_ms: u64,
    /// Number of entries that the voter lacks, as far as the leader knows.
    pub lacks: u64,
    /// Time since a snapshot was sent that the voter has not acknowledged, in
    /// ms.
    pub snapshot_ms: Option<u64>,
}

/// The election that a member takes part in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidacy {
    /// Whether it asks for pre-votes.
    pub pre_vote: bool,
    /// Addresses of the voters that have voted for the member, with its own.
    pub votes: Vec<String>,
}

impl Node {
    /// The reads that this leader has not confirmed for `min_age_ms`; `None`
    /// if there are none or this node is not the leader.
    pub fn unconfirmed_reads(
        &self,
        now: u64,
        min_age_ms: u64,
    ) -> Option<UnconfirmedReads> {
        let Role::Leader(leader_state) = &self.role else { return None };
        let late = leader_state
            .reads
            .iter()
            .filter(|read| now >= read.started_at + min_age_ms);
        let round = late.clone().map(|read| read.round).min()?;
        let mut ages_ms: Vec<u64> =
            late.map(|read| now - read.started_at).collect();
        ages_ms.sort_unstable_by(|left, right| right.cmp(left));
        let last_index = self.last_index();
        let voters = self.members().iter().filter(|member| member.voter);
        let missing = voters.filter_map(|voter| {
            let identity = Identity::from(voter);
            let progress = leader_state.progress.iter().find(|progress| {
                progress.member == identity && progress.acked_round < round
            })?;
            Some(MissingVoter {
                address: voter.address.clone(),
                silent_ms: now.saturating_sub(progress.confirmed_at),
                lacks: last_index.saturating_sub(progress.matched_index),
                snapshot_ms: progress
                    .snapshot_sent_at
                    .map(|sent_at| now.saturating_sub(sent_at)),
            })
        });
        Some(UnconfirmedReads { ages_ms, missing: missing.collect() })
    }

    /// The election that this node has started and neither won nor lost.
    pub fn candidacy(&self) -> Option<Candidacy> {
        let Role::Candidate { pre_vote, votes, .. } = &self.role else {
            return None;
        };
        let voted = self
            .members()
            .iter()
            .filter(|member| votes.contains(&Identity::from(*member)))
            .map(|member| member.address.clone());
        Some(Candidacy { pre_vote: *pre_vote, votes: voted.collect() })
    }
}
