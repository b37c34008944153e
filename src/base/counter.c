#include "base/counter.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/memory.h"

enum {
	LABEL_BYTES = 256
};

static pthread_mutex_t registry_lock = PTHREAD_MUTEX_INITIALIZER;
static struct counter *registry_head;

/*
 * Compares two label strings; NULL, for no labels, equals only NULL.
 */
static bool
same_labels(const char *a, const char *b)
{
	if (a == NULL || b == NULL)
		return a == b;
	return strcmp(a, b) == 0;
}

/*
 * Returns the registered counter of a name and labels, or NULL.  The caller
 * holds registry_lock.
 */
static struct counter *
find_counter(const char *name, const char *labels)
{
	for (struct counter *c = registry_head; c != NULL; c = c->next) {
		if (strcmp(c->name, name) == 0 &&
		    same_labels(c->labels, labels))
			return c;
	}
	return NULL;
}

/*
 * Inserts a counter after the last one of the same name, since the series of
 * a metric must be rendered together.  The caller holds registry_lock.
 */
static void
insert_counter(struct counter *counter)
{
	struct counter **at = &registry_head;
	struct counter **after_name = NULL;

	for (; *at != NULL; at = &(*at)->next) {
		if (strcmp((*at)->name, counter->name) == 0)
			after_name = &(*at)->next;
	}
	if (after_name == NULL)
		after_name = at;
	counter->next = *after_name;
	*after_name = counter;
}

/*
 * Returns the counter of that name and labels, registering it on first use.
 * It lives as long as the process.  labels_fmt may be NULL; label values are
 * not escaped, so they must not contain quotes, as policy names do not.
 */
struct counter *
counter_register(enum counter_kind kind, const char *name, const char *help,
    const char *labels_fmt, ...)
{
	char labels[LABEL_BYTES];
	const char *key = NULL;
	struct counter *counter;
	va_list ap;

	if (labels_fmt != NULL) {
		va_start(ap, labels_fmt);
		vsnprintf(labels, sizeof(labels), labels_fmt, ap);
		va_end(ap);
		key = labels;
	}
	pthread_mutex_lock(&registry_lock);
	counter = find_counter(name, key);
	if (counter == NULL) {
		counter = mem_calloc(1, sizeof(*counter));
		counter->kind = kind;
		counter->name = name;
		counter->help = help;
		counter->labels = key != NULL ? str_dup(str_from(key)) : NULL;
		insert_counter(counter);
	}
	pthread_mutex_unlock(&registry_lock);
	return counter;
}

/*
 * Appends all counters in the Prometheus text format.
 */
void
counter_render(struct str_buf *out)
{
	const char *last = "";

	pthread_mutex_lock(&registry_lock);
	for (const struct counter *c = registry_head; c != NULL; c = c->next) {
		if (strcmp(last, c->name) != 0) {
			str_buf_printf(out, "# HELP %s %s\n", c->name, c->help);
			str_buf_printf(out, "# TYPE %s %s\n", c->name,
			    c->kind == COUNTER_GAUGE ? "gauge" : "counter");
			last = c->name;
		}
		str_buf_append_c(out, c->name);
		if (c->labels != NULL)
			str_buf_printf(out, "{%s}", c->labels);
		str_buf_printf(out, " %lld\n", (long long)counter_get(c));
	}
	pthread_mutex_unlock(&registry_lock);
}
