//! Explains why a model is or is not loaded where it is.

use std::time::Duration;

use barleyspar_domain::{HolderState, ModelName};
use barleyspar_peer::call;
use barleyspar_placement::{Decisions, KEEPER_SERVICE, KeeperAnswer, KeeperRequest, RunnerReport};
use barleyspar_platform::engine::HoldState;

use crate::Node;
use crate::operator_types::{Explanation, HolderExplanation};

const REPORT_TIME_LIMIT: Duration = Duration::from_secs(2);

/// Explains `name`; `None` if there is no such model.
pub async fn explain(node: &Node, name: &ModelName) -> Option<Explanation> {
    let state = node.log.state();
    let spec = state.model(name)?;
    let mut decisions = Decisions::default();
    let decision = decisions.decide(&state, spec, (node.wall_clock)());
    let grant = state.grants().get(name);
    let mut holders = Vec::new();
    for holder in grant.iter().flat_map(|grant| &grant.holders) {
        let record = state.runners().get(&holder.runner);
        let view = node.membership.view();
        let keeper = record.and_then(|record| view.keeper(&record.zone, record.name.as_str()));
        let report = match keeper {
            Some(keeper) => report(node, keeper.address, &holder.runner).await,
            None => None,
        };
        holders.push(HolderExplanation {
            runner: holder.runner.clone(),
            state: holder.state,
            keeper: keeper.map(|keeper| keeper.name.to_string()),
            report,
        });
    }
    let mut reasons = Vec::new();
    let policy_error = decisions.error(name).map(ToString::to_string);
    if let Some(error) = &policy_error {
        reasons.push(format!("policy {} fails: {error}", spec.policy));
    }
    match (&decision, grant) {
        (Some(decision), _) if decision.replicas == 0 => {
            reasons.push(format!("policy {} decides 0 replicas", spec.policy));
        }
        (Some(decision), Some(grant)) if grant.holders.len() < decision.replicas as usize => {
            reasons.push(format!(
                "{} of {} replicas are granted: no more runners of service {} suit it",
                grant.holders.len(),
                decision.replicas,
                spec.service
            ));
        }
        (_, None) => reasons.push("no grant was made yet".to_owned()),
        _ => {}
    }
    reasons.extend(holders.iter().map(|holder| sentence(name, holder)));
    Some(Explanation {
        model: name.clone(),
        decision: decision.map(|decision| decision.as_ref().clone()),
        policy_error,
        granted: grant.map(|grant| grant.decided),
        holders,
        reasons,
    })
}

async fn report(
    node: &Node,
    keeper: std::net::SocketAddr,
    runner: &barleyspar_domain::RunnerName,
) -> Option<RunnerReport> {
    let transport = node.transport.as_ref();
    let request = KeeperRequest::Report;
    let answer = call(
        transport,
        keeper,
        KEEPER_SERVICE,
        &request,
        REPORT_TIME_LIMIT,
    )
    .await;
    match answer {
        Ok(KeeperAnswer::Report(reports)) => {
            reports.into_iter().find(|report| &report.runner == runner)
        }
        _ => None,
    }
}

fn sentence(model: &ModelName, holder: &HolderExplanation) -> String {
    let runner = &holder.runner;
    if holder.state == HolderState::Revoking {
        return format!("{runner}: its grant is being withdrawn");
    }
    let Some(keeper) = &holder.keeper else {
        return format!("{runner}: no node takes work, so nobody keeps it");
    };
    let Some(report) = &holder.report else {
        return format!("{runner}: its keeper {keeper} gave no report");
    };
    if let Some(trouble) = &report.trouble {
        return format!("{runner}: its keeper {keeper} is in trouble: {trouble}");
    }
    let Some(inventory) = &report.inventory else {
        return format!("{runner}: its keeper {keeper} has not seen its inventory yet");
    };
    match inventory.held(model) {
        Some(held) => {
            let state = match held.state {
                HoldState::Loading => "loading",
                HoldState::Loaded => "loaded",
                HoldState::Unloading => "unloading",
            };
            let idle = held.idle_milliseconds / 1000;
            format!(
                "{runner}: {state}, {} running, idle for {idle} s",
                held.running
            )
        }
        None => {
            let used = inventory.used_bytes();
            let total = inventory.memory_bytes;
            format!("{runner}: not loaded; nobody waits for it ({used} of {total} bytes in use)")
        }
    }
}
