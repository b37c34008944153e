#include <json-c/json.h>
#include <string.h>

#include "burn/burn.h"

static const char *const window_names[] = {"short", "long", "window"};

enum {
	WINDOW_NAMES = sizeof(window_names) / sizeof(window_names[0])
};

/*
 * Adds a string.
 */
static void
add_str(struct json_object *object, const char *name, struct str s)
{
	json_object_object_add(
	    object, name, json_object_new_string_len(s.data, (int)s.len));
}

/*
 * Adds a number, or replaces the one of the same name.
 */
static void
set_number(struct json_object *object, const char *name, uint64_t value)
{
	json_object_object_add(object, name, json_object_new_uint64(value));
}

/*
 * Returns a number, or 0 if it is missing, since an older entry may omit it.
 */
static uint64_t
get_number(struct json_object *object, const char *name)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, name, &value))
		return 0;
	return json_object_get_uint64(value);
}

/*
 * Returns the counts of a window with their rate as an object owned by the
 * caller.
 */
static struct json_object *
window_json(uint64_t good, uint64_t bad, uint32_t success_permyriad)
{
	struct json_object *object = json_object_new_object();

	set_number(object, "good", good);
	set_number(object, "bad", bad);
	json_object_object_add(object, "rate",
	    json_object_new_double(burn_rate(good, bad, success_permyriad)));
	return object;
}

/*
 * Visitor that appends the figures of a key to the array ctx.
 */
static void
add_stats(void *ctx, const struct burn_stats *stats)
{
	struct json_object *array = ctx;
	struct json_object *object = json_object_new_object();
	uint32_t success = stats->success_permyriad;

	add_str(object, "service", stats->key.service);
	add_str(object, "objective", stats->key.objective);
	add_str(object, "tenant", stats->key.tenant);
	set_number(object, "success_permyriad", success);
	set_number(object, "window_s", stats->window_s);
	set_number(object, "observed_s", stats->observed_s);
	json_object_object_add(object, "short",
	    window_json(stats->short_good, stats->short_bad, success));
	json_object_object_add(object, "long",
	    window_json(stats->long_good, stats->long_bad, success));
	json_object_object_add(object, "window",
	    window_json(stats->window_good, stats->window_bad, success));
	json_object_object_add(object, "budget_left",
	    json_object_new_double(burn_budget_left(stats)));
	json_object_array_add(array, object);
}

/*
 * Returns a report with the array, of which it takes ownership.  The caller
 * owns the report.
 */
static struct json_object *
report_new(struct json_object *array)
{
	struct json_object *report = json_object_new_object();

	set_number(report, "short_s", BURN_SHORT_S);
	set_number(report, "long_s", BURN_LONG_S);
	json_object_object_add(report, "burn", array);
	return report;
}

/*
 * Appends the figures of all keys as JSON; the format is described in burn.h.
 */
void
burn_json(struct burn *burn, uint64_t now_us, struct str_buf *out)
{
	struct json_object *array = json_object_new_array();
	struct json_object *report = report_new(array);

	burn_for_each(burn, now_us, add_stats, array);
	str_buf_append_c(out,
	    json_object_to_json_string_ext(report, JSON_C_TO_STRING_PLAIN));
	json_object_put(report);
}

/*
 * Returns a string owned by the object; empty if it is missing or null.
 */
static const char *
get_text(struct json_object *object, const char *name)
{
	struct json_object *value = json_object_object_get(object, name);

	return value != NULL ? json_object_get_string(value) : "";
}

/*
 * Returns whether two items have the same service, objective and tenant.
 */
static bool
same_key(struct json_object *a, struct json_object *b)
{
	return strcmp(get_text(a, "service"), get_text(b, "service")) == 0 &&
	    strcmp(get_text(a, "objective"), get_text(b, "objective")) == 0 &&
	    strcmp(get_text(a, "tenant"), get_text(b, "tenant")) == 0;
}

/*
 * Returns the item of the array with the same key as wanted, or NULL; the
 * array owns it.
 */
static struct json_object *
find_key(struct json_object *array, struct json_object *wanted)
{
	size_t count = json_object_array_length(array);

	for (size_t i = 0; i < count; i++) {
		struct json_object *item = json_object_array_get_idx(array, i);

		if (same_key(item, wanted))
			return item;
	}
	return NULL;
}

/*
 * Adds the counts of a window to another one and recomputes its rate.
 */
static void
add_window(struct json_object *into, struct json_object *from, const char *name,
    uint32_t success_permyriad)
{
	struct json_object *left;
	struct json_object *right;
	uint64_t good;
	uint64_t bad;

	if (!json_object_object_get_ex(into, name, &left) ||
	    !json_object_object_get_ex(from, name, &right))
		return;
	good = get_number(left, "good") + get_number(right, "good");
	bad = get_number(left, "bad") + get_number(right, "bad");
	json_object_object_add(
	    into, name, window_json(good, bad, success_permyriad));
}

/*
 * Adds an item with the same key: sums the counts, takes the longer observed
 * time, and recomputes rates and remaining budget.
 */
static void
add_item(struct json_object *into, struct json_object *from)
{
	uint32_t success = (uint32_t)get_number(into, "success_permyriad");
	struct json_object *window;
	struct burn_stats stats = {.success_permyriad = success};

	for (unsigned i = 0; i < WINDOW_NAMES; i++)
		add_window(into, from, window_names[i], success);
	if (get_number(from, "observed_s") > get_number(into, "observed_s"))
		set_number(into, "observed_s", get_number(from, "observed_s"));
	if (json_object_object_get_ex(into, "window", &window)) {
		stats.window_good = get_number(window, "good");
		stats.window_bad = get_number(window, "bad");
	}
	json_object_object_add(into, "budget_left",
	    json_object_new_double(burn_budget_left(&stats)));
}

/*
 * Adds the counts of another entry's report to the merged one.
 */
enum status
burn_merge(struct json_object **merged, struct json_object *report)
{
	struct json_object *from;
	struct json_object *into;
	size_t count;

	if (!json_object_object_get_ex(report, "burn", &from) ||
	    !json_object_is_type(from, json_type_array))
		return status_set(STATUS_INVALID, "not a burn report");
	if (*merged == NULL)
		*merged = report_new(json_object_new_array());
	if (!json_object_object_get_ex(*merged, "burn", &into))
		return status_set(STATUS_INVALID, "not a burn report");
	count = json_object_array_length(from);
	for (size_t i = 0; i < count; i++) {
		struct json_object *item = json_object_array_get_idx(from, i);
		struct json_object *found = find_key(into, item);

		if (found != NULL) {
			add_item(found, item);
			continue;
		}
		found = NULL;
		if (json_object_deep_copy(item, &found, NULL) == 0)
			json_object_array_add(into, found);
	}
	return STATUS_OK;
}
