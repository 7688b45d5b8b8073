//! What the sender of a request may do once its use of a relay has ended.

use crate::message::{RelayRefusal, RelayReply};
use kernel::Cause;
use place::RequestOutcome;

/// How the use of a relay ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayEnd {
    /// No connection could be made, or it failed before the whole request was written. A
    /// relay forwards only a request that it has read to its end.
    NotWritten,
    /// The connection failed after the whole request was written.
    Lost,
    /// The relay sent nothing for too long after the whole request was written.
    Silent,
    /// The time left ran out after the whole request was written.
    TimedOut,
    /// The response was malformed, or is for another request.
    Unintelligible,
    /// The relay replied.
    Replied(RelayReply),
}

impl RelayEnd {
    /// Returns the name of the failure for logs and metrics; `None` if the relay did its
    /// part.
    pub fn failure(&self) -> Option<&'static str> {
        match self {
            Self::NotWritten => Some("not-written"),
            Self::Lost => Some("lost"),
            Self::Silent => Some("silent"),
            Self::TimedOut => Some("timed-out"),
            Self::Unintelligible => Some("unintelligible"),
            Self::Replied(RelayReply::Refused(refusal)) => Some(refusal.as_str()),
            Self::Replied(_) => None,
        }
    }

    /// Returns whether the relay should be avoided for a while.
    pub fn is_relay_at_fault(&self) -> bool {
        match self {
            Self::NotWritten | Self::Lost | Self::Silent | Self::Unintelligible => true,
            Self::Replied(RelayReply::Refused(refusal)) => match refusal {
                RelayRefusal::Stopping | RelayRefusal::OtherProgram | RelayRefusal::Full => true,
                // The relay will know the upstream's run a moment later.
                RelayRefusal::WrongRun
                | RelayRefusal::Invalid
                | RelayRefusal::Cold
                | RelayRefusal::ConnectionRefused => false,
            },
            // The upstream may be what is slow.
            Self::TimedOut | Self::Replied(_) => false,
        }
    }
}

/// What the sender does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The request has not run, and goes to the upstream directly within the same
    /// attempt.
    SendDirectly,
    /// The attempt has failed; its cause says whether the request may have run.
    Fail {
        /// The cause.
        cause: Cause,
        /// How the attempt counts for the upstream's load.
        outcome: RequestOutcome,
    },
    /// The upstream's answer has arrived.
    UseAnswer,
}

/// Returns the next step of the sender.
pub fn next_step(end: &RelayEnd) -> NextStep {
    let fail = |cause| NextStep::Fail {
        cause,
        // A failed relay says nothing about the upstream.
        outcome: RequestOutcome::Abandoned,
    };
    match end {
        RelayEnd::NotWritten | RelayEnd::Replied(RelayReply::Refused(_)) => NextStep::SendDirectly,
        RelayEnd::Lost | RelayEnd::Silent | RelayEnd::Unintelligible => fail(Cause::RelayLost),
        RelayEnd::TimedOut => fail(Cause::UpstreamTimeout),
        RelayEnd::Replied(RelayReply::Failed { cause, outcome }) => NextStep::Fail {
            cause: *cause,
            outcome: *outcome,
        },
        RelayEnd::Replied(RelayReply::Answered { .. }) => NextStep::UseAnswer,
    }
}
