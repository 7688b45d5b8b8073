//! Verdicts and causes of refused and failed requests.

use std::fmt;
use std::time::Duration;

/// Whether a request has run at an upstream, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The upstream ran the request, and its complete answer has been received.
    Ran,
    /// The request is known not to have run.
    NotRun,
    /// The request may or may not have run.
    MayHaveRun,
}

impl Verdict {
    /// Returns the text used in headers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }

    /// Parses the text used in headers.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "ran" => Some(Self::Ran),
            "not-run" => Some(Self::NotRun),
            "may-have-run" => Some(Self::MayHaveRun),
            _ => None,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! causes {
    ($($(#[$doc:meta])* $name:ident => $text:literal, $status:literal, $verdict:ident, $retryable:literal;)*) => {
        /// Reason why a request was refused or failed.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Cause {
            $($(#[$doc])* $name,)*
        }

        impl Cause {
            /// All causes.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the text used in headers and logs.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the HTTP status code of a refusal with this cause.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns whether the request may have run.
            pub const fn verdict(self) -> Verdict {
                match self { $(Self::$name => Verdict::$verdict,)* }
            }

            /// Returns whether another attempt before the deadline can succeed.
            pub const fn is_retryable(self) -> bool {
                match self { $(Self::$name => $retryable,)* }
            }
        }
    };
}

causes! {
    /// The request line, a header or the body is malformed.
    BadRequest => "bad-request", 400, NotRun, false;
    /// The first segment of the path is not the name of a service.
    NoSuchService => "no-such-service", 404, NotRun, false;
    /// No kind of the service matches the method and path.
    NoSuchKind => "no-such-kind", 404, NotRun, false;
    /// No route matches the host name and path.
    NoRoute => "no-route", 404, NotRun, false;
    /// The request head exceeds the size limit.
    HeadTooLarge => "head-too-large", 431, NotRun, false;
    /// The request head or body did not arrive in time.
    RequestTimeout => "request-timeout", 408, NotRun, false;
    /// The request lacks the key that its kind requires.
    MissingKey => "missing-key", 400, NotRun, false;
    /// The body exceeds the size limit of the kind.
    BodyTooLarge => "body-too-large", 413, NotRun, false;
    /// The body did not arrive completely in time.
    BodyIncomplete => "body-incomplete", 400, NotRun, false;
    /// No configuration has been received yet.
    NoConfiguration => "no-configuration", 503, NotRun, true;
    /// The deadline cannot be met, or passed before the request was sent.
    DeadlineUnreachable => "deadline-unreachable", 503, NotRun, false;
    /// The queue of this rank is full.
    QueueFull => "queue-full", 503, NotRun, false;
    /// This host is close to its own limits.
    HostBusy => "host-busy", 503, NotRun, false;
    /// This host is stopping.
    HostStopping => "host-stopping", 503, NotRun, true;
    /// The shard has no reachable owner.
    NoOwner => "no-owner", 503, NotRun, true;
    /// The shard's failure domain is unreachable.
    DomainUnreachable => "domain-unreachable", 503, NotRun, false;
    /// The request can only run in a failure domain that the operators have evacuated.
    DomainEvacuated => "domain-evacuated", 503, NotRun, false;
    /// No connection to the primary host could be made, so nothing was sent.
    PrimaryUnreachable => "primary-unreachable", 503, NotRun, true;
    /// The host that received the request is not the upstream's primary.
    NotPrimary => "not-primary", 503, NotRun, true;
    /// The lease lapsed before the request was sent.
    LeaseLapsed => "lease-lapsed", 503, NotRun, true;
    /// The shard is moving to another upstream.
    ShardMoving => "shard-moving", 503, NotRun, true;
    /// The upstream is leaving and accepts no new requests.
    UpstreamLeaving => "upstream-leaving", 503, NotRun, true;
    /// The upstream answered that it did not run the request.
    UpstreamRefused => "upstream-refused", 503, NotRun, true;
    /// The upstream does not hold the request's key.
    KeyMisplaced => "key-misplaced", 503, NotRun, true;
    /// Every upstream that could run the request is expected to take too long.
    Overloaded => "overloaded", 503, NotRun, false;
    /// The share of the request's rank is used up, as its service is short.
    ShareExceeded => "share-exceeded", 503, NotRun, false;
    /// No connection to the upstream could be made, so nothing was sent.
    UpstreamUnreachable => "upstream-unreachable", 503, NotRun, true;
    /// Requests with the same fingerprint have crashed upstreams.
    Quarantined => "quarantined", 503, NotRun, false;
    /// The journal cannot be written, so that running at most once cannot be ensured.
    JournalUnavailable => "journal-unavailable", 503, NotRun, true;
    /// An earlier request used this idempotency key with another kind or body.
    KeyReused => "idempotency-key-reused", 422, NotRun, false;
    /// The same request is running, or its outcome was lost.
    OutcomeUnknown => "outcome-unknown", 504, MayHaveRun, false;
    /// The connection to the primary failed after the request was sent.
    PrimaryLost => "primary-lost", 502, MayHaveRun, true;
    /// The connection to the relay failed after the request was sent.
    RelayLost => "relay-lost", 502, MayHaveRun, true;
    /// The connection to the upstream failed after the request was sent.
    UpstreamLost => "upstream-lost", 502, MayHaveRun, true;
    /// The upstream did not answer in time.
    UpstreamTimeout => "upstream-timeout", 504, MayHaveRun, false;
    /// The connection to the upstream became silent.
    ConnectionSilent => "connection-silent", 504, MayHaveRun, true;
    /// The answer was truncated or did not match the request.
    AnswerInvalid => "answer-invalid", 502, MayHaveRun, true;
}

impl Cause {
    /// Parses the text used in headers.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|cause| cause.as_str() == text)
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal of a request, without an answer from an upstream, and its cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The cause, which implies the verdict.
    pub cause: Cause,
    /// Delay after which another attempt is likely to succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    pub const fn new(cause: Cause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }

    /// Sets the delay after which another attempt is likely to succeed.
    pub const fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns whether the request may have run.
    pub const fn verdict(self) -> Verdict {
        self.cause.verdict()
    }
}

impl From<Cause> for Refusal {
    fn from(cause: Cause) -> Self {
        Self::new(cause)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.verdict(), self.cause)
    }
}

impl std::error::Error for Refusal {}
