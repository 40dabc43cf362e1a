//! Formats a report as text and as JSON.

use std::fmt::Write;

use serde_json::{Value, json};

use super::report::{GroupKey, GroupStats, RunReport, TargetReport};
use super::sample::CustomerClass;
use super::workload::LoadPhase;
use crate::decide::ids::Rank;

/// Quantiles in reports, with their names.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)];

/// Formats a report as text: a table of groups, the counters of the engines, and a comparison of
/// each target with the last one, the baseline.
#[must_use]
pub fn text(report: &RunReport) -> String {
    let mut text = format!(
        "{:<14} {:<24} {:>6} {:>6} {:>7} {:>7} {:>6} {:>6} {:>8} {:>8} {:>8} {:>9}\n",
        "target",
        "requests",
        "sent",
        "whole",
        "in time",
        "refused",
        "cut",
        "failed",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "p99+loss",
    );
    for target in &report.targets {
        for (key, stats) in target.groups.iter().filter(|(_, stats)| stats.sent > 0) {
            text.push_str(&group_line(&target.name, *key, stats));
        }
    }
    for target in &report.targets {
        text.push_str(&engine_line(target));
    }
    if let Some((baseline, others)) = report.targets.split_last() {
        for target in others {
            text.push_str(&comparison(target, baseline));
        }
    }
    text
}

fn group_line(target: &str, key: GroupKey, stats: &GroupStats) -> String {
    let [p50, p95, p99] =
        QUANTILES.map(|(_, quantile)| milliseconds(stats.first_token.value_at_quantile(quantile)));
    let loss = milliseconds(stats.first_token_or_loss.value_at_quantile(0.99));
    format!(
        "{target:<14} {:<24} {:>6} {:>6} {:>7} {:>7} {:>6} {:>6} {p50:>8.1} {p95:>8.1} {p99:>8.1} \
         {loss:>9.1}\n",
        key.name(),
        stats.sent,
        stats.complete,
        stats.in_time,
        stats.refusals(),
        stats.incomplete,
        stats.failed,
    )
}

fn engine_line(target: &TargetReport) -> String {
    let engines = target.engines;
    let routine = routine_share_percent(target);
    let mut line = format!(
        "{}: engines started {}, hit {} pieces, computed {} ({:.2} a started request); routine \
         share of output in the urgent flood {routine:.1} %\n",
        target.name,
        engines.started,
        engines.hit_pieces,
        engines.missing_pieces,
        ratio(engines.missing_pieces, engines.started),
    );
    for (key, stats) in target.groups.iter().filter(|(key, _)| is_all_of_rank(*key)) {
        for (code, count) in &stats.refused {
            let _written = writeln!(
                line,
                "{}: {} refused {code}: {count}",
                target.name,
                key.rank.name()
            );
        }
    }
    line
}

fn comparison(target: &TargetReport, baseline: &TargetReport) -> String {
    let in_time = |report: &TargetReport| {
        let groups = report.groups.iter().filter(|(key, _)| is_all_of_rank(*key));
        groups.map(|(_, stats)| stats.in_time).sum::<u64>()
    };
    let missing =
        |report: &TargetReport| ratio(report.engines.missing_pieces, report.engines.started);
    let urgent = |report: &TargetReport, quantile| {
        let stats = report.group(all_of_rank(Rank::Urgent));
        stats.map_or(0.0, |stats| {
            milliseconds(stats.first_token_or_loss.value_at_quantile(quantile))
        })
    };
    format!(
        "{} against {}: computed pieces a request x {:.2}, in time x {:.2}, urgent p99 with losses \
         x {:.2}\n",
        target.name,
        baseline.name,
        missing(target) / missing(baseline),
        ratio(in_time(target), in_time(baseline)),
        urgent(target, 0.99) / urgent(baseline, 0.99),
    )
}

/// Formats a report as JSON.
#[must_use]
pub fn json(report: &RunReport) -> Value {
    let targets: Vec<Value> = report.targets.iter().map(target_json).collect();
    json!({ "deadlines_us": report.deadlines, "targets": targets })
}

fn target_json(target: &TargetReport) -> Value {
    let groups: Vec<Value> = target.groups.iter().map(group_json).collect();
    json!({
        "name": target.name,
        "engines": target.engines,
        "routine_share_in_urgent_flood_percent": routine_share_percent(target),
        "groups": groups,
    })
}

fn group_json((key, stats): &(GroupKey, GroupStats)) -> Value {
    let quantiles = QUANTILES.map(|(name, quantile)| {
        (
            name.to_owned(),
            json!(stats.first_token.value_at_quantile(quantile)),
        )
    });
    json!({
        "rank": key.rank.name(),
        "class": key.class.map(CustomerClass::name),
        "phase": key.phase.map(LoadPhase::name),
        "sent": stats.sent,
        "complete": stats.complete,
        "in_time": stats.in_time,
        "refused": stats.refused,
        "incomplete": stats.incomplete,
        "failed": stats.failed,
        "first_token_us": serde_json::Map::from_iter(quantiles),
        "first_token_or_loss_p99_us": stats.first_token_or_loss.value_at_quantile(0.99),
    })
}

/// Returns the percentage of routine requests in the output tokens of the urgent flood.
fn routine_share_percent(target: &TargetReport) -> f64 {
    let tokens = |rank| {
        let key = GroupKey {
            rank,
            class: None,
            phase: Some(LoadPhase::UrgentFlood),
        };
        target.group(key).map_or(0, |stats| stats.tokens)
    };
    let routine = tokens(Rank::Routine);
    100.0 * ratio(routine, routine + tokens(Rank::Urgent))
}

/// Returns the key of the group of all requests of a rank.
const fn all_of_rank(rank: Rank) -> GroupKey {
    GroupKey {
        rank,
        class: None,
        phase: None,
    }
}

fn is_all_of_rank(key: GroupKey) -> bool {
    key == all_of_rank(key.rank)
}

fn milliseconds(micros: u64) -> f64 {
    ratio(micros, 1_000)
}

#[expect(clippy::cast_precision_loss, reason = "reports show only a few digits")]
/// Divides two counts; a divisor of 0 counts as 1.
fn ratio(dividend: u64, divisor: u64) -> f64 {
    dividend as f64 / divisor.max(1) as f64
}
