/*
 * State of the model of entries and voters, shared by its files.
 */
#ifndef SUPPORT_ALLOWANCE_DEFS_H
#define SUPPORT_ALLOWANCE_DEFS_H

#include <glib.h>

#include "base/clock.h"
#include "base/random.h"
#include "limit/allowance_draw.h"
#include "support_allowance.h"

enum {
	CLOSED_MS = 2000, /* until a cut connection is closed */
	RETRANSMIT_MS = 300,
	LEASE_MS = 3000, /* of a voter that hears from no leader */
	SUCCESSOR_MS = 4000,
	UNKNOWN_RETRY_MS = 500,
	/* When allowances must be usable after the first grant. */
	SOON_FROM_MS = 1000,
	SOON_MS = 2000,
	FIRST_MS = 1000 /* the second after the first grant */
};

struct message {
	uint64_t arrives_ms;
	unsigned entry;
	unsigned voter;
	enum {
		MESSAGE_DRAW,
		MESSAGE_RESULT,
		MESSAGE_RETURN
	} kind;
	uint64_t request;
	unsigned count; /* wanted, granted or returned */
	uint64_t retry_us;
	bool unavailable;
};

/* A request of a caller. */
struct request {
	struct allowance_call call;
	uint64_t sent_ms;
	uint64_t timeout_ms; /* of the pending draw */

	bool rejected;
	uint64_t target_ms; /* when it gets its target */
};

struct node {
	uint64_t frozen_until_ms;
	GQueue inbox; /* struct message */
};

struct entry {
	struct node node;
	struct allowance_draws *draws;
	GQueue waiting; /* struct request, without a token */
	GQueue placed; /* struct request with a token */
	GQueue arrivals; /* sent_ms of requests while frozen */
};

/* The file of a voter's floors. */
struct disk {
	struct str_buf file; /* empty: none */
	struct str_buf next; /* of the write under way */
	uint64_t ends_ms; /* of that write; 0: none is under way */
	uint64_t next_write_ms;
};

struct voter {
	struct node node;
	struct allowance_table *table;
	struct disk disk;
	uint64_t grants_from_ms;
	uint64_t grants_until_ms;
	uint64_t table_from_ms; /* when its buckets begin to fill; 0: now */
};

/* A caller that was refused, and sends again. */
struct return_visit {
	uint64_t at_ms;
	unsigned entry;
};

struct run_time {
	uint64_t sent_ms;
	uint64_t run_ms;
};

struct world {
	const struct allowance_model *model;
	struct random random;
	struct random disk_random; /* so that disks do not change the rest */
	struct allowance_limit limit;
	uint64_t now_ms;
	struct entry entries[ALLOWANCE_MODEL_ENTRIES];
	struct voter voters[ALLOWANCE_MODEL_VOTERS];
	/* by link and direction: arrival of the last message */
	uint64_t last_ms[ALLOWANCE_MODEL_ENTRIES][ALLOWANCE_MODEL_VOTERS][2];
	uint64_t cut_until_ms[ALLOWANCE_MODEL_ENTRIES][ALLOWANCE_MODEL_VOTERS];
	uint64_t cut_since_ms[ALLOWANCE_MODEL_ENTRIES][ALLOWANCE_MODEL_VOTERS];
	GQueue visits; /* struct return_visit */
	GArray *runs; /* struct run_time */
	uint64_t first_grant_ms; /* after the restart of all; 0: none yet */
	struct allowance_outcome outcome;
};

static inline uint64_t
now_us(const struct world *w)
{
	return w->now_ms * US_PER_MS;
}

/* support_allowance.c */
/* Ends requests that wait or were placed, as if each was sent. */
void allowance_model_end_requests(
    struct world *w, struct entry *entry, GQueue *queue);

/* support_allowance_faults.c */
struct allowance_draws *allowance_model_new_draws(const struct world *w);
/* Draws the faults of this tenth of a second. */
void allowance_model_draw_faults(struct world *w);
/* Restarts processes as the model says. */
void allowance_model_restart(struct world *w);

/* support_allowance_disk.c */
/* Begins and ends the writes of a voter. */
void allowance_model_disk_tick(struct world *w, struct voter *voter);
/* Ends a process, and starts the next one with what the disk holds. */
void allowance_model_new_table(struct world *w, struct voter *voter);

#endif
