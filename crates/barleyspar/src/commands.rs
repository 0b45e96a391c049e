//! The operator's commands that call a node.

use std::path::PathBuf;

use barleyspar_control_log::InForce;
use barleyspar_domain::{ObjectKey, ObjectKind, ObjectSpec};
use barleyspar_manifest::{ManifestSet, read_manifests};
use barleyspar_node::{
    ApplyAnswer, ApplyRequest, ApplyStanding, Explanation, GetAnswer, ListedObject, StatusAnswer,
};
use serde::Serialize;

use crate::arguments::{Action, Remote};
use crate::client::OperatorClient;
use crate::errors::CommandError;

/// Runs `action` against the node that `remote` names and prints the result.
pub fn run(remote: &Remote, action: &Action) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::Runtime)?;
    runtime.block_on(run_async(remote, action))
}

async fn run_async(remote: &Remote, action: &Action) -> Result<(), CommandError> {
    let client = OperatorClient::new(remote)?;
    match action {
        Action::Apply {
            files,
            wait,
            read_at,
        } => apply(&client, remote, files, *wait, *read_at).await,
        Action::Delete { kind, name } => delete(&client, remote, *kind, name).await,
        Action::Get { kind, name } => get(&client, remote, *kind, name.as_deref()).await,
        Action::Diff { files } => diff(&client, remote, files).await,
        Action::Status => status(&client, remote).await,
        Action::Explain { model } => explain(&client, remote, model).await,
    }
}

fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

async fn apply(
    client: &OperatorClient,
    remote: &Remote,
    files: &[PathBuf],
    wait: bool,
    read_at: Option<u64>,
) -> Result<(), CommandError> {
    let set = read_manifests(files)?;
    let request = ApplyRequest {
        put: set.specs(),
        delete: Vec::new(),
        read_at,
        wait,
    };
    let result = client.post("apply", &request).await;
    let answer: ApplyAnswer = result.map_err(|error| locate(&set, error))?;
    report_apply(remote, &answer, wait)
}

/// Adds file and line to the node's refusal if it names an object of `set`; returns other
/// errors unchanged.
fn locate(set: &ManifestSet, error: CommandError) -> CommandError {
    let CommandError::Refused(message) = &error else {
        return error;
    };
    let Some((object, rest)) = message.split_once(": ") else {
        return error;
    };
    let (field, cause) = rest.split_once(": ").unwrap_or(("name", rest));
    let key = object.split_once('/').and_then(|(kind, name)| {
        Some(ObjectKey {
            kind: ObjectKind::parse(kind)?,
            name: name.to_owned(),
        })
    });
    let located = key.and_then(|key| set.error_at(&key, field, cause));
    located.map_or(error, |located| CommandError::Refused(located.to_string()))
}

async fn delete(
    client: &OperatorClient,
    remote: &Remote,
    kind: ObjectKind,
    name: &str,
) -> Result<(), CommandError> {
    let key = ObjectKey {
        kind,
        name: name.to_owned(),
    };
    let request = ApplyRequest {
        put: Vec::new(),
        delete: vec![key],
        read_at: None,
        wait: false,
    };
    let answer: ApplyAnswer = client.post("apply", &request).await?;
    report_apply(remote, &answer, false)
}

/// Prints the result of a change. Fails if `waited` is set and the change is not yet in
/// force everywhere.
fn report_apply(remote: &Remote, answer: &ApplyAnswer, waited: bool) -> Result<(), CommandError> {
    if remote.json {
        print_json(answer);
    } else {
        let result = match answer.standing {
            ApplyStanding::InForce => "in force in every zone",
            ApplyStanding::Committed => "committed",
            ApplyStanding::Unchanged => "unchanged",
        };
        println!(
            "{result} at position {} ({})",
            answer.position, answer.change
        );
        print_zones(&answer.in_force);
    }
    if waited && answer.standing == ApplyStanding::Committed {
        let message = "the change is committed but not yet known to be in force everywhere";
        return Err(CommandError::NotInForce(message.to_owned()));
    }
    Ok(())
}

fn print_zones(in_force: &InForce) {
    for (zone, progress) in &in_force.zones {
        let missing: Vec<&str> = progress.missing.iter().map(|node| node.as_str()).collect();
        match missing.is_empty() {
            true => println!("  {zone}: all {} nodes", progress.reached),
            false => println!(
                "  {zone}: {} nodes, not confirmed by {}",
                progress.reached,
                missing.join(", ")
            ),
        }
    }
}

async fn fetch(client: &OperatorClient, kind: ObjectKind) -> Result<GetAnswer, CommandError> {
    client.get(&format!("objects/{kind}")).await
}

async fn get(
    client: &OperatorClient,
    remote: &Remote,
    kind: ObjectKind,
    name: Option<&str>,
) -> Result<(), CommandError> {
    let mut answer = fetch(client, kind).await?;
    if let Some(name) = name {
        answer
            .objects
            .retain(|listed| listed.object.key().name == name);
        if answer.objects.is_empty() {
            return Err(CommandError::Refused(format!(
                "there is no {kind} {name:?}"
            )));
        }
    }
    if remote.json {
        print_json(&answer);
        return Ok(());
    }
    println!("# read at position {}", answer.read_at);
    for listed in &answer.objects {
        println!(
            "# changed at position {} by {}",
            listed.changed_at, listed.changed_by
        );
        println!("{}", as_toml(&listed.object));
    }
    Ok(())
}

/// Returns the object in the form of a manifest.
fn as_toml(object: &ObjectSpec) -> String {
    let body = match object {
        ObjectSpec::Service(spec) => toml::to_string(spec),
        ObjectSpec::Policy(spec) => toml::to_string(spec),
        ObjectSpec::Model(spec) => toml::to_string(spec),
        ObjectSpec::Adapter(spec) => toml::to_string(spec),
        ObjectSpec::Customer(spec) => toml::to_string(spec),
    };
    format!("[[{}]]\n{}", object.key().kind, body.unwrap_or_default())
}

/// A difference between a manifest and the node's objects.
#[derive(Serialize)]
struct Difference {
    object: String,
    kind: &'static str,
    now: Option<ObjectSpec>,
    wanted: ObjectSpec,
}

async fn diff(
    client: &OperatorClient,
    remote: &Remote,
    files: &[PathBuf],
) -> Result<(), CommandError> {
    let set = read_manifests(files)?;
    let mut current: Vec<ListedObject> = Vec::new();
    for kind in ObjectKind::ALL {
        current.extend(fetch(client, kind).await?.objects);
    }
    let mut differences = Vec::new();
    for wanted in set.specs() {
        let now = current
            .iter()
            .find(|listed| listed.object.key() == wanted.key());
        let now = now.map(|listed| listed.object.clone());
        if now.as_ref() == Some(&wanted) {
            continue;
        }
        differences.push(Difference {
            object: wanted.key().to_string(),
            kind: if now.is_some() { "change" } else { "create" },
            now,
            wanted,
        });
    }
    if remote.json {
        print_json(&differences);
        return Ok(());
    }
    for difference in &differences {
        println!("{} {}", difference.kind, difference.object);
        let now = difference.now.as_ref().map(as_toml).unwrap_or_default();
        let wanted = as_toml(&difference.wanted);
        now.lines()
            .filter(|line| !wanted.lines().any(|other| other == *line))
            .for_each(|line| println!("- {line}"));
        wanted
            .lines()
            .filter(|line| !now.lines().any(|other| other == *line))
            .for_each(|line| println!("+ {line}"));
    }
    println!("{} difference(s)", differences.len());
    Ok(())
}

async fn status(client: &OperatorClient, remote: &Remote) -> Result<(), CommandError> {
    let answer: StatusAnswer = client.get("status").await?;
    if remote.json {
        print_json(&answer);
        return Ok(());
    }
    println!("node {} at position {}", answer.node, answer.position);
    println!(
        "{} runners, {} models, {} granted replicas",
        answer.runners, answer.models, answer.granted_replicas
    );
    for (zone, members) in &answer.members {
        let listed: Vec<String> = members
            .iter()
            .map(|(name, status)| format!("{name} {status}"))
            .collect();
        println!("zone {zone}: {}", listed.join(", "));
    }
    println!("in force:");
    print_zones(&answer.in_force);
    Ok(())
}

async fn explain(
    client: &OperatorClient,
    remote: &Remote,
    model: &str,
) -> Result<(), CommandError> {
    let answer: Explanation = client.get(&format!("explain/{model}")).await?;
    if remote.json {
        print_json(&answer);
        return Ok(());
    }
    if let Some(decision) = &answer.decision {
        println!("{}: {} replicas decided", answer.model, decision.replicas);
    }
    for reason in &answer.reasons {
        println!("  {reason}");
    }
    Ok(())
}
