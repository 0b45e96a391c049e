//! What clients got of streams that they followed over several tries.

use crate::checks::Violation;
use crate::observations::Observations;

pub(super) fn streams_keep_their_software_version(observations: &Observations) -> Vec<Violation> {
    let is_mixed = |software: &[String]| software.windows(2).any(|pair| pair[0] != pair[1]);
    let mixed = observations.streams.iter();
    mixed
        .filter(|stream| is_mixed(&stream.software))
        .map(|stream| {
            let seen = format!("{} has events of {:?}", stream.id, stream.software);
            Violation::new("one_software_version", seen)
        })
        .collect()
}

pub(super) fn streams_lack_and_repeat_no_event(observations: &Observations) -> Vec<Violation> {
    let is_in_order = |ids: &[u64]| ids.iter().copied().eq(1..=ids.len() as u64);
    let streams = observations.streams.iter();
    streams
        .filter(|stream| !is_in_order(&stream.event_ids))
        .map(|stream| {
            let seen = format!("{} has the events {:?}", stream.id, stream.event_ids);
            Violation::new("whole_streams", seen)
        })
        .collect()
}
