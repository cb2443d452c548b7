//! The headers that a gateway interprets, in the form of one platform.
//!
//! A gateway routes by host and path and forwards messages unchanged. It
//! interprets only a few headers. Their names and formats depend on the
//! platform, so a [`Dialect`] parses them into these types and writes the
//! headers that the gateway sets.

use std::fmt;

use http::{HeaderMap, HeaderValue, StatusCode};

pub use crate::backoff::Backoff;
use crate::util::common;

common! {
    /// What a caller's request headers contain.
    pub struct RequestInfo {
        /// Request id. Replicas echo it, which matches answers to requests.
        pub id: Option<HeaderValue>,
        /// How long the caller waits, in ms.
        pub deadline_ms: Option<u64>,
        /// API key, which identifies the team.
        pub key: Option<String>,
        /// Number of prompt tokens and maximum number of answer tokens.
        pub tokens: Option<(u64, u64)>,
        /// The parts of the prompt in order, as id and number of tokens.
        pub parts: Vec<(u64, u32)>,
        /// Id of the event after which the stream resumes.
        pub last_event: Option<u64>,
        /// Id of the request that brought the first event of the stream that
        /// this one resumes; empty if it can't be parsed.
        pub resumes: Option<String>,
    }
}

impl RequestInfo {
    /// Returns the parts that other prompts may share. The last part of a
    /// prompt is its own.
    pub fn shared_parts(&self) -> &[(u64, u32)] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the id of the last part that other prompts may share, 0 if
    /// there is none.
    pub fn prefix(&self) -> u64 {
        self.shared_parts().last().map_or(0, |(part, _)| *part)
    }

    /// Formats the ids of the parts that other prompts may share, for the log.
    pub fn shown_parts(&self) -> impl fmt::Display + '_ {
        ShownParts(self.shared_parts())
    }
}

struct ShownParts<'a>(&'a [(u64, u32)]);

impl fmt::Display for ShownParts<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, (part, _)) in self.0.iter().enumerate() {
            let separator = if at > 0 { "," } else { "" };
            write!(out, "{separator}{part:x}")?;
        }
        Ok(())
    }
}

common! {
    /// What a gateway sends to a replica in addition to the caller's headers.
    pub struct AttemptInfo<'a> {
        /// The only replica that may run the request.
        pub replica: &'a str,
        /// The team that the request belongs to.
        pub team: Option<&'a str>,
        /// How long the gateway waits for the answer, in ms.
        pub deadline_ms: u64,
        /// Urgency, from 0 (most urgent) to 9.
        pub urgency: Option<u8>,
        /// Another replica that has more of the prompt in its cache.
        pub fetch_from: Option<std::net::SocketAddrV4>,
        /// Id of the event after which the stream resumes at this replica.
        pub last_event: Option<u64>,
    }
}

common! {
    /// What the head of a replica's answer contains.
    pub struct AnswerInfo {
        /// True when the replica declares that it did not run the request.
        pub not_run: bool,
        /// True when another replica has this address now.
        pub wrong_replica: bool,
        /// True when the answer is shown to be that to the request. Nothing
        /// else that an answer says counts without it.
        pub matches: bool,
        /// True when the answer bears the replica's seal.
        pub is_sealed: bool,
        /// Requests running and queued at the replica.
        pub load: Option<u32>,
        /// How long work takes at the replica now, in percent of the usual
        /// time.
        pub work_time: Option<f32>,
        /// How long the replica keeps an idle connection open, in ms.
        pub keep_ms: Option<u64>,
        /// The rate limit that the replica announces.
        pub limit: Limit,
        /// How long the replica asks this node to send it no requests.
        pub backoff: Backoff,
        /// True when the replica announces that it leaves.
        pub is_leaving: bool,
        /// The rejections a second that the replica bears.
        pub brittle: Limit,
    }
}

common! {
    /// A limit in the head of a replica's answer.
    #[derive(Copy)]
    pub enum Limit {
        /// The replica has no such limit.
        None,
        /// Requests or rejections a second, for all nodes together.
        PerSecond(f32),
        /// The header can't be parsed, and the previous limit stays in force.
        Unreadable,
    }
}

/// Reads and writes the headers of one platform.
pub trait Dialect: Send + Sync + 'static {
    /// Parses a request's headers. Headers that can't be parsed are ignored.
    fn parse_request(&self, headers: &HeaderMap) -> RequestInfo;

    /// Returns true if answers to requests without an id can't be told from
    /// other answers, so that such requests are refused.
    fn requires_id(&self) -> bool {
        false
    }

    /// Removes the headers that callers may not set, and sets those that the
    /// gateway sends to a replica.
    fn set_headers(
        &self,
        headers: &mut HeaderMap,
        attempt_info: &AttemptInfo<'_>,
    );

    /// Parses the head of an answer to a request with the id `request_id`.
    fn parse_answer(
        &self,
        request_id: Option<&HeaderValue>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerInfo;
}
