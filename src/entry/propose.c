#include "entry/propose.h"

#include "base/clock.h"
#include "base/logger.h"
#include "base/memory.h"

static const uint64_t propose_timeout_us = 3 * US_PER_S;

/*
 * Proposes a command to control and waits for its result, at most
 * propose_timeout_us.  Returns the result's status and sets its message.
 */
static enum status
propose(struct link *link, const Wire__Command *command)
{
	Wire__Result *result = NULL;
	enum status status = link_propose(
	    link, command, clock_monotonic_us() + propose_timeout_us, &result);

	if (status != STATUS_OK)
		return status;
	status = (enum status)result->status;
	if (status != STATUS_OK)
		status_set(status, "%s", result->message);
	link_result_free(result);
	return status;
}

/*
 * Proposes a target, held by t->holder.  Returns STATUS_CONFLICT
 * when control has a newer announcement, STATUS_BUSY when it has this one.
 */
enum status
propose_target(struct link *link, const struct registry_target *t)
{
	Wire__Target target = WIRE__TARGET__INIT;
	Wire__TargetPut put = WIRE__TARGET_PUT__INIT;
	Wire__Command command = WIRE__COMMAND__INIT;
	enum status status;

	target.id = str_dup(t->id);
	target.service = str_dup(t->service);
	target.address = str_dup(t->address);
	target.failure_domain = str_dup(t->failure_domain);
	target.slots = t->slots;
	target.connections = t->connections;
	target.state = (Wire__TargetState)t->state;
	target.holder = str_dup(t->holder);
	target.incarnation = t->incarnation;
	target.sequence = t->sequence;
	put.target = &target;
	command.body_case = WIRE__COMMAND__BODY_TARGET_PUT;
	command.target_put = &put;
	status = propose(link, &command);
	mem_free(target.id);
	mem_free(target.service);
	mem_free(target.address);
	mem_free(target.failure_domain);
	mem_free(target.holder);
	return status;
}

/*
 * Proposes to remove a target that this entry holds; incarnation 0 means any.
 */
enum status
propose_target_removal(
    const struct entry *entry, struct str id, uint64_t incarnation)
{
	Wire__TargetRemove remove = WIRE__TARGET_REMOVE__INIT;
	Wire__Command command = WIRE__COMMAND__INIT;
	char *text = str_dup(id);
	enum status status;

	remove.id = text;
	remove.holder = str_dup(str_from(entry->name));
	remove.incarnation = incarnation;
	command.body_case = WIRE__COMMAND__BODY_TARGET_REMOVE;
	command.target_remove = &remove;
	status = propose(entry->link, &command);
	mem_free(text);
	mem_free(remove.holder);
	return status;
}

/*
 * Proposes that a target drains.  Control's registry makes that final for the
 * incarnation; a target that the view lacks may return and is asked for later.
 */
enum departure_result
propose_departure(struct entry *entry, struct str id, uint64_t incarnation)
{
	struct registry_target *target = view_copy_target(entry->views, id);
	enum departure_result result = DEPARTURE_LATER;

	if (target != NULL && target->incarnation > incarnation)
		result = DEPARTURE_OBSOLETE;
	if (target != NULL && target->incarnation == incarnation) {
		target->state = REGISTRY_DRAINING;
		if (propose_target(entry->link, target) == STATUS_OK)
			result = DEPARTURE_RECORDED;
		else
			log_info("departure_not_recorded",
			    "target=%.*s next=asked_again reason=\"%s\"",
			    STR_ARG(id), status_message());
	}
	mem_free(target);
	return result;
}
