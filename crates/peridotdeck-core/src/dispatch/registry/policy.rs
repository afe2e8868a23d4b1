//! Application of facts about the configuration and the closed data centres.

use std::sync::Arc;

use super::{Change, Fact, Registry};
use crate::{dispatch::config::Config, id::Time};

impl Registry {
    /// Applies facts about the configuration and the closed data centres.
    pub(super) fn apply_policy(
        &mut self,
        facts: Vec<Fact>,
        whole: bool,
        now: Time,
        change: &mut Change,
    ) {
        if whole {
            self.open_unlisted(&facts, now, change);
        }
        for fact in facts {
            match fact {
                Fact::Config(config) => self.apply_config(config, change),
                Fact::Closed(data_centre) => {
                    self.restoration.confirm_closure(&data_centre);
                    if let Err(index) = self.closed.binary_search(&data_centre) {
                        self.closed.insert(index, data_centre.clone());
                        change.closed.push(data_centre);
                    }
                }
                Fact::Opened(data_centre) => {
                    self.restoration.confirm_closure(&data_centre);
                    self.open(&data_centre, change);
                }
                Fact::Endpoint(_) | Fact::Gone(_) => {}
            }
        }
    }

    /// Opens the data centres that a whole report does not close.
    ///
    /// The copy from which a publisher was restored may lack a closure, so it stays for a while.
    fn open_unlisted(&mut self, facts: &[Fact], now: Time, change: &mut Change) {
        let is_listed = |data_centre: &String| facts.contains(&Fact::Closed(data_centre.clone()));
        let unlisted: Vec<String> = self
            .closed
            .iter()
            .filter(|data_centre| !is_listed(data_centre))
            .cloned()
            .collect();
        for data_centre in unlisted {
            if !self.restoration.keep_closed(&data_centre, now) {
                self.open(&data_centre, change);
            }
        }
    }

    pub(super) fn open(&mut self, data_centre: &String, change: &mut Change) {
        if let Ok(index) = self.closed.binary_search(data_centre) {
            change.opened.push(self.closed.remove(index));
        }
    }

    pub(super) fn apply_config(&mut self, config: Config, change: &mut Change) {
        let version = self.config.as_ref().map(|config| config.version);
        if version.is_none_or(|version| version < config.version) {
            change.version = Some(config.version);
            self.config = Some(Arc::new(config.indexed()));
        }
    }
}
