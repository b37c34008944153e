#include "model_share.h"

#include <string.h>

#include "model_fault.h"

static void
close_window(struct model_share *share, const struct model_config *config,
    struct model_result *result)
{
	double fair_share = (double)share->total / config->targets;

	for (uint32_t i = 0; i < config->targets && share->total > 0; i++) {
		double share_ratio = share->picks[i] / fair_share;

		if (share_ratio > result->share_max)
			result->share_max = share_ratio;
		if (share->recovered[i] &&
		    share_ratio > result->share_recovered)
			result->share_recovered = share_ratio;
	}
	memset(share->picks, 0, sizeof(share->picks));
	memset(share->recovered, 0, sizeof(share->recovered));
	share->total = 0;
}

static void
pool_recovered(struct model_share *share, const struct model_config *config,
    uint32_t picked, uint64_t now_us)
{
	for (uint32_t i = 0; i < config->targets; i++) {
		uint64_t since = fault_since_recovery(config, i, now_us);
		uint64_t offset = since / MODEL_WINDOW_US;

		if (since == UINT64_MAX || offset >= SHARE_OFFSETS)
			continue;
		share->recovered[i] = true;
		share->pooled_all[offset]++;
		share->pooled[offset] += i == picked;
	}
}

/*
 * Counts a pick in its window.
 */
void
model_share_record_pick(struct model_share *share,
    const struct model_config *config, uint32_t target, uint64_t now_us,
    struct model_result *result)
{
	if (now_us / MODEL_WINDOW_US != share->window) {
		close_window(share, config, result);
		share->window = now_us / MODEL_WINDOW_US;
	}
	share->picks[target]++;
	share->total++;
	if (config->faults != 0)
		pool_recovered(share, config, target, now_us);
}

/*
 * Computes the pooled shares.  The last window is incomplete and left out.
 */
void
model_share_finish(struct model_share *share, const struct model_config *config,
    struct model_result *result)
{
	for (int i = 0; i < SHARE_OFFSETS; i++) {
		double share_ratio = (double)share->pooled[i] * config->targets;

		if (share->pooled_all[i] == 0)
			continue;
		share_ratio /= (double)share->pooled_all[i];
		if (share_ratio > result->share_pooled)
			result->share_pooled = share_ratio;
	}
}
