//! What an instance has known, and may not forget while it runs.

use std::collections::HashMap;

use super::InstanceView;
use super::store::Upstream;

/// Run of an upstream as an instance has seen it last.
#[derive(Debug, Clone, Copy, Default)]
struct KnownRun {
    /// Newest start time that it has seen.
    born: u64,
    is_open: bool,
    /// Time of the drain or the removal, as in [`Upstream`], if the instance has seen its effect.
    ended_ms: Option<u64>,
}

/// What one instance has known since its start.
#[derive(Debug, Default)]
pub struct KnownState {
    /// Time since which the instance has run, in milliseconds.
    started_ms: u64,
    configuration: u64,
    target: u64,
    oldest_allowed: u64,
    runs: HashMap<String, KnownRun>,
}

impl KnownState {
    /// Forgets what the instance has known if it has started since.
    pub fn follow_start(&mut self, started_ms: u64) {
        if self.started_ms != started_ms {
            *self = Self {
                started_ms,
                ..Self::default()
            };
        }
    }

    /// Compares what an instance knows with what it has known before; returns what was undone.
    ///
    /// `can_write` says that upstreams were able to write since the last drill.
    pub fn update(
        &mut self,
        view: &InstanceView,
        upstreams: &[Upstream],
        can_write: bool,
    ) -> Result<(), String> {
        let versions = [
            ("configuration", &mut self.configuration, view.configuration),
            ("target version", &mut self.target, view.target),
            (
                "oldest version",
                &mut self.oldest_allowed,
                view.oldest_allowed,
            ),
        ];
        for (name, known, version) in versions {
            if version < *known {
                return Err(format!("{name} {version} after {known}"));
            }
            *known = version;
        }
        for upstream in upstreams {
            let run = self.runs.entry(upstream.id.clone()).or_default();
            run.update(view, upstream, can_write)?;
        }
        Ok(())
    }
}

impl KnownRun {
    fn update(
        &mut self,
        view: &InstanceView,
        upstream: &Upstream,
        can_write: bool,
    ) -> Result<(), String> {
        let listed = view.upstreams.iter().find(|(id, ..)| *id == upstream.id);
        let Some((id, born, is_open)) = listed else {
            if self.is_open && self.born == upstream.born {
                if can_write && upstream.is_alive && upstream.first_end_ms.is_none() {
                    return Err(format!("{} is dropped, which goes on", upstream.id));
                }
                self.ended_ms = upstream.ended_ms;
            }
            self.is_open = false;
            return Ok(());
        };
        if *born < self.born {
            return Err(format!("{id} runs since {born} after {}", self.born));
        }
        if *born > self.born {
            self.ended_ms = None;
        }
        let has_ended = self.ended_ms.is_some() && self.ended_ms == upstream.ended_ms;
        if *is_open && has_ended && *born == upstream.born {
            return Err(format!("{id} is open again, which had ended"));
        }
        self.born = *born;
        self.is_open = *is_open;
        if !is_open && *born == upstream.born {
            self.ended_ms = upstream.ended_ms;
        }
        Ok(())
    }
}
