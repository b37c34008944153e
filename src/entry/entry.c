#include "entry/entry.h"

#include "base/clock.h"

/*
 * Returns whether the document lease is still valid.
 */
bool
entry_has_lease(const struct entry *entry)
{
	return atomic_load(&entry->started) &&
	    clock_monotonic_us() < link_lease_until_us(entry->link);
}

/* Registers a counter without labels. */
static struct counter *
register_total(const char *name, const char *help)
{
	return counter_register(COUNTER_TOTAL, name, help, NULL);
}

/*
 * Registers the entry's counters.
 */
void
entry_counters_init(struct entry_counters *c)
{
	for (unsigned r = 0; r < REFUSAL_REASON_COUNT; r++) {
		for (unsigned o = 0; o < ENTRY_OUTCOMES; o++)
			c->refusals[r][o] = counter_register(COUNTER_TOTAL,
			    "gypsummill_entry_refusals_total",
			    "Calls refused (count)",
			    "reason=\"%s\",outcome=\"%s\"",
			    refusal_reason_name((enum refusal_reason)r),
			    refusal_outcome_name((enum refusal_outcome)o));
	}
	c->in_flight = counter_register(COUNTER_GAUGE,
	    "gypsummill_entry_in_flight", "Calls being served (count)", NULL);
	c->lookups = register_total(
	    "gypsummill_entry_lookups_total", "Lookups answered (count)");
	c->malformed = register_total("gypsummill_entry_malformed_total",
	    "Requests that could not be parsed (count)");
	c->callers_gone = register_total("gypsummill_entry_callers_gone_total",
	    "Callers that disconnected before their answer (count)");
	c->truncated = register_total("gypsummill_entry_cut_short_total",
	    "Answers truncated after their start (count)");
	c->announcements =
	    register_total("gypsummill_entry_announcements_total",
		"Announcements and renewals of targets (count)");
	c->announcements_refused =
	    register_total("gypsummill_entry_announcements_refused_total",
		"Announcements refused (count)");
	c->probes = register_total("gypsummill_entry_probes_total",
	    "Load probes sent to targets (count)");
	c->probe_bytes = register_total("gypsummill_entry_probe_bytes_total",
	    "Estimated traffic of load probes (bytes)");
	c->buffered =
	    counter_register(COUNTER_GAUGE, "gypsummill_entry_buffered_bytes",
		"Request bodies buffered in memory (bytes)", NULL);
}
