//! The result of a run: plain figures by name.

use super::size::Size;
use super::traffic_stats::{REACHES, ROLES, Role, TrafficStats};
use std::time::Duration;

/// Names and figures, in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub struct Figures(pub Vec<(String, f64)>);

impl Figures {
    /// Adds one.
    ///
    /// ```
    /// let mut figures = scale_model::Figures::default();
    /// figures.add("a", 1.0);
    /// assert_eq!(figures.get("a"), Some(1.0));
    /// assert_eq!(figures.to_string(), "a=1");
    /// ```
    pub fn add(&mut self, name: impl Into<String>, figure: f64) {
        self.0.push((name.into(), figure));
    }

    /// The figure with this name.
    ///
    /// ```
    /// assert_eq!(scale_model::Figures::default().get("a"), None);
    /// ```
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, figure)| *figure)
    }

    /// Reads a line of the form that `Display` writes; words of any other form are ignored.
    ///
    /// ```
    /// let read = scale_model::Figures::read("size=3 carrier.core%=0.25 noise");
    /// assert_eq!(read.get("carrier.core%"), Some(0.25));
    /// ```
    pub fn read(line: &str) -> Figures {
        let pairs = line
            .split_whitespace()
            .filter_map(|word| word.split_once('='));
        Figures(
            pairs
                .filter_map(|(name, figure)| Some((name.to_owned(), figure.parse().ok()?)))
                .collect(),
        )
    }

    /// The rates per second and process of each role.
    pub(crate) fn of(stats: &TrafficStats, size: &Size, window: Duration) -> Figures {
        let mut figures = Figures::default();
        let there = ROLES
            .into_iter()
            .filter(|role| *role != Role::Replica || processes(stats, size, *role) > 0);
        there.for_each(|role| figures.add_role(stats, size, window, role));
        figures
    }

    fn add_role(&mut self, stats: &TrafficStats, size: &Size, window: Duration, role: Role) {
        let each = processes(stats, size, role).max(1) as f64 * window.as_secs_f64();
        let (out, into) = (stats.out(role, None), stats.received_by(role, None));
        self.add(format!("{role}.out.msgs"), out.messages as f64 / each);
        self.add(format!("{role}.in.msgs"), into.messages as f64 / each);
        self.add(format!("{role}.out.bytes"), out.bytes as f64 / each);
        self.add(format!("{role}.in.bytes"), into.bytes as f64 / each);
        REACHES.into_iter().for_each(|reach| {
            let both =
                stats.out(role, Some(reach)).bytes + stats.received_by(role, Some(reach)).bytes;
            self.add(format!("{role}.{reach}.bytes"), both as f64 / each);
        });
        let shares = stats
            .busy(role)
            .into_iter()
            .map(|busy| busy.as_secs_f64() * 100.0 / window.as_secs_f64());
        let shares: Vec<f64> = shares.collect();
        if !shares.is_empty() {
            let held = shares.len() as f64;
            let mean = shares.iter().sum::<f64>() / held;
            let spread = (shares
                .iter()
                .map(|share| (share - mean).powi(2))
                .sum::<f64>()
                / held)
                .sqrt();
            self.add(format!("{role}.core%"), mean);
            self.add(format!("{role}.core%.spread"), spread);
            self.add(
                format!("{role}.core%.most"),
                shares.iter().copied().fold(0.0, f64::max),
            );
        }
    }
}

impl std::fmt::Display for Figures {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let shown = |figure: f64| {
            let places = if figure.abs() >= 100.0 || figure == figure.trunc() {
                0
            } else {
                4
            };
            format!("{figure:.places$}")
        };
        let line: Vec<String> = self
            .0
            .iter()
            .map(|(name, figure)| format!("{name}={}", shown(*figure)))
            .collect();
        f.write_str(&line.join(" "))
    }
}

/// How many processes have a role.
fn processes(stats: &TrafficStats, size: &Size, role: Role) -> usize {
    match role {
        Role::DataNode => size.nodes,
        Role::Voter => size.control_nodes.saturating_sub(1),
        Role::Holder => 1,
        Role::Replica => stats.busy(role).len(),
        Role::Upstream => size.upstreams,
    }
}

/// Tables of one window by kind of message and cause of step.
pub(crate) fn print_kinds(stats: &TrafficStats, size: &Size, window: Duration) {
    let shown = ROLES
        .into_iter()
        .filter(|role| *role != Role::Upstream && processes(stats, size, *role) > 0);
    shown.for_each(|role| {
        let each = processes(stats, size, role) as f64 * window.as_secs_f64();
        println!("{role}, one process, a second:");
        stats.kinds(role).into_iter().for_each(|(kind, (out, into))| {
            println!(
                "  {kind:<14} out {:>10.2} messages {:>12.0} bytes, in {:>10.2} messages {:>12.0} bytes",
                out.messages as f64 / each,
                out.bytes as f64 / each,
                into.messages as f64 / each,
                into.bytes as f64 / each,
            );
        });
        println!("{role}, steps by cause:");
        stats.steps(role).into_iter().for_each(|(kind, steps)| {
            println!(
                "  {kind:<14} {:>10.2} a second, {:>10.1} us each, most {:>10.0} us, {:>8.3} % of a core",
                steps.count as f64 / each,
                steps.took.as_secs_f64() * 1e6 / steps.count.max(1) as f64,
                steps.most.as_secs_f64() * 1e6,
                steps.took.as_secs_f64() * 100.0 / each,
            );
        });
    });
}
