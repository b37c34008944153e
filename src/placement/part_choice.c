#include "placement/part_choice.h"

#include <glib.h>

#include "base/clock.h"
#include "base/memory.h"
#include "base/random.h"

enum {
	/* Older loads say nothing: the mean request takes 0.3 s. */
	LOAD_VALID_US = 1000 * 1000,
	/* Of the part to which a request is moved. */
	MOVE_LOAD_VALID_US = 500 * 1000,
	MOVE_FROM_LOAD = 100, /* no slot is free */
	MOVE_TO_LOAD = 90,
	SHORT_LOAD = 80, /* a part with more is short of room */
	/*
	 * The weight falls in proportion to the room up to this load, with two
	 * fifths of the useful slots waiting.  With 100 or 120 it falls so
	 * steeply that loads oscillate, since what an entry knows is up to 1 s
	 * old and a request ends after about 0.3 s: in the replay at 0.9 of all
	 * slots the largest and the smallest load differ by 0.3 in the mean,
	 * with 140 by 0.15.
	 */
	NO_ROOM_LOAD = 140
};

/* Each part gets this part of its share, so that entries hear of its load. */
static const double least_weight = 1.0 / 16;

struct part {
	unsigned targets; /* that the entry may use */
	uint32_t load; /* hundredths of the useful slots; 0: never reported */
	uint64_t heard_us;
	/* Requests due to this part less those it has got. */
	double credit;
	double weight; /* in the current choice */
};

struct part_choice {
	struct random random;
	bool started;
	unsigned count;
	struct part parts[];
};

/*
 * Returns a new choice.
 */
struct part_choice *
part_choice_new(unsigned parts, uint64_t seed)
{
	struct part_choice *c =
	    mem_calloc(1, sizeof(*c) + parts * sizeof(c->parts[0]));

	random_seed(&c->random, seed);
	c->count = parts;
	return c;
}

/*
 * Frees a choice, which may be NULL.
 */
void
part_choice_free(struct part_choice *c)
{
	mem_free(c);
}

/*
 * Returns the number of parts.
 */
unsigned
part_choice_count(const struct part_choice *c)
{
	return c->count;
}

/*
 * Sets the number of usable targets of a part.
 */
void
part_choice_set_targets(struct part_choice *c, unsigned part, unsigned targets)
{
	c->parts[part].targets = targets;
}

/*
 * Records the load of a part.
 */
void
part_choice_note_load(
    struct part_choice *c, unsigned part, uint32_t load, uint64_t now_us)
{
	if (part >= c->count || load == 0)
		return;
	c->parts[part].load = load;
	c->parts[part].heard_us = now_us;
}

/*
 * Returns whether the load of a part was reported within a time in
 * microseconds.
 */
static bool
is_load_known(const struct part *p, uint64_t now_us, uint64_t within_us)
{
	return p->load > 0 && now_us - p->heard_us <= within_us;
}

/*
 * Returns the last load of a part.
 */
uint32_t
part_choice_load(const struct part_choice *c, unsigned part, uint64_t now_us,
    uint64_t *age_us)
{
	const struct part *p = &c->parts[part];

	*age_us = p->load > 0 ? now_us - p->heard_us : 0;
	return p->load;
}

/*
 * Returns the factor by which a load reduces the share of a part.
 */
static double
room_factor(uint32_t load)
{
	double factor = 1;

	if (load > SHORT_LOAD)
		factor =
		    ((double)NO_ROOM_LOAD - load) / (NO_ROOM_LOAD - SHORT_LOAD);
	return factor > least_weight ? factor : least_weight;
}

/*
 * Sets the weights of the parts.  One whose load is not known gets its share,
 * by the mean factor of the others: with a factor of 1 it would get more than
 * its share while those are short of room.  Returns the sum, and whether a part
 * is short of room.
 */
static double
set_weights(struct part_choice *c, uint64_t now_us, bool *is_short)
{
	double known = 0;
	double known_targets = 0;
	double sum = 0;

	*is_short = false;
	for (unsigned i = 0; i < c->count; i++) {
		struct part *p = &c->parts[i];

		if (!is_load_known(p, now_us, LOAD_VALID_US))
			continue;
		p->weight = room_factor(p->load) * p->targets;
		known += p->weight;
		known_targets += p->targets;
		*is_short =
		    *is_short || (p->load > SHORT_LOAD && p->targets > 0);
	}
	for (unsigned i = 0; i < c->count; i++) {
		struct part *p = &c->parts[i];

		if (!is_load_known(p, now_us, LOAD_VALID_US))
			p->weight = p->targets *
			    (known_targets > 0 ? known / known_targets : 1);
		sum += p->weight;
	}
	return sum;
}

/*
 * Credits each part its share and takes the one with the most credit.  Over any
 * time each part gets its share within a few requests, where draws at random
 * would vary by the root of their number.  Without usable targets (a sum of 0)
 * all parts are equal.
 */
static unsigned
take_next(struct part_choice *c, double sum)
{
	unsigned best = c->count;

	for (unsigned i = 0; i < c->count; i++) {
		struct part *p = &c->parts[i];

		if (sum <= 0)
			p->weight = 1;
		p->credit += p->weight / (sum > 0 ? sum : c->count);
		if (p->weight > 0 &&
		    (best == c->count || p->credit > c->parts[best].credit))
			best = i;
	}
	c->parts[best].credit--;
	return best;
}

/*
 * Returns the part of the next request.  Each entry starts at a random position
 * of the sequence, which repeats after as many requests as there are targets:
 * entries that start together take different parts at any time.
 */
unsigned
part_choice_next(
    struct part_choice *c, uint64_t now_us, enum part_reason *reason)
{
	bool is_short;
	double sum = set_weights(c, now_us, &is_short);
	uint64_t skipped = 0;

	for (unsigned i = 0; i < c->count && !c->started; i++)
		skipped += MAX(c->parts[i].targets, 1);
	skipped = skipped > 0 ? random_below(&c->random, skipped) : 0;
	for (c->started = true; skipped > 0; skipped--)
		(void)take_next(c, sum);
	*reason = is_short ? PART_SHORT : PART_SHARE;
	return take_next(c, sum);
}

/*
 * Returns the weight of a part to which a request may be moved: its free useful
 * slots; 0 if it may not.
 */
static double
move_weight(const struct part *p, uint64_t now_us)
{
	if (p->load >= MOVE_TO_LOAD ||
	    !is_load_known(p, now_us, MOVE_LOAD_VALID_US))
		return 0;
	return (double)p->targets * (MOVE_TO_LOAD - p->load);
}

/*
 * Moves a request off a part without a free slot.  The other part is drawn by
 * its room: the one with the least load would get the moved requests of all
 * entries at once.
 */
bool
part_choice_move(
    struct part_choice *c, unsigned from, uint64_t now_us, unsigned *to)
{
	double sum = 0;
	double draw;
	bool found = false;

	if (from >= c->count || c->parts[from].load < MOVE_FROM_LOAD ||
	    !is_load_known(&c->parts[from], now_us, MOVE_LOAD_VALID_US))
		return false;
	for (unsigned i = 0; i < c->count; i++)
		sum += move_weight(&c->parts[i], now_us);
	draw = random_unit(&c->random) * sum;
	for (unsigned i = 0; i < c->count && (!found || draw >= 0); i++) {
		double weight = move_weight(&c->parts[i], now_us);

		if (weight <= 0)
			continue;
		draw -= weight;
		*to = i;
		found = true;
	}
	return found;
}
