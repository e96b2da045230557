use explorer::*;
use std::time::Duration;
fn show(name: &str, r: Report) {
    println!(
        "{name}: {} states {} transitions depth {} complete {} {:?}",
        r.states, r.transitions, r.depth, r.complete, r.time
    );
    if let Some(t) = r.violating {
        println!("{t}");
    }
}
fn main() {
    let l = Limits { time: Duration::from_secs(15), states: 4_000_000, threads: 2, ..Limits::default() };
    let mut s = Scenario::new("two orders", 3);
    s.orders = vec![Order::setup("a", None, &[0]), Order::setup("b", None, &[1])];
    s.schedule = Schedule::InOrder { strays: 1 };
    s.budget = RegisterBudget { asks: 2, rounds: 6, wipes: 1, ..Default::default() };
    show("two, 1 strays 1 wipe", search(&RegisterModel::new(s.clone()), l));
}
