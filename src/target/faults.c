#include "target/faults.h"

#include <stddef.h>

struct field {
	const char *name;
	size_t offset;
};

static const struct field fields[] = {
    {"slow_percent", offsetof(struct faults, service_time_percent)},
    {"fail_percent", offsetof(struct faults, error_percent)},
    {"break_percent", offsetof(struct faults, truncate_percent)},
    {"stall_ms", offsetof(struct faults, response_delay_ms)},
    {"lie_in_flight", offsetof(struct faults, false_in_flight)},
    {"lag_ms", offsetof(struct faults, report_age_ms)},
    {"queue_max", offsetof(struct faults, queue_max)},
    {"draining", offsetof(struct faults, draining)},
    {"leaving", offsetof(struct faults, leaving)},
    {"refuse_percent", offsetof(struct faults, refuse_percent)},
    {"retry_after_ms", offsetof(struct faults, retry_after_ms)},
};

enum {
	FIELD_COUNT = sizeof(fields) / sizeof(fields[0])
};

/*
 * Returns a pointer to the value of a field.
 */
static _Atomic uint64_t *
value_of(struct faults *faults, const struct field *field)
{
	return (_Atomic uint64_t *)((char *)faults + field->offset);
}

/*
 * Initialises faults to none, with at most queue_max queued calls.
 */
void
faults_init(struct faults *faults, uint64_t queue_max)
{
	for (unsigned i = 0; i < FIELD_COUNT; i++)
		atomic_store(value_of(faults, &fields[i]), 0);
	atomic_store(&faults->service_time_percent, 100);
	atomic_store(&faults->queue_max, queue_max);
}

/*
 * Returns the field with the given name, or NULL.
 */
static const struct field *
find_field(struct str name)
{
	for (unsigned i = 0; i < FIELD_COUNT; i++) {
		if (str_equal_c(name, fields[i].name))
			return &fields[i];
	}
	return NULL;
}

/*
 * Sets faults from a query string; those not named are unchanged.  Returns
 * STATUS_INVALID with the first invalid field; the fields before it are set.
 */
enum status
faults_set(struct faults *faults, struct str query)
{
	struct str item;

	while (str_split(&query, '&', &item)) {
		const struct field *field;
		struct str name;
		uint64_t value;

		if (!str_split(&item, '=', &name))
			return status_set(STATUS_INVALID, "empty field");
		field = find_field(name);
		if (field == NULL || !str_to_u64(item, &value))
			return status_set(STATUS_INVALID,
			    "%.*s: no such fault, or not a number",
			    STR_ARG(name));
		atomic_store(value_of(faults, field), value);
	}
	return STATUS_OK;
}

/*
 * Appends the current faults as a JSON object.
 */
void
faults_write_json(struct faults *faults, struct str_buf *out)
{
	for (unsigned i = 0; i < FIELD_COUNT; i++)
		str_buf_printf(out, "%s\"%s\":%llu", i == 0 ? "{" : ",",
		    fields[i].name,
		    (unsigned long long)atomic_load(
			value_of(faults, &fields[i])));
	str_buf_append_c(out, "}\n");
}
