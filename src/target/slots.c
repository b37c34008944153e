#include "target/slots.h"

#include <errno.h>
#include <pthread.h>
#include <stdbool.h>
#include <time.h>

#include "base/clock.h"
#include "base/condition.h"
#include "base/memory.h"

struct waiter {
	pthread_cond_t cond;
	struct waiter *next;
	bool running;
};

struct slots {
	pthread_mutex_t lock;
	struct waiter *head;
	struct waiter **tail; /* where to link a new waiter */
	uint32_t count;
	uint32_t running;
	uint32_t waiting;
	uint32_t queue_max;
};

/*
 * Creates count slots with a queue of at most queue_max calls; slots_free()
 * frees them.
 */
struct slots *
slots_new(uint32_t count, uint32_t queue_max)
{
	struct slots *slots = mem_calloc(1, sizeof(*slots));

	pthread_mutex_init(&slots->lock, NULL);
	slots->tail = &slots->head;
	slots->count = count;
	slots->queue_max = queue_max;
	return slots;
}

/*
 * Frees the slots, which no call may be using.
 */
void
slots_free(struct slots *slots)
{
	pthread_mutex_destroy(&slots->lock);
	mem_free(slots);
}

/*
 * Removes a waiter, which must be queued, from the queue.  Called with the lock
 * held.
 */
static void
unlink_waiter(struct slots *slots, struct waiter *waiter)
{
	struct waiter **link = &slots->head;

	while (*link != waiter)
		link = &(*link)->next;
	*link = waiter->next;
	if (slots->tail == &waiter->next)
		slots->tail = link;
	slots->waiting--;
}

/*
 * Queues the call until slots_release() passes it a slot or its deadline passes.
 * Called with the lock held.
 */
static enum slots_result
wait_for_slot(struct slots *slots, uint64_t deadline_us)
{
	struct waiter waiter = {0};

	condition_init(&waiter.cond);
	/* The waiter is removed from the queue before this function returns. */
	*slots->tail = &waiter;
	/* cppcheck-suppress autoVariables */
	slots->tail = &waiter.next;
	slots->waiting++;
	while (!waiter.running) {
		if (!condition_wait(&waiter.cond, &slots->lock, deadline_us))
			break;
	}
	pthread_cond_destroy(&waiter.cond);
	if (waiter.running)
		return SLOTS_ACQUIRED;
	unlink_waiter(slots, &waiter);
	return SLOTS_DEADLINE_EXCEEDED;
}

/*
 * Acquires a slot, waiting at most until the deadline (us, monotonic clock).
 * After SLOTS_ACQUIRED, and only then, the caller must call slots_release().
 */
enum slots_result
slots_acquire(struct slots *slots, uint64_t deadline_us)
{
	enum slots_result result = SLOTS_ACQUIRED;

	pthread_mutex_lock(&slots->lock);
	if (slots->running < slots->count)
		slots->running++;
	else if (slots->waiting >= slots->queue_max)
		result = SLOTS_QUEUE_FULL;
	else
		result = wait_for_slot(slots, deadline_us);
	pthread_mutex_unlock(&slots->lock);
	return result;
}

/*
 * Passes the caller's slot to the first waiter, or frees it when none waits.
 */
void
slots_release(struct slots *slots)
{
	struct waiter *waiter;

	pthread_mutex_lock(&slots->lock);
	waiter = slots->head;
	if (waiter != NULL) {
		unlink_waiter(slots, waiter);
		waiter->running = true;
		pthread_cond_signal(&waiter->cond);
	} else {
		slots->running--;
	}
	pthread_mutex_unlock(&slots->lock);
}

/*
 * Returns the number of calls that have a slot or are queued.
 */
uint32_t
slots_in_flight(struct slots *slots)
{
	uint32_t in_flight;

	pthread_mutex_lock(&slots->lock);
	in_flight = slots->running + slots->waiting;
	pthread_mutex_unlock(&slots->lock);
	return in_flight;
}

/*
 * Returns the number of slots.
 */
uint32_t
slots_count(const struct slots *slots)
{
	return slots->count;
}

/*
 * Sets the queue limit; calls already queued stay queued.
 */
void
slots_set_queue_max(struct slots *slots, uint32_t queue_max)
{
	pthread_mutex_lock(&slots->lock);
	slots->queue_max = queue_max;
	pthread_mutex_unlock(&slots->lock);
}
