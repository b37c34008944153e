#include <math.h>

#include "model.h"

/*
 * A tenth of the calls do half of the work: squared coefficient of variation
 * 4.
 */
#define HEAVY_SHARE 0.1
#define HEAVY_FACTOR 5.0
#define LIGHT_FACTOR (0.5 / (1.0 - HEAVY_SHARE))

/*
 * Starts the arrivals of a configuration: a Poisson process at a rate that
 * gives the configured utilisation of the slots.
 */
void
model_arrivals_start(
    struct model_arrivals *arrivals, const struct model_config *config)
{
	random_seed(&arrivals->random, config->seed);
	arrivals->now_us = 0;
	arrivals->mean_us = config->mean_us;
	arrivals->service = config->service;
	arrivals->gap_us =
	    config->mean_us / (config->load * config->targets * config->slots);
}

/*
 * Returns the next call.
 */
struct model_arrival
model_arrivals_next(struct model_arrivals *arrivals)
{
	struct random *random = &arrivals->random;
	double mean = arrivals->mean_us;
	double heavy = random_unit(random);
	double work;

	arrivals->now_us += random_exponential(random, arrivals->gap_us);
	if (arrivals->service == SERVICE_HYPEREXPONENTIAL)
		mean *= heavy < HEAVY_SHARE ? HEAVY_FACTOR : LIGHT_FACTOR;
	work = random_exponential(random, mean);
	return (struct model_arrival){
	    .at_us = (uint64_t)arrivals->now_us,
	    .work_us = (uint64_t)ceil(work),
	    .entry_draw = (uint32_t)(random_next(random) >> 32),
	};
}
