//! Body of the response to `GET /v1/models`.

use serde::{Deserialize, Serialize};

use crate::decide::config::Configuration;

/// Declared model that callers can request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Name of the model.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Creation time in Unix seconds; always 0, since the configuration does not record it.
    pub created: u64,
    /// Always `bulrushslip`.
    pub owned_by: String,
}

/// List of all declared models.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// Models, sorted by name.
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
        let data = names.into_iter().map(model_entry).collect();
        Self {
            object: "list".to_owned(),
            data,
        }
    }
}

fn model_entry(name: &str) -> ModelEntry {
    ModelEntry {
        id: name.to_owned(),
        object: "model".to_owned(),
        created: 0,
        owned_by: "bulrushslip".to_owned(),
    }
}
