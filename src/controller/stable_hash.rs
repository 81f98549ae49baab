//! A hash of names that is the same in every process and release.

/// A token from a name, the same everywhere (FNV-1a).
pub(crate) fn stable_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
