//! HTTP/1.1 heads and bodies with exact framing.
//!
//! A router must never mistake a truncated message for a complete one. This crate
//! parses heads with `httparse` and adds the framing checks that decide where a
//! message ends: a truncated body is an error and never an end of body, and messages
//! whose length is ambiguous are refused.
//!
//! ```
//! use h1::{BodyLength, Connection, HeadLimits};
//! use futures::io::Cursor;
//!
//! async_std::task::block_on(async {
//!     let bytes = b"POST /pay HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf".to_vec();
//!     let mut connection = Connection::new(Cursor::new(bytes));
//!     let head = connection.read_request(&HeadLimits::default()).await.unwrap().unwrap();
//!     assert_eq!(head.body, BodyLength::Fixed(9));
//!     let body = connection.read_whole_body(head.body, 1024).await;
//!     assert!(matches!(body, Err(h1::Error::Truncated)));
//! });
//! ```

mod accept;
mod body;
mod connection;
mod dial;
mod error;
mod head;
mod write;

pub use accept::accept;
pub use body::{BodyLength, BodyReader};
pub use connection::Connection;
pub use dial::{DialError, dial, enable_keepalive, is_idle, reset};
pub use error::{Error, Result};
pub use head::{
    HeadLimits, HeaderList, RequestHead, ResponseHead, ResponsePart, is_hop_by_hop_header,
};
pub use write::{encode_request_head, encode_response_head, reason_phrase};
