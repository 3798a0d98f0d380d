//! Runs of workers that have started again under their ids.
//!
//! Orders name a worker by its id, so a start that was meant for an earlier incarnation may have
//! begun a run on a later one. Such runs are looked for there before they count as ended.

use super::channel::Live;
use super::{Lead, Now};
use crate::core::plane::state::State;
use crate::core::plane::types::{TaskName, WorkerKey};

impl Lead {
    /// Moves the runs of departed incarnations to the later ones under the same ids, which may have
    /// received the start orders. The first list of the later one shows what became of them.
    pub(super) fn inherit_runs(&mut self, now: Now, state: &State) {
        let departed: Vec<WorkerKey> = self
            .channels
            .keys()
            .filter(|&key| state.worker(key).departed)
            .collect();
        for old in departed {
            let Some(new) = self.successor(state, old) else {
                continue;
            };
            for (task, run) in &state.worker(old).runs {
                let inherited = Live {
                    run: run.run,
                    ordered_at: now.at,
                    from: Some(old),
                    ..Live::default()
                };
                self.assign_to(new, *task, inherited);
                self.assignments.remove(&(*task, old));
            }
            self.channels.remove(old);
        }
    }

    /// Returns the latest incarnation under a worker's id, if it is a later one.
    pub(super) fn successor(&self, state: &State, worker: WorkerKey) -> Option<WorkerKey> {
        let latest = *state.worker_keys.get(&state.worker(worker).report.id)?;
        (latest != worker && self.channels.contains(latest)).then_some(latest)
    }

    /// Ends the runs of an incarnation that a later one under the same id has replaced. A start
    /// order may have reached the later one, unless the earlier one has listed the run. Such a run
    /// is stopped on the later incarnation before it counts as ended.
    pub(super) fn replace(&mut self, now: Now, state: &State, old: WorkerKey, new: WorkerKey) {
        let runs: Vec<(TaskName, Live)> = self.channels[old]
            .live()
            .iter()
            .filter(|(_, live)| !live.listed && !live.ending)
            .map(|(&task, &live)| (task, live))
            .collect();
        let all_ended_by = self.all_ended_by(now.at);
        for (task, live) in runs {
            self.channels
                .get_mut(old)
                .expect("known worker")
                .remove(task);
            self.assignments.remove(&(task, old));
            let channel = self.channels.get_mut(new).expect("known worker");
            channel.all_ended_by = channel.all_ended_by.max(all_ended_by);
            let inherited = Live {
                run: live.run,
                ordered_at: now.at,
                in_doubt: true,
                from: live.from.or(Some(old)),
                ..Live::default()
            };
            self.assign_to(new, task, inherited);
            let why = "start order may have reached a later incarnation";
            self.stop(now, state, new, task, live.run, why);
        }
        self.departed(state, old, "replacement by a later incarnation");
    }

    fn assign_to(&mut self, worker: WorkerKey, task: TaskName, live: Live) {
        let channel = self.channels.get_mut(worker).expect("known worker");
        channel.insert(task, live);
        self.assignments.insert((task, worker));
    }
}
