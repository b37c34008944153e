#include "roster/announcement.h"

#include "base/clock.h"

/*
 * Reads an announcement and checks the bounds of its fields.
 */
bool
announcement_read(const Fleet__Announcement *message, uint64_t now_us,
    struct roster_target *target)
{
	*target = (struct roster_target){
	    .id = message->id,
	    .service = message->service,
	    .address = message->address,
	    .failure_domain = message->failure_domain,
	    .started_ms = message->started_ms,
	    .born_ms =
		message->born_ms != 0 ? message->born_ms : message->started_ms,
	    .known_us = now_us,
	    .sequence = message->sequence,
	    .slots = message->slots,
	    .warmup_end_us = now_us + message->warm_in_ms * US_PER_MS,
	    .last_seen_us = now_us,
	};
	return roster_target_is_valid(target);
}
