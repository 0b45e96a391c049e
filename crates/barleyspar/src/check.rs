//! `barleyspar check`: finds errors in configuration files without calling a node.

use std::path::PathBuf;

use barleyspar_manifest::{Document, FileErrors, read_manifests};
use barleyspar_node::NodeSettings;

use crate::errors::CommandError;
use crate::gateway::read_policy;

/// Checks policies, deploy files, settings files and manifests. The manifests are checked
/// together: each object that one of them refers to must be defined in one of them.
pub fn run(files: &[PathBuf]) -> Result<(), CommandError> {
    let mut errors = Vec::new();
    let mut manifests = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        if file
            .extension()
            .is_some_and(|extension| extension == "rhai")
        {
            read_policy(file)?;
        } else if barleyspar_dialect::is_deploy_file(&text) {
            barleyspar_dialect::check_deploy_file(file)?;
        } else if barleyspar_dialect::is_settings_file(&text) {
            barleyspar_dialect::read_settings(file, None)?;
        } else if !is_node_settings(file) {
            manifests.push(file.clone());
        } else if let Err(error) = NodeSettings::read(file) {
            errors.push(error);
        }
    }
    let checked = read_manifests(&manifests).and_then(|set| set.check_references());
    if let Err(FileErrors(manifest_errors)) = checked {
        errors.extend(manifest_errors);
    }
    if !errors.is_empty() {
        return Err(FileErrors(errors).into());
    }
    println!("{} file(s) are valid", files.len());
    Ok(())
}

/// Whether the file holds a node's settings, recognized by a table `[node]`.
fn is_node_settings(file: &std::path::Path) -> bool {
    Document::read(file).is_ok_and(|document| {
        let mut lines = document.text.lines();
        lines.any(|line| line.trim() == "[node]")
    })
}
