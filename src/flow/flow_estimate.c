/*
 * What a scheduler has learnt of a service, exchanged between entries and kept
 * by control instances.
 */
#include <string.h>

#include "base/logger.h"
#include "flow/flow_internal.h"

enum {
	ESTIMATE_INTERVAL_US = 2000 * 1000 /* between two to control */
};

/*
 * Another entry that schedules a part of the service has learnt of it: an entry
 * without a share in scheduling keeps that, since it may be the next scheduler.
 */
void
schedule_adopt_grant(
    struct service *service, const Fleet__Grant *grant, uint32_t route)
{
	struct placement_model model = {.route_count = 0};

	if (grant->resets)
		placement_note_resets(
		    service->placement, flow_now_us(service->flow));
	if (service->owner || grant->speed.len != sizeof(model.speed))
		return;
	if (grant->work_us > 0) {
		model.route[0] = route;
		model.work_us[0] = grant->work_us;
		model.route_count = 1;
	}
	memcpy(model.speed, grant->speed.data, sizeof(model.speed));
	placement_adopt_model(service->placement, &model);
}

/*
 * A control instance knows what an earlier scheduler has learnt of a service.
 */
void
schedule_on_estimate(struct flow *flow, const Fleet__Estimate *estimate)
{
	struct service *service =
	    g_hash_table_lookup(flow->services, estimate->service);
	struct placement_model model = {.route_count = 0};

	if (service == NULL || !placement_knows_nothing(service->placement) ||
	    estimate->speed.len != sizeof(model.speed) ||
	    estimate->n_work_us != estimate->n_route)
		return;
	for (size_t i = 0;
	     i < estimate->n_route && i < PLACEMENT_MODEL_ROUTES_MAX; i++) {
		model.route[model.route_count] = estimate->route[i];
		model.work_us[model.route_count++] = estimate->work_us[i];
	}
	memcpy(model.speed, estimate->speed.data, sizeof(model.speed));
	placement_adopt_model(service->placement, &model);
	if (flow_may_log(flow))
		log_info("estimate",
		    "instance=%s service=%s routes=%u next=adopted",
		    flow->settings.instance, service->name, model.route_count);
}

/*
 * Sends what was learnt of a service that this entry schedules to the control
 * instances, which keep it for entries that start.
 */
void
schedule_send_estimate(struct service *service, uint64_t now_us)
{
	Fleet__Frame frame = FLEET__FRAME__INIT;
	Fleet__Estimate estimate = FLEET__ESTIMATE__INIT;
	struct placement_model model;

	if (!service->owner || now_us < service->estimate_due_us)
		return;
	service->estimate_due_us = now_us + ESTIMATE_INTERVAL_US;
	placement_get_model(service->placement, NULL, &model);
	estimate.service = service->name;
	estimate.n_route = model.route_count;
	estimate.route = model.route;
	estimate.n_work_us = model.route_count;
	estimate.work_us = model.work_us;
	estimate.speed.data = model.speed;
	estimate.speed.len = sizeof(model.speed);
	frame.body_case = FLEET__FRAME__BODY_ESTIMATE;
	frame.estimate = &estimate;
	controls_send(service->flow, &frame);
}
