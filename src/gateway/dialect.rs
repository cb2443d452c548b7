//! How a platform's clients and replicas write what a gateway has to know.
//!
//! A gateway routes by host and path and passes messages on as they are; only
//! some headers mean something to it. Their names and forms are a platform's
//! own, so a [`Dialect`] reads them once into these types, and writes those
//! that the gateway sets.

use http::{HeaderMap, HeaderValue, StatusCode};

use crate::util::common;

common! {
    /// What a request's headers say.
    pub struct Asked {
        /// Echoed by replicas; tells answers apart.
        pub id: Option<HeaderValue>,
        /// How long the client waits, in ms.
        pub deadline_ms: Option<u64>,
        /// Names the team.
        pub key: Option<String>,
        /// Prompt tokens and the most tokens of answer.
        pub tokens: Option<(u64, u64)>,
        /// The parts of the prompt in order: what tells each apart, and its
        /// tokens.
        pub parts: Vec<(u64, u32)>,
        /// The event after which a stream goes on.
        pub last_event: Option<u64>,
    }
}

impl Asked {
    /// Names what the prompt may share with others: all but its own part.
    pub fn prefix(&self) -> u64 {
        self.parts.iter().rev().nth(1).map_or(0, |(part, _)| *part)
    }
}

common! {
    /// What a gateway tells a replica beside the client's own headers.
    pub struct Sending<'a> {
        /// The only replica that may run the request.
        pub replica: &'a str,
        /// Whose request it is.
        pub team: Option<&'a str>,
        /// How long the answer is waited for, in ms.
        pub deadline_ms: u64,
        /// From 0, the most urgent, to 9.
        pub urgency: Option<u8>,
        /// Another replica that has more of the prompt in its cache.
        pub fetch_from: Option<std::net::SocketAddrV4>,
        /// The event after which the stream goes on here.
        pub last_event: Option<u64>,
    }
}

common! {
    /// What the head of a replica's answer says.
    pub struct Answered {
        /// The replica says that it did not run the request.
        pub not_run: bool,
        /// Another replica has this address now.
        pub wrong_replica: bool,
        /// False when the answer belongs to another request.
        pub matches: bool,
        /// Requests running and waiting there.
        pub load: Option<u32>,
        /// How long the replica keeps an idle connection, in ms.
        pub keep_ms: Option<u64>,
        /// The rate of requests that it takes.
        pub limit: Limit,
    }
}

common! {
    /// What an answer says of the rate of requests that its replica takes.
    #[derive(Copy)]
    pub enum Limit {
        /// Any.
        None,
        /// So many requests a second from all nodes together.
        PerSecond(f32),
        /// Something that can't be read: what was known before holds.
        Unreadable,
    }
}

/// Reads and writes the headers of one platform.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a request's headers. What can't be read counts as not there.
    fn read(&self, headers: &HeaderMap) -> Asked;

    /// Removes what clients may not set, and sets what the gateway does.
    fn write(&self, headers: &mut HeaderMap, sending: &Sending<'_>);

    /// Reads the head of an answer to a request with the id `asked`.
    fn judge(
        &self,
        asked: Option<&HeaderValue>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Answered;
}
