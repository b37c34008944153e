#include <stddef.h>
#include <string.h>

#include "base/clock.h"
#include "control/control_internal.h"

/*
 * Document leases without a heartbeat, in addition to one target lease, after
 * which an entry is lost.
 */
static const uint64_t entry_lost_leases = 2;

/*
 * Returns a number of the fleet section, at offset in struct policy_fleet;
 * default_value if there is no fleet section.
 */
static uint64_t
fleet_value(
    const struct control *control, size_t offset, uint64_t default_value)
{
	struct policy *policy = document_policy(control->machine.document);
	uint64_t value = default_value;

	if (policy->fleet != NULL)
		memcpy(&value, (const char *)policy->fleet + offset,
		    sizeof(value));
	policy_put(policy);
	return value;
}

/*
 * Returns the duration of an entry's document lease, in us.
 */
uint64_t
control_lease_us(const struct control *control)
{
	return fleet_value(control, offsetof(struct policy_fleet, lease_ms),
		   CONTROL_LEASE_DEFAULT_MS) *
	    US_PER_MS;
}

/*
 * Returns the duration of a target's lease, in us.
 */
uint64_t
control_target_lease_us(const struct control *control)
{
	return fleet_value(control,
		   offsetof(struct policy_fleet, target_lease_ms),
		   CONTROL_TARGET_LEASE_DEFAULT_MS) *
	    US_PER_MS;
}

/*
 * Returns after how long without a heartbeat an entry is lost, in us.
 */
uint64_t
control_entry_lost_us(const struct control *control)
{
	return entry_lost_leases * control_lease_us(control) +
	    control_target_lease_us(control);
}

/*
 * Fills the parameters of the shares of fleet-wide limits.
 */
void
control_share_params(const struct control *control, struct share_params *shares)
{
	uint64_t lease_us = control_lease_us(control);

	*shares = (struct share_params){
	    .entries_max = (uint32_t)fleet_value(control,
		offsetof(struct policy_fleet, entries_max),
		CONTROL_ENTRIES_MAX_DEFAULT),
	    .lease_us = lease_us,
	    .safe_us = lease_us,
	};
}
