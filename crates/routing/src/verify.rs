//! Verification of the router's invariants.

use chestnutfork_types::{PoolName, TargetName};

use crate::classes::class_of;
use crate::pool::Pool;
use crate::router::Router;
use crate::target::{Target, TargetIndex};
use crate::violation::Violation;

impl Router {
    /// Checks the invariants of the router in time proportional to the number of targets.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_routing::Router;
    ///
    /// assert_eq!(Router::new(1).verify(), Ok(()));
    /// ```
    pub fn verify(&self) -> Result<(), Violation> {
        for (name, pool) in &self.pools {
            self.verify_pool(name, pool)?;
        }
        for (index, (name, target)) in self.targets.iter().enumerate() {
            self.verify_target(index, name, target)?;
        }
        Ok(())
    }

    fn verify_pool(&self, name: &PoolName, pool: &Pool) -> Result<(), Violation> {
        let (ejected, limit) = (self.ejected_count(pool), pool.ejection_limit());
        if ejected > limit {
            let pool = name.clone();
            return Err(Violation::EjectionLimit { pool, ejected, limit });
        }
        let slots = pool
            .members
            .iter()
            .map(|&target| self.targets[target].slots)
            .sum();
        if slots != pool.slots {
            return Err(Violation::PoolSlots {
                pool: name.clone(),
                counted: pool.slots,
                slots,
            });
        }
        Ok(())
    }

    fn verify_target(&self, index: TargetIndex, name: &TargetName, target: &Target) -> Result<(), Violation> {
        let pool = &self.pools[target.pool];
        let listed = target.listing.map_or(!target.is_member(), |listing| {
            let class = pool.classes.get(listing.class);
            let at_index = class
                .zip(listing.available_index)
                .map(|(class, index)| class.available.get(index));
            target.is_member()
                && listing.class == class_of(target.cost())
                && listing.healthy_in_flight == target.healthy_in_flight()
                && at_index.map_or(!target.is_available(), |listed| {
                    target.is_available() && listed == Some(&index)
                })
        });
        if !listed {
            return Err(Violation::Listing { target: name.clone() });
        }
        if !target.speed.is_valid() {
            return Err(Violation::Speed { target: name.clone() });
        }
        let due = target.health.wakeup();
        if due.is_some_and(|due| self.wakeup.is_none_or(|wakeup| wakeup > due)) {
            return Err(Violation::Wakeup { target: name.clone() });
        }
        Ok(())
    }
}
