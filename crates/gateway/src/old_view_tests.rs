use super::*;

#[test]
fn requests_wait_from_the_first_time_at_which_a_view_is_found_old() {
    let (view, start) = (OldView::default(), Instant::now());
    let until = view.notice(Some(start), start + PATIENCE);
    assert_eq!(until, start + 2 * PATIENCE);
    assert_eq!(view.notice(Some(start), start + 9 * PATIENCE), until);
}

#[test]
fn requests_wait_anew_once_a_newer_view_is_found_old() {
    let (view, start) = (OldView::default(), Instant::now());
    view.notice(None, start);
    let later = start + 9 * PATIENCE;
    assert_eq!(view.notice(Some(start), later), later + PATIENCE);
}
