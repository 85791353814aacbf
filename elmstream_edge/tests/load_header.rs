//! Parsing of the load header.

use elmstream_edge::load_header::{ReportedLoad, ReportedSpeed};

fn parsed(text: &str) -> Option<(u32, ReportedSpeed)> {
    ReportedLoad::parse(text).map(|load| (load.requests, load.speed))
}

#[test]
fn three_figures_state_no_speed() {
    assert_eq!(parsed("3,0,8"), Some((3, ReportedSpeed::None)));
    assert_eq!(parsed(" 3 , 2 , 8 "), Some((5, ReportedSpeed::None)));
    assert_eq!(parsed("3,2"), Some((5, ReportedSpeed::None)));
}

#[test]
fn fourth_figure_states_the_speed() {
    assert_eq!(parsed("3,1,8,100"), Some((4, ReportedSpeed::Percent(100))));
    assert_eq!(parsed("3, 1, 8, 250"), Some((4, ReportedSpeed::Percent(250))));
    assert_eq!(parsed("0,0,8,10000"), Some((0, ReportedSpeed::Percent(10_000))));
}

#[test]
fn implausible_speed_is_unreadable_and_leaves_the_load() {
    for speed in ["0", "10001", "70000", "-5", "fast", "", "2.5"] {
        let load = parsed(&format!("3,1,8,{speed}"));
        assert_eq!(load, Some((4, ReportedSpeed::Unreadable)), "{speed}");
    }
}

#[test]
fn header_without_numbers_states_nothing() {
    for text in ["", "x,0,8,100", "3", "3,y"] {
        assert_eq!(parsed(text), None, "{text}");
    }
}
