/*
 * Shares of the picks per target and window.
 */
#ifndef MODEL_SHARE_H
#define MODEL_SHARE_H

#include "model.h"

enum {
	SHARE_OFFSETS = 10 /* windows examined after a recovery */
};

struct model_share {
	uint64_t window;
	uint32_t picks[MODEL_TARGETS_MAX];
	bool recovered[MODEL_TARGETS_MAX];
	uint32_t total;
	uint64_t pooled[SHARE_OFFSETS];
	uint64_t pooled_all[SHARE_OFFSETS];
};

void model_share_record_pick(struct model_share *share,
    const struct model_config *config, uint32_t target, uint64_t now_us,
    struct model_result *result);
void model_share_finish(struct model_share *share,
    const struct model_config *config, struct model_result *result);

#endif
