//! The header in which a backend server tells its load and how fast it works.

use elmstream_steer::server_speed;

/// Load of a server, as `running,waiting,slots` or `running,waiting,slots,speed` state it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Sum of running and waiting requests.
    pub requests: u32,
    /// Requests that the server runs at once; `None` if not stated.
    pub slots: Option<u32>,
    /// How fast the server works.
    pub speed: ReportedSpeed,
}

/// How fast a server works, as a load header states it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportedSpeed {
    /// The header states no speed.
    #[default]
    None,
    /// Time that work takes now, in percent of the usual time.
    Percent(u16),
    /// The figure is not a plausible number.
    Unreadable,
}

impl ReportedLoad {
    /// Parses the value of the header; `None` if it states no number of requests.
    pub fn parse(text: &str) -> Option<ReportedLoad> {
        let mut figures = text.split(',').map(str::trim);
        let running: u32 = figures.next()?.parse().ok()?;
        let waiting = figures.next()?.parse().ok()?;
        let slots = figures.next().and_then(|slots| slots.parse().ok());
        let speed = figures.next().map_or(ReportedSpeed::None, ReportedSpeed::parse);
        Some(ReportedLoad { requests: running.saturating_add(waiting), slots, speed })
    }
}

impl ReportedSpeed {
    fn parse(text: &str) -> ReportedSpeed {
        let percent = text.parse().ok().filter(|percent| server_speed::is_plausible(*percent));
        percent.map_or(ReportedSpeed::Unreadable, ReportedSpeed::Percent)
    }
}
