//! A hash function for names whose result is the same in every process and release.

/// Returns the 64-bit FNV-1a hash of a name, with the standard offset basis and prime. Processes
/// of different releases must get the same result.
pub(crate) fn stable_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
