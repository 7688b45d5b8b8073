//! Whether a request may have run.

use std::fmt;
use std::time::Duration;

/// What is known of a request's execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The upstream ran it and its whole answer is known.
    Ran,
    /// It certainly did not run.
    NotRun,
    /// It may or may not have run.
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
    ($($(#[$doc:meta])* $name:ident => $text:literal, $status:literal, $verdict:ident, $again:literal;)*) => {
        /// Why a request was refused or failed.
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

            /// Returns whether another attempt inside the deadline can succeed.
            pub const fn is_retryable(self) -> bool {
                match self { $(Self::$name => $again,)* }
            }
        }
    };
}

causes! {
    /// The request line, a header or the body is malformed.
    BadRequest => "bad-request", 400, NotRun, false;
    /// No service has the first path part as its name.
    NoSuchService => "no-such-service", 404, NotRun, false;
    /// No kind of work matches the method and path.
    NoSuchKind => "no-such-kind", 404, NotRun, false;
    /// No route covers the host name and path.
    NoRoute => "no-route", 404, NotRun, false;
    /// The head exceeds the limit.
    HeadTooLarge => "head-too-large", 431, NotRun, false;
    /// The head or body did not arrive in time.
    RequestTimeout => "request-timeout", 408, NotRun, false;
    /// The key is absent where the kind of work expects it.
    MissingKey => "missing-key", 400, NotRun, false;
    /// The body exceeds the kind's limit.
    BodyTooLarge => "body-too-large", 413, NotRun, false;
    /// The body did not arrive whole in time.
    BodyIncomplete => "body-incomplete", 400, NotRun, false;
    /// No configuration has been received yet.
    NoConfiguration => "no-configuration", 503, NotRun, true;
    /// The deadline can't be met, or has passed before the request was sent.
    DeadlineUnreachable => "deadline-unreachable", 503, NotRun, false;
    /// The queue of this rank is full.
    QueueFull => "queue-full", 503, NotRun, false;
    /// This host is near its own limits.
    HostBusy => "host-busy", 503, NotRun, false;
    /// This host is stopping.
    HostStopping => "host-stopping", 503, NotRun, true;
    /// The shard has no reachable owner.
    NoOwner => "no-owner", 503, NotRun, true;
    /// The shard's failure domain is unreachable.
    DomainUnreachable => "domain-unreachable", 503, NotRun, false;
    /// The primary host could not be reached; nothing was sent.
    PrimaryUnreachable => "primary-unreachable", 503, NotRun, true;
    /// The host that got the request is not the upstream's primary.
    NotPrimary => "not-primary", 503, NotRun, true;
    /// The lease lapsed before the request was sent.
    LeaseLapsed => "lease-lapsed", 503, NotRun, true;
    /// The shard is moving to another upstream.
    ShardMoving => "shard-moving", 503, NotRun, true;
    /// The upstream is leaving and takes no new work.
    UpstreamLeaving => "upstream-leaving", 503, NotRun, true;
    /// The upstream answered that it did not run the request.
    UpstreamRefused => "upstream-refused", 503, NotRun, true;
    /// The upstream does not hold the request's key.
    KeyMisplaced => "key-misplaced", 503, NotRun, true;
    /// Every upstream that could run it is expected to take too long.
    Overloaded => "overloaded", 503, NotRun, false;
    /// The upstream could not be connected to; nothing was sent.
    UpstreamUnreachable => "upstream-unreachable", 503, NotRun, true;
    /// Requests like this one crashed upstreams.
    Quarantined => "quarantined", 503, NotRun, false;
    /// The journal can't be written, so at most one run can't be ensured.
    JournalUnavailable => "journal-unavailable", 503, NotRun, true;
    /// A request with this idempotency key and another body came before.
    KeyReused => "idempotency-key-reused", 422, NotRun, false;
    /// The same request is running, or its outcome was lost.
    OutcomeUnknown => "outcome-unknown", 504, MayHaveRun, false;
    /// The connection to the primary failed after the request was sent.
    PrimaryLost => "primary-lost", 502, MayHaveRun, true;
    /// The connection to the upstream failed after the request was sent.
    UpstreamLost => "upstream-lost", 502, MayHaveRun, true;
    /// The upstream did not answer in time.
    UpstreamTimeout => "upstream-timeout", 504, MayHaveRun, false;
    /// The connection to the upstream went silent.
    ConnectionSilent => "connection-silent", 504, MayHaveRun, true;
    /// The answer was cut short or did not match the request.
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

/// A request that got no answer from an upstream, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The cause, which implies the verdict.
    pub cause: Cause,
    /// When another try is likely to succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Builds a refusal with no hint on when to try again.
    pub const fn new(cause: Cause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }

    /// Adds the time after which another try is likely to succeed.
    pub const fn after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
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
