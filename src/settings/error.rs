//! Errors in settings.

use std::io;
use thiserror::Error;

/// A setting that isn't accepted, so that the controller doesn't start. The message gives file, key
/// and reason on one line.
#[derive(Debug, Error)]
#[error("{file}: {key}: {}", one_line(.reason))]
pub struct SettingsError {
    /// The file with the setting.
    pub file: String,
    /// Key of the setting, or the line in the file.
    pub key: String,
    /// Why the setting isn't accepted.
    pub reason: Reason,
}

impl SettingsError {
    /// Returns an error about one setting of a file.
    pub(super) fn new(file: &str, key: &str, reason: Reason) -> Self {
        Self {
            file: file.into(),
            key: key.into(),
            reason,
        }
    }

    /// Returns an error about a file as a whole.
    pub(super) fn whole_file(file: &str, reason: impl Into<Reason>) -> Self {
        Self::new(file, WHOLE_FILE_KEY, reason.into())
    }
}

/// The key in errors about a file as a whole.
const WHOLE_FILE_KEY: &str = "(file)";

/// Returns the reason on one line. Messages of parsers may have several lines.
fn one_line(reason: &Reason) -> String {
    reason.to_string().replace('\n', " ")
}

/// Why a setting isn't accepted.
#[derive(Debug, Error)]
pub enum Reason {
    /// The file can't be read.
    #[error(transparent)]
    File(#[from] io::Error),
    /// The platform's file isn't valid JSON of the expected form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The file isn't in the Java properties format.
    #[error(transparent)]
    Properties(#[from] java_properties::PropertiesError),
    /// The settings of the standby contradict each other.
    #[error(transparent)]
    Standby(#[from] salttrestle_standby::config::ConfigError),
    /// No setting has this key.
    #[error("unknown key")]
    UnknownKey,
    /// The setting is missing and has no default.
    #[error("is missing")]
    Missing,
    /// The text isn't a number.
    #[error("'{0}' is not a number")]
    NotANumber(String),
    /// The number is outside its bounds.
    #[error("must be from {low} to {high}")]
    OutOfBounds {
        /// The lower bound.
        low: f64,
        /// The upper bound.
        high: f64,
    },
    /// The number must be positive.
    #[error("must be greater than 0")]
    NotPositive,
    /// The number must not be negative.
    #[error("must not be negative")]
    Negative,
    /// The number is too small.
    #[error("must be at least {0}")]
    BelowMinimum(usize),
    /// The list of zones is empty.
    #[error("must contain at least one zone")]
    NoZone,
    /// The time limit for cancellations must be longer than the workers' lease, since a worker that
    /// can't be reached runs its tasks until its lease expires.
    #[error("must be longer than facts.workers.lease_s")]
    ShorterThanLease,
    /// Two controllers have the same name.
    #[error("{0} occurs more than once")]
    DuplicateController(String),
    /// The listeners for clients and for peers have the same address.
    #[error("must differ from listen")]
    SameAsListen,
    /// The text isn't a generation of the cells file.
    #[error("'{0}' is not a positive integer")]
    NotAGeneration(String),
    /// The key doesn't contain a valid cell name and a controller id.
    #[error("the key must have the form cell.CELL.MEMBER")]
    NotACellMember,
    /// The text isn't an IPv4 address with a port.
    #[error("'{0}' is not an IPv4 address with a port")]
    NotAnAddress(String),
    /// The file has too few or too many cells.
    #[error("there must be 2 to {0} cells")]
    CellCount(usize),
    /// No cell has this name.
    #[error("there is no cell {0}")]
    UnknownCell(String),
    /// Too many teams have a limit.
    #[error("at most {0} teams may have limits")]
    TooManyTeams(usize),
    /// No team of this name has a limit in the platform's settings.
    #[error("no team of this name has a limit")]
    UnknownTeam,
    /// The generation in which a team was added is later than the file's generation.
    #[error("must not be greater than cells.generation")]
    AfterGeneration,
    /// The text isn't two numbers.
    #[error("'{0}' is not a number of CPUs and a number of GPUs")]
    NotAnAmount(String),
    /// The floor is for a team that has no limit, or is negative or not finite.
    #[error("the team has no limit, or the floor is negative or not finite")]
    InvalidFloor,
    /// The sum of a team's floors in all cells exceeds the team's limit.
    #[error("the sum over {0} cells exceeds the team's limit")]
    FloorsExceedLimit(usize),
}
