//! Plans of the decision module for tenants' quotas: one per tenant, for the share of the quota that is given out here.

use crate::config_snapshot::ConfigSnapshot;
use crate::quota_counter::QuotaCounter;
use crate::quota_plan::{bounds, plan, tenant_number, QuotaAllowance};
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::state::Millis;
use oatbank_config_model::Customer;
use oatbank_limiter_core::interface::PlanId;
use oatbank_node_runtime::settings::Bounds;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// Inputs to plans besides the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PlanInputs {
    /// Number of limiters that share the part given out here.
    limiters: f64,
    /// Share of each quota that these limiters give out, from 0 to 1.
    share: f64,
}

/// Number of limiters known to be possibly active; at least 1.
pub(crate) fn active_limiters(view: &ClusterView) -> f64 {
    f64::from(view.with(|table, now| table.active_limiter_count(now))).max(1.0)
}

/// Plans of all tenants.
pub struct TenantPlans {
    view: Rc<ClusterView>,
    counter: Rc<QuotaCounter>,
    /// Indexes of tenants' plans by name; a removed tenant keeps its index. They differ between limiters, which identify a
    /// tenant to each other by its [`tenant_number`].
    places: RefCell<HashMap<String, usize>>,
    inputs: Cell<PlanInputs>,
}

impl TenantPlans {
    /// Creates an empty set of plans.
    pub fn new(view: Rc<ClusterView>, counter: Rc<QuotaCounter>) -> Self {
        TenantPlans { view, counter, places: RefCell::default(), inputs: Cell::default() }
    }

    fn current_inputs(&self) -> PlanInputs {
        let partition = self.counter.partition();
        let limiters = if partition.is_alone { 1.0 } else { active_limiters(&self.view) };
        PlanInputs { limiters, share: partition.share() }
    }

    /// The quota counter that uses these plans.
    pub fn counter(&self) -> &QuotaCounter {
        &self.counter
    }

    /// Whether plans have to be updated: which limiters count together can change by time alone.
    pub fn is_outdated(&self) -> bool {
        self.inputs.get() != self.current_inputs()
    }

    /// Sets the plans and bounds of this configuration's tenants at the counter.
    pub fn update(&self, snapshot: &ConfigSnapshot, rules: &Bounds) {
        let mut places = self.places.borrow_mut();
        let customers = snapshot.configuration().customers.as_deref().unwrap_or_default();
        for customer in customers {
            let next = places.len();
            places.entry(customer.name.clone()).or_insert(next);
        }
        let inputs = self.current_inputs();
        let allowance = QuotaAllowance {
            window: rules.quota_window_s,
            over: rules.quota_over,
            slack: rules.quota_slack * inputs.share,
            limiters: inputs.limiters,
        };
        let mut plans = vec![plan(0.0, 0.0, allowance); places.len()];
        let mut tenant_bounds = HashMap::new();
        for customer in customers {
            let (rate, burst) = (customer.rate * inputs.share, customer.burst * inputs.share);
            if let Some(place) = places.get(&customer.name) {
                plans[*place] = plan(rate, burst, allowance);
            }
            if rate > 0.0 {
                tenant_bounds.insert(tenant_number(&customer.name), bounds(rate, burst, allowance));
            }
        }
        self.counter.set_plans(plans, tenant_bounds, inputs.limiters);
        self.inputs.set(inputs);
    }

    /// Admits a tenant's request or rejects it; may wait for a counter's owner. A rate of 0 means no quota.
    ///
    /// # Errors
    /// If the quota is used up or no owner has answered: the time after which to retry, ms.
    pub async fn admit(&self, tenant: &Customer) -> Result<(), Millis> {
        if tenant.rate <= 0.0 {
            return Ok(());
        }
        let place = self.places.borrow().get(&tenant.name).copied().unwrap_or(0);
        let limiters = self.inputs.get().limiters.max(1.0);
        self.counter.admit(tenant_number(&tenant.name), PlanId(place), limiters).await
    }
}
