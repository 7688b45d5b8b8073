//! Stable hash that maps keys to shards.

use kernel::ShardId;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the 64-bit xxHash3 of a key, with seed 0.
pub fn hash_key(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

/// Returns the shard of a key among `shards` shards.
///
/// The high half of the product of hash and count distributes keys evenly without a
/// division.
pub fn shard_of_key(key: &str, shards: u32) -> ShardId {
    let scaled = u128::from(hash_key(key)) * u128::from(shards);
    ShardId((scaled >> 64) as u32)
}
