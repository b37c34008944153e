#include "core/core_inspect.h"

#include <stdio.h>

#include "core/core_internal.h"

static enum status
on_snapshot(void *ctx, uint64_t index ATTR_UNUSED, struct str data)
{
	struct core_inspection *inspection = ctx;

	return core_state_load(&inspection->state, data);
}

static void
on_command(void *ctx, uint64_t index, struct str bytes)
{
	struct core_inspection *inspection = ctx;
	Fleet__Command *command = fleet__command__unpack(
	    NULL, bytes.len, (const uint8_t *)bytes.data);
	struct core_effect effect;

	if (command == NULL) {
		inspection->unreadable++;
		return;
	}
	core_state_apply(&inspection->state, index, command, &effect);
	fleet__command__free_unpacked(command, NULL);
}

/*
 * Reads the log of a data folder.
 */
enum status
core_inspect(const char *folder, struct core_inspection *inspection)
{
	const struct replica_inspector inspector = {
	    .ctx = inspection,
	    .snapshot = on_snapshot,
	    .command = on_command,
	};
	char path[CORE_PATH_BYTES];
	int len =
	    snprintf(path, sizeof(path), "%s/%s", folder, core_log_folder);

	*inspection = (struct core_inspection){.roster = roster_new(NULL)};
	core_state_init(&inspection->state, inspection->roster);
	if (len < 0 || (size_t)len >= sizeof(path))
		return status_set(
		    STATUS_INVALID, "the path of the data folder is too long");
	return replica_inspect(path, &inspector, &inspection->contents);
}

void
core_inspection_destroy(struct core_inspection *inspection)
{
	core_state_destroy(&inspection->state);
	roster_free(inspection->roster);
	inspection->roster = NULL;
}
