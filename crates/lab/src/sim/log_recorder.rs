//! Writes down what was committed, as the key-value service saw it.

use std::collections::BTreeMap;
use std::sync::Mutex;

use barleyspar_control_log::{Change, Entry};
use barleyspar_domain::{ModelName, ObjectSpec, PolicyName};
use barleyspar_peer::decode;
use barleyspar_policy::{Context, Program};

use crate::history::{Event, History};

const LOG_PREFIX: &str = "log/";

#[derive(Default)]
struct Known {
    programs: BTreeMap<PolicyName, String>,
    policies: BTreeMap<ModelName, PolicyName>,
    decided: BTreeMap<ModelName, u32>,
}

/// Records commits and the numbers of replicas they decide.
pub struct LogRecorder {
    history: History,
    runners: u32,
    known: Mutex<Known>,
}

impl LogRecorder {
    /// A recorder for a site with so many engines.
    pub fn new(history: History, runners: u32) -> Self {
        Self {
            history,
            runners,
            known: Mutex::default(),
        }
    }

    /// The key-value service wrote `value` under `key`.
    pub fn saw(&self, key: &str, value: &[u8]) {
        if !key.starts_with(LOG_PREFIX) {
            return;
        }
        let Ok(entry) = decode::<Entry>(value) else {
            return;
        };
        self.history.record(Event::Committed {
            position: entry.position,
        });
        let mut known = self.known.lock().unwrap_or_else(|e| e.into_inner());
        for change in entry.changes {
            match change {
                Change::PutObject(ObjectSpec::Policy(policy)) => {
                    known.programs.insert(policy.name, policy.program);
                }
                Change::PutObject(ObjectSpec::Model(model)) => {
                    known.policies.insert(model.name, model.policy);
                }
                _ => {}
            }
        }
        self.record_decisions(&mut known, entry.position);
    }

    fn record_decisions(&self, known: &mut Known, position: u64) {
        let mut counts: BTreeMap<&PolicyName, u32> = BTreeMap::new();
        for (name, program) in &known.programs {
            counts.insert(name, self.decide(program));
        }
        for (model, policy) in &known.policies {
            let count = counts.get(policy).copied().unwrap_or(0);
            if known.decided.insert(model.clone(), count) != Some(count) {
                self.history.record(Event::ReplicasDecided {
                    position,
                    model: model.to_string(),
                    replicas: count,
                });
            }
        }
    }

    fn decide(&self, program: &str) -> u32 {
        let context = Context {
            model: "model".to_owned(),
            service: "service".to_owned(),
            runners: self.runners,
            zones: Vec::new(),
            hour: 0,
            minute: 0,
            requests_per_second: 0.0,
            in_flight: 0,
            waiting: 0,
            priority: 0,
            starved: 0.0,
            slots: 1,
            reading: 0.0,
        };
        let decision = Program::compile(program).and_then(|program| program.decide(&context));
        decision.map_or(0, |decision| decision.replicas)
    }
}
