//! Placement rules for comparison, which the router does not implement.

use chestnutfork_routing::TargetState;
use rand::seq::IndexedRandom;

use crate::sim::Sim;
use crate::workload::SLOTS;

impl Sim<'_> {
    /// Returns the learned speed of each target, or `None` for a target that accepts no task now.
    fn speeds(&self) -> Vec<Option<f64>> {
        let statuses = self.router.target_statuses().into_iter();
        statuses
            .map(|status| {
                let admits = match status.state {
                    TargetState::Healthy => true,
                    TargetState::Probation => status.in_flight == 0,
                    TargetState::Ejected { .. } | TargetState::Leaving => false,
                };
                admits.then_some(status.speed)
            })
            .collect()
    }

    pub(crate) fn dispatch_power_of_two(&mut self) {
        while let Some(next) = self.queue.peek() {
            let avoid_targets = next.avoid_targets.clone();
            let speeds = self.speeds();
            let usable = |target: &usize| {
                self.free[*target] > 0 && speeds[*target].is_some() && !avoid_targets.contains(target)
            };
            let available: Vec<usize> = (0..speeds.len()).filter(usable).collect();
            let pair = available.sample(&mut self.rng, 2);
            let Some(&target) =
                pair.max_by(|a, b| speeds[**a].unwrap_or(0.0).total_cmp(&speeds[**b].unwrap_or(0.0)))
            else {
                return;
            };
            let queued = self.queue.pop().expect("peeked before");
            self.start_attempt(queued, target);
        }
    }

    pub(crate) fn dispatch_target_queues(&mut self) {
        let speeds = self.speeds();
        // Tasks assigned to a target that accepts no tasks are assigned to another one.
        for (assigned, speed) in self.target_queues.iter_mut().zip(&speeds) {
            if speed.is_none() {
                assigned.drain(..).for_each(|queued| self.queue.requeue(queued));
            }
        }
        while let Some(queued) = self.queue.pop() {
            let wait = |target: usize| {
                let assigned = u32::try_from(self.target_queues[target].len()).expect("queues are bounded");
                let speed = speeds[target].filter(|_| !queued.item.avoid_targets.contains(&target))?;
                Some((
                    f64::from(assigned + SLOTS - self.free[target] + 1) / speed,
                    target,
                ))
            };
            let best = (0..speeds.len())
                .filter_map(wait)
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, target)) = best else {
                self.queue.requeue(queued);
                break;
            };
            self.target_queues[target].push_back(queued);
        }
        for target in 0..speeds.len() {
            while self.free[target] > 0 && !self.target_queues[target].is_empty() {
                let queued = self.target_queues[target].pop_front().expect("checked before");
                if queued.deadline <= self.now {
                    self.end_task(queued.item.job, false);
                } else {
                    self.start_attempt(queued, target);
                }
            }
        }
    }
}
