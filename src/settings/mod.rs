//! What the platform hands over (JSON) and what operators set (properties).
//!
//! Both are checked when they are read: an error names file, key and reason. Figures that follow
//! from them are worked out in `derived`.

#![warn(missing_docs)]

mod cells;
mod derived;
mod platform;
mod state_limits;
mod tuning;

pub use crate::settings::cells::CellsFile;
pub use crate::settings::platform::{
    CloudLimits, ControllerResources, Facts, Objective, Peer, Platform, Services, Team, Workers,
};
pub use crate::settings::state_limits::{NextStateLimits, StateLimits, StrictestLimits};
pub use crate::settings::tuning::Tuning;
use std::path::Path;
use std::sync::Arc;
use thiserror::Error;

/// A setting that ends the start: names file, key and reason in one line.
#[derive(Debug, Error)]
#[error("{file}: {key}: {reason}")]
pub struct SettingsError {
    /// The file that has it.
    pub file: String,
    /// The setting, or the line.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

fn bad(file: &str, key: &str, reason: impl Into<String>) -> SettingsError {
    SettingsError {
        file: file.into(),
        key: key.into(),
        reason: reason.into().replace('\n', " "),
    }
}

/// Everything that a controller is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// From the platform.
    pub platform: Platform,
    /// From the operators.
    pub tuning: Tuning,
    /// The cells that share team limits with this one, if there are any.
    pub cells: Option<Arc<CellsFile>>,
}

impl Settings {
    /// Reads and checks all files.
    pub fn load(
        config: &Path,
        properties: Option<&Path>,
        cells: Option<&Path>,
    ) -> Result<Self, SettingsError> {
        let name = config.display().to_string();
        let text = read(config, &name)?;
        let platform = Platform::parse(&text, &name)?;
        let tuning = match properties {
            None => Tuning::parse(None)?,
            Some(path) => {
                let name = path.display().to_string();
                Tuning::parse(Some((&name, &read(path, &name)?)))?
            }
        };
        let cells = match cells {
            None => None,
            Some(path) => {
                let name = path.display().to_string();
                Some(Arc::new(CellsFile::parse(
                    &read(path, &name)?,
                    &name,
                    &platform,
                )?))
            }
        };
        Ok(Self {
            platform,
            tuning,
            cells,
        })
    }
}

fn read(path: &Path, name: &str) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|e| bad(name, "(file)", e.to_string()))
}
