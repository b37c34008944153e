#include "retry/crash_ledger.h"

#include <glib.h>

#include "base/clock.h"
#include "base/memory.h"

enum {
	/* Ends kept for one content, the latest ones. */
	ENDS_MAX = 16,
	CONTENTS_MAX = 1024, /* the oldest is forgotten */
	/* Several times what a report takes from entry to control. */
	JUDGE_DELAY_MS = 100,
	KEPT_MS = 60 * 60 * 1000
};

struct end {
	uint64_t target;
	uint32_t caller;
};

struct suspect {
	uint64_t content;
	struct end ends[ENDS_MAX];
	unsigned count; /* of ends */
	unsigned next; /* position of the next one */
	uint64_t recorded_us; /* time of the last one */
	bool due; /* to be judged */
	/* since when; later ends do not put it off */
	uint64_t due_us;
	bool guilty; /* it was found to end targets */
	bool answered; /* of some caller */
	GList link; /* in ledger->order */
};

struct crash_ledger {
	GHashTable *suspects; /* content -> struct suspect */
	GQueue order; /* the same ones, the longest unchanged first */
	unsigned due_count;
};

struct crash_ledger *
crash_ledger_new(void)
{
	struct crash_ledger *ledger = mem_calloc(1, sizeof(*ledger));

	ledger->suspects =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, mem_free);
	g_queue_init(&ledger->order);
	return ledger;
}

void
crash_ledger_free(struct crash_ledger *ledger)
{
	if (ledger == NULL)
		return;
	g_hash_table_destroy(ledger->suspects);
	mem_free(ledger);
}

static void
forget(struct crash_ledger *ledger, struct suspect *s)
{
	ledger->due_count -= s->due ? 1 : 0;
	g_queue_unlink(&ledger->order, &s->link);
	g_hash_table_remove(ledger->suspects, &s->content);
}

static struct suspect *
get_suspect(struct crash_ledger *ledger, uint64_t content)
{
	struct suspect *s = g_hash_table_lookup(ledger->suspects, &content);

	if (s != NULL) {
		g_queue_unlink(&ledger->order, &s->link);
	} else {
		if (ledger->order.length >= CONTENTS_MAX)
			forget(ledger, g_queue_peek_head(&ledger->order));
		s = mem_calloc(1, sizeof(*s));
		s->content = content;
		s->link.data = s;
		g_hash_table_insert(ledger->suspects, &s->content, s);
	}
	g_queue_push_tail_link(&ledger->order, &s->link);
	return s;
}

static bool
has_end(const struct suspect *s, uint64_t target)
{
	for (unsigned i = 0; i < s->count; i++) {
		if (s->ends[i].target == target)
			return true;
	}
	return false;
}

/*
 * Marks a request to be judged, after the delay from now on.
 */
static void
set_due(struct crash_ledger *ledger, struct suspect *s, uint64_t now_us)
{
	if (s->due)
		return;
	ledger->due_count++;
	s->due = true;
	s->due_us = now_us;
}

/*
 * Records the end of a target under a request.
 */
void
crash_ledger_record(struct crash_ledger *ledger, uint64_t content,
    uint32_t caller, uint64_t target, uint64_t now_us)
{
	struct suspect *s = get_suspect(ledger, content);

	if (has_end(s, target))
		return;
	s->ends[s->next] = (struct end){.target = target, .caller = caller};
	s->next = (s->next + 1) % ENDS_MAX;
	if (s->count < ENDS_MAX)
		s->count++;
	s->recorded_us = now_us;
	set_due(ledger, s, now_us);
}

/*
 * Forgets the ends under a caller's requests that a target has answered.  The
 * content alone ends no target.
 */
bool
crash_ledger_answered(
    struct crash_ledger *ledger, uint64_t content, uint32_t caller)
{
	struct suspect *s = g_hash_table_lookup(ledger->suspects, &content);
	unsigned kept = 0;
	bool known;

	if (s == NULL)
		return false;
	for (unsigned i = 0; i < s->count; i++) {
		if (s->ends[i].caller != caller)
			s->ends[kept++] = s->ends[i];
	}
	known = kept < s->count;
	s->count = kept;
	s->next = kept % ENDS_MAX;
	s->answered = true;
	s->guilty = false;
	set_due(ledger, s, s->recorded_us);
	return known;
}

/* Why a target may have ended under another request than the one in question. */
enum explanation {
	EXPLAINED_NOT,
	EXPLAINED_BY_SUSPECT, /* under which more targets have ended */
	EXPLAINED_BY_GUILTY
};

static enum explanation
explain(
    const struct crash_ledger *ledger, const struct suspect *s, uint64_t target)
{
	enum explanation found = EXPLAINED_NOT;

	for (const GList *l = ledger->order.head; l != NULL; l = l->next) {
		const struct suspect *other = l->data;

		if (other == s || !has_end(other, target))
			continue;
		if (other->guilty)
			return EXPLAINED_BY_GUILTY;
		if (other->count > s->count)
			found = EXPLAINED_BY_SUSPECT;
	}
	return found;
}

/*
 * Judges a request by the ends that no other request explains: those under the
 * latest caller's requests, or under all callers' if none was answered.  One of
 * the caller's is enough of more than CRASHES_MAX if the others were beside
 * requests that are refused since: of several harmful requests on the same
 * targets, each would else end as many targets again.
 */
static void
judge(struct crash_ledger *ledger, struct suspect *s, crash_verdict *verdict,
    void *ctx)
{
	uint32_t caller = s->ends[(s->next + ENDS_MAX - 1) % ENDS_MAX].caller;
	unsigned own_beside_guilty = 0;
	unsigned own = 0;
	unsigned all = 0;
	unsigned needed;
	bool all_callers;

	if (s->count < CRASHES_MAX)
		return;
	for (unsigned i = 0; i < s->count; i++) {
		bool is_own = s->ends[i].caller == caller;

		switch (explain(ledger, s, s->ends[i].target)) {
		case EXPLAINED_NOT:
			all++;
			own += is_own ? 1 : 0;
			break;
		case EXPLAINED_BY_GUILTY:
			own_beside_guilty += is_own ? 1 : 0;
			break;
		case EXPLAINED_BY_SUSPECT:
			break;
		}
	}
	needed = own + own_beside_guilty > CRASHES_MAX ? 1 : CRASHES_MAX;
	all_callers = all >= CRASHES_MAX && own < all && !s->answered;
	s->guilty = own >= needed || all_callers;
	if (s->guilty)
		verdict(
		    ctx, s->content, all_callers ? CRASH_ANY_CALLER : caller);
}

/*
 * Judges the requests of the latest ends, and forgets old ones.
 */
void
crash_ledger_judge(struct crash_ledger *ledger, uint64_t now_us,
    crash_verdict *verdict, void *ctx)
{
	struct suspect *oldest = g_queue_peek_head(&ledger->order);

	if (oldest != NULL &&
	    now_us - oldest->recorded_us >= KEPT_MS * US_PER_MS)
		forget(ledger, oldest);
	/* Backwards: the latest ones are at the end. */
	for (GList *l = ledger->order.tail; l != NULL && ledger->due_count > 0;
	     l = l->prev) {
		struct suspect *s = l->data;

		if (!s->due || now_us - s->due_us < JUDGE_DELAY_MS * US_PER_MS)
			continue;
		s->due = false;
		ledger->due_count--;
		if (verdict != NULL)
			judge(ledger, s, verdict, ctx);
	}
}
