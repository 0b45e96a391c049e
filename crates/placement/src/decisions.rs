//! What the policies decide, and the last good decision where one fails.

use std::collections::BTreeMap;
use std::sync::Arc;

use barleyspar_control_log::ControlState;
use barleyspar_domain::{
    ModelName, ModelSpec, ObjectKey, ObjectKind, PolicyName, RunnerState, ServiceName, ZoneName,
};
use barleyspar_policy::{Context, Decision, PolicyError, Program};

/// Decisions can change with the minute, so plans are made again then.
pub(crate) const MILLISECONDS_PER_MINUTE: u64 = 60_000;
const MINUTES_PER_HOUR: u64 = 60;
const HOURS_PER_DAY: u64 = 24;

/// What a decision was computed from; the same inputs give the same decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Inputs {
    policy_changed_at: u64,
    model_changed_at: u64,
    directory_changed_at: u64,
    minute: u64,
}

/// The live runners of one service, as policies see them.
#[derive(Debug, Clone)]
struct LiveRunners {
    count: u32,
    zones: Vec<ZoneName>,
}

struct Compiled {
    source: String,
    program: Result<Program, PolicyError>,
}

/// Compiled policies and their last good decisions.
///
/// Decisions are pure functions of log state, hour and minute; this only keeps
/// what was computed before.
#[derive(Default)]
pub struct Decisions {
    inputs: BTreeMap<ModelName, Inputs>,
    live: BTreeMap<ServiceName, LiveRunners>,
    live_at: u64,
    programs: BTreeMap<PolicyName, Compiled>,
    last_good: BTreeMap<ModelName, Arc<Decision>>,
    errors: BTreeMap<ModelName, PolicyError>,
}

impl Decisions {
    /// The decision for `model`: the newest good one, or `None` if there never was one.
    pub fn decide(
        &mut self,
        state: &ControlState,
        model: &ModelSpec,
        wall_clock: u64,
    ) -> Option<Arc<Decision>> {
        let minute = wall_clock / MILLISECONDS_PER_MINUTE;
        let inputs = inputs(state, model, minute);
        if self.inputs.get(&model.name) == Some(&inputs) {
            return self.last_good.get(&model.name).cloned();
        }
        self.inputs.insert(model.name.clone(), inputs);
        let context = self.context(state, model, minute);
        match self.run(state, &model.policy, &context) {
            Some(Ok(decision)) => {
                self.errors.remove(&model.name);
                self.last_good
                    .insert(model.name.clone(), Arc::new(decision));
            }
            Some(Err(error)) => self.note_error(model, error),
            None => {}
        }
        self.last_good.get(&model.name).cloned()
    }

    /// The error of the last run for `model`, if it failed.
    pub fn error(&self, model: &ModelName) -> Option<&PolicyError> {
        self.errors.get(model)
    }

    fn note_error(&mut self, model: &ModelSpec, error: PolicyError) {
        let known = self.errors.insert(model.name.clone(), error.clone());
        if known.as_ref() != Some(&error) {
            tracing::error!(model = %model.name, policy = %model.policy, %error,
                "policy failed; its last good decision stays");
        }
    }

    fn run(
        &mut self,
        state: &ControlState,
        name: &PolicyName,
        context: &Context,
    ) -> Option<Result<Decision, PolicyError>> {
        let source = &state.policy(name)?.program;
        let known = self.programs.get(name);
        if known.is_none_or(|compiled| &compiled.source != source) {
            let compiled = Compiled {
                source: source.clone(),
                program: Program::compile(source),
            };
            self.programs.insert(name.clone(), compiled);
        }
        let compiled = self.programs.get(name)?;
        Some(match &compiled.program {
            Ok(program) => program.decide(context),
            Err(error) => Err(error.clone()),
        })
    }

    fn context(&mut self, state: &ControlState, model: &ModelSpec, minute: u64) -> Context {
        if self.live_at != state.directory_changed_at() {
            self.live.clear();
            self.live_at = state.directory_changed_at();
        }
        let live = self
            .live
            .entry(model.service.clone())
            .or_insert_with(|| live_runners(state, &model.service));
        Context {
            model: model.name.to_string(),
            service: model.service.to_string(),
            runners: live.count,
            zones: live.zones.clone(),
            hour: (minute / MINUTES_PER_HOUR % HOURS_PER_DAY) as u32,
            minute: (minute % MINUTES_PER_HOUR) as u32,
            requests_per_second: 0.0,
            in_flight: 0,
            waiting: 0,
            priority: 0,
            starved: 0.0,
            slots: 1,
            reading: 0.0,
        }
    }
}

fn inputs(state: &ControlState, model: &ModelSpec, minute: u64) -> Inputs {
    let changed_at = |kind, name: &str| {
        state.changed_at(&ObjectKey {
            kind,
            name: name.to_owned(),
        })
    };
    Inputs {
        policy_changed_at: changed_at(ObjectKind::Policy, model.policy.as_str()),
        model_changed_at: changed_at(ObjectKind::Model, model.name.as_str()),
        directory_changed_at: state.directory_changed_at(),
        minute,
    }
}

fn live_runners(state: &ControlState, service: &ServiceName) -> LiveRunners {
    let runners = state.runners_of(service);
    let live = runners.filter(|runner| runner.state == RunnerState::Live);
    let mut count = 0;
    let mut zones: Vec<ZoneName> = Vec::new();
    for runner in live {
        count += 1;
        if !zones.contains(&runner.zone) {
            zones.push(runner.zone.clone());
        }
    }
    zones.sort();
    LiveRunners { count, zones }
}
