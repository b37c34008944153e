#include "core/evacuation_set.h"

#include <string.h>

#include "roster/roster.h"
#include "wire/fleet_bounds.h"

/*
 * Returns whether a name may be that of an evacuated failure domain.  Spaces and
 * "/" can't stand in the path of an order.
 */
bool
evacuation_name_is_valid(const char *name)
{
	size_t len = strnlen(name, ROSTER_NAME_BYTES);

	if (len == 0 || len == ROSTER_NAME_BYTES)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (name[i] <= ' ' || name[i] > '~' || name[i] == '/')
			return false;
	}
	return true;
}

void
evacuation_set_init(struct evacuation_set *set)
{
	*set = (struct evacuation_set){
	    .names = g_ptr_array_new_with_free_func(g_free),
	};
}

void
evacuation_set_destroy(struct evacuation_set *set)
{
	if (set->names != NULL)
		g_ptr_array_free(set->names, TRUE);
	*set = (struct evacuation_set){0};
}

/*
 * Returns the position of a name, or the one at which it would be inserted.
 */
static guint
find_position(const struct evacuation_set *set, const char *name, bool *found)
{
	guint low = 0;
	guint high = set->names->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (strcmp(set->names->pdata[middle], name) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	*found =
	    low < set->names->len && strcmp(set->names->pdata[low], name) == 0;
	return low;
}

bool
evacuation_set_has(const struct evacuation_set *set, const char *name)
{
	bool found;

	(void)find_position(set, name, &found);
	return found;
}

/*
 * Applies an order at a log index.
 */
enum evacuation_change
evacuation_set_apply(
    struct evacuation_set *set, uint64_t index, const char *name, bool active)
{
	bool found;
	guint at;

	if (!evacuation_name_is_valid(name))
		return EVACUATION_INVALID;
	at = find_position(set, name, &found);
	if (found == active)
		return EVACUATION_UNCHANGED;
	if (active && set->names->len >= FLEET_EVACUATIONS_MAX)
		return EVACUATION_FULL;
	if (active)
		g_ptr_array_insert(set->names, (gint)at, g_strdup(name));
	else
		g_ptr_array_remove_index(set->names, at);
	set->index = index;
	return EVACUATION_CHANGED;
}

/*
 * Replaces the set by one of a snapshot, the cache or another instance.  Names
 * that are not valid are left out.
 */
void
evacuation_set_load(
    struct evacuation_set *set, const Fleet__Evacuations *message)
{
	g_ptr_array_set_size(set->names, 0);
	set->index = 0;
	if (message == NULL || message->index == 0)
		return;
	for (size_t i = 0; i < message->n_failure_domain; i++)
		(void)evacuation_set_apply(
		    set, message->index, message->failure_domain[i], true);
	set->index = message->index;
}

/*
 * Returns the set as a message, which is valid until the set changes.
 */
Fleet__Evacuations
evacuation_set_message(const struct evacuation_set *set)
{
	Fleet__Evacuations message = FLEET__EVACUATIONS__INIT;

	message.index = set->index;
	message.n_failure_domain = set->names->len;
	message.failure_domain = (char **)set->names->pdata;
	return message;
}
