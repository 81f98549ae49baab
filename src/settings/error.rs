//! What is wrong with a setting.

use std::io;
use thiserror::Error;

/// A setting that ends the start: names file, key and reason in one line.
#[derive(Debug, Error)]
#[error("{file}: {key}: {}", one_line(.reason))]
pub struct SettingsError {
    /// The file that has it.
    pub file: String,
    /// The setting, or the line.
    pub key: String,
    /// What is wrong with it.
    pub reason: Reason,
}

impl SettingsError {
    /// What is wrong with one setting of a file.
    pub(super) fn new(file: &str, key: &str, reason: Reason) -> Self {
        Self {
            file: file.into(),
            key: key.into(),
            reason,
        }
    }

    /// What is wrong with a file as a whole.
    pub(super) fn whole_file(file: &str, reason: impl Into<Reason>) -> Self {
        Self::new(file, WHOLE_FILE, reason.into())
    }
}

/// The key of errors that concern a file as a whole.
const WHOLE_FILE: &str = "(file)";

/// Messages of parsers may have several lines.
fn one_line(reason: &Reason) -> String {
    reason.to_string().replace('\n', " ")
}

/// Why a setting isn't accepted.
#[derive(Debug, Error)]
pub enum Reason {
    /// The file can't be read.
    #[error(transparent)]
    File(#[from] io::Error),
    /// The platform's file isn't the JSON that is expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A file isn't Java-style properties.
    #[error(transparent)]
    Properties(#[from] java_properties::PropertiesError),
    /// The settings of the standby don't fit together.
    #[error(transparent)]
    Standby(#[from] salttrestle_standby::config::ConfigError),
    /// There is no such setting.
    #[error("unknown key")]
    UnknownKey,
    /// The setting has no default and isn't there.
    #[error("is missing")]
    Missing,
    /// The text isn't a number.
    #[error("'{0}' is not a number")]
    NotANumber(String),
    /// The number lies outside its bounds.
    #[error("must lie in {low} to {high}")]
    OutOfBounds {
        /// The lower bound.
        low: f64,
        /// The upper bound.
        high: f64,
    },
    /// The number must be positive.
    #[error("must be a number above 0")]
    NotPositive,
    /// The number must be 0 or more.
    #[error("must not be negative")]
    Negative,
    /// The number is too small.
    #[error("must be at least {0}")]
    BelowMinimum(usize),
    /// No zone is named.
    #[error("must name a zone")]
    NoZone,
    /// Cancelled jobs would have to be gone before a lease is over.
    #[error("must be longer than facts.workers.lease_s")]
    ShorterThanLease,
    /// Two controllers have the same name.
    #[error("{0} stands twice")]
    DuplicateController(String),
    /// Two listeners have the same address.
    #[error("must differ from listen")]
    SameAsListen,
    /// The text isn't a generation of the cells file.
    #[error("'{0}' is no generation")]
    NotAGeneration(String),
    /// The key doesn't name a cell and a controller.
    #[error("isn't cell.CELL.MEMBER")]
    NotACellMember,
    /// The text isn't an address with a port.
    #[error("'{0}' is no address")]
    NotAnAddress(String),
    /// Too few or too many cells.
    #[error("there must be 2 to {0} cells")]
    CellCount(usize),
    /// No cell has this name.
    #[error("there is no cell {0}")]
    UnknownCell(String),
    /// Too many teams have limits.
    #[error("at most {0} teams may have limits")]
    TooManyTeams(usize),
    /// No team with a limit has this name.
    #[error("no team of this name has a limit")]
    UnknownTeam,
    /// A team can't come with a generation that is yet to be.
    #[error("lies after cells.generation")]
    AfterGeneration,
    /// The text isn't two amounts.
    #[error("'{0}' isn't CPUs and GPUs")]
    NotAnAmount(String),
    /// The floor of a team that has no limit, or a floor that is no amount.
    #[error("is of no team with a limit, or no amount")]
    InvalidFloor,
    /// The floors of all cells exceed the team's limit.
    #[error("in {0} cells that is more than the team's limit")]
    FloorsExceedLimit(usize),
}
