//! Reads the machine list and remembers what it said, so that an unchanged list
//! costs no more than its tag.

use std::sync::Arc;

use barleyspar_domain::RunnerRecord;
use barleyspar_platform::MachineList;
use barleyspar_platform::machines::MachineListError;

/// A reader of the list.
pub struct ListReader {
    list: Arc<dyn MachineList>,
    tag: Option<String>,
    machines: Arc<Vec<RunnerRecord>>,
}

impl ListReader {
    /// A reader that has read nothing yet.
    pub fn new(list: Arc<dyn MachineList>) -> Self {
        Self {
            list,
            tag: None,
            machines: Arc::default(),
        }
    }

    /// The list as it is now.
    pub async fn read(&mut self) -> Result<Arc<Vec<RunnerRecord>>, MachineListError> {
        let listing = self.list.list(self.tag.as_deref()).await?;
        if let Some(machines) = listing.machines {
            self.machines = Arc::new(machines);
            self.tag = listing.tag;
        }
        Ok(Arc::clone(&self.machines))
    }
}
