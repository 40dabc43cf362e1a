//! The answer to `GET /v1/models`.

use serde::{Deserialize, Serialize};

use crate::decide::config::Configuration;

/// One model that callers may name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Name of the model.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Creation time in seconds since 1970; 0 because configuration does not hold it.
    pub created: u64,
    /// Always `bulrushslip`.
    pub owned_by: String,
}

/// List of models.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// Models in the order of their names.
    pub data: Vec<ModelEntry>,
}

impl From<&Configuration> for ModelList {
    fn from(configuration: &Configuration) -> Self {
        let mut names: Vec<&str> = configuration
            .models
            .iter()
            .map(|(_, model)| model.name.as_str())
            .collect();
        names.sort_unstable();
        let data = names.into_iter().map(entry).collect();
        Self {
            object: "list".to_owned(),
            data,
        }
    }
}

fn entry(name: &str) -> ModelEntry {
    ModelEntry {
        id: name.to_owned(),
        object: "model".to_owned(),
        created: 0,
        owned_by: "bulrushslip".to_owned(),
    }
}
