//! The order in which nodes try what one of them is to do.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;
use crate::feed::{Myself, position};
use crate::peers::{Heard, longest_silence};

/// Pause for each better placed node.
const RANK_PAUSE: Duration = Duration::from_millis(120);
/// Best places that wait for each other in full: one of these does it unless all are gone
/// at once.
const FIRST_RANKS: usize = 12;
/// Pause for each further place. Among hundreds of nodes what one has done is known to all
/// a second later; each of those that may try within it makes its calls in vain.
const LATER_RANK_PAUSE: Duration = Duration::from_millis(40);

/// Time until it is this node's turn: nodes on larger machines come first.
pub fn pause_until_turn(context: &Context, heard: &HashMap<Arc<str>, Heard>) -> Duration {
    let silence = longest_silence(context.dispatch.nodes());
    let myself = Myself::of(&context.settings);
    let place = position(&myself, heard, silence);
    let later = place.saturating_sub(FIRST_RANKS) as u32;
    RANK_PAUSE * place.min(FIRST_RANKS) as u32 + LATER_RANK_PAUSE * later
}
