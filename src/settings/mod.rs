//! Settings of a controller: the platform's (JSON) and the operators' (Java properties).
//!
//! All files are validated when they are read. An error gives file, key and reason. Values that
//! follow from several settings are computed in `derived`.

#![warn(missing_docs)]

mod cells;
mod derived;
mod error;
mod platform;
mod store_limits;
mod tuning;

pub use crate::settings::cells::CellsFile;
pub use crate::settings::error::{Reason, SettingsError};
pub use crate::settings::platform::{
    CloudLimits, ControllerResources, Facts, Objective, Peer, Platform, Services, Team, WorkerTimes,
};
pub use crate::settings::store_limits::{NextStoreLimits, StoreLimits, StrictestLimits};
pub use crate::settings::tuning::Tuning;
use std::path::Path;
use std::sync::Arc;

/// All settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The platform's settings.
    pub platform: Platform,
    /// The operators' settings.
    pub tuning: Tuning,
    /// The cells that share team limits, if this cell shares any.
    pub cells: Option<Arc<CellsFile>>,
}

impl Settings {
    /// Reads and validates all files. Without a properties file, the defaults apply.
    pub fn load(
        config: &Path,
        properties: Option<&Path>,
        cells: Option<&Path>,
    ) -> Result<Self, SettingsError> {
        let config = SettingsFile::read(config)?;
        let platform = Platform::parse(&config.text, &config.name)?;
        let properties = properties.map(SettingsFile::read).transpose()?;
        let overrides = properties.as_ref();
        let overrides = overrides.map(|file| (file.name.as_str(), file.text.as_str()));
        let tuning = Tuning::parse(overrides)?;
        let cells = cells.map(SettingsFile::read).transpose()?;
        let cells = cells
            .map(|file| CellsFile::parse(&file.text, &file.name, &platform))
            .transpose()?;
        Ok(Self {
            platform,
            tuning,
            cells: cells.map(Arc::new),
        })
    }
}

/// A settings file, with the name to use in errors.
struct SettingsFile {
    name: String,
    text: String,
}

impl SettingsFile {
    fn read(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Ok(Self { name, text }),
            Err(error) => Err(SettingsError::whole_file(&name, error)),
        }
    }
}
