#include "load/load_mix.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "base/str.h"

enum {
	LINE_BYTES = 1024,
	TIMEOUT_DEFAULT_MS = 10000,
	ABANDON_DEFAULT_MS = 5
};

struct field {
	const char *name;
	size_t offset;
	size_t size; /* of a string field; 0: a number */
};

#define TEXT_FIELD(name)                                   \
	{                                                  \
#name, offsetof(struct load_route, name),  \
		    sizeof(((struct load_route *)0)->name) \
	}
#define NUMBER_FIELD(name)                                  \
	{                                                   \
#name, offsetof(struct load_route, name), 0 \
	}

static const struct field fields[] = {
    TEXT_FIELD(service),
    TEXT_FIELD(method),
    TEXT_FIELD(host),
    TEXT_FIELD(path),
    TEXT_FIELD(token),
    NUMBER_FIELD(tokens),
    NUMBER_FIELD(weight),
    NUMBER_FIELD(bytes),
    NUMBER_FIELD(body),
    NUMBER_FIELD(key),
    NUMBER_FIELD(twice_percent),
    NUMBER_FIELD(abandon_percent),
    NUMBER_FIELD(abandon_ms),
    NUMBER_FIELD(timeout_ms),
};

/*
 * Copies value as a C string; false when it does not fit into size bytes.
 */
static bool
copy_text(char *out, size_t size, struct str value)
{
	if (value.len >= size)
		return false;
	memcpy(out, value.data, value.len);
	out[value.len] = '\0';
	return true;
}

/*
 * Sets one field of a route; false when the field is unknown or the value is
 * too long or not a number.
 */
static bool
set_route_field(struct load_route *route, struct str name, struct str value)
{
	for (unsigned i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		char *at = (char *)route + fields[i].offset;

		if (!str_equal_c(name, fields[i].name))
			continue;
		if (fields[i].size > 0)
			return copy_text(at, fields[i].size, value);
		return str_to_u64(value, (uint64_t *)(void *)at);
	}
	return false;
}

/*
 * Adds the route described by a line, with defaults for missing fields; blank
 * lines and comments add none.  Returns STATUS_FULL for more than
 * LOAD_ROUTES_MAX routes, STATUS_INVALID for an invalid field.
 */
static enum status
read_line(struct load_mix *mix, struct str line, unsigned number)
{
	struct load_route *route;
	struct str word;

	line = str_trim(line);
	if (line.len == 0 || line.data[0] == '#')
		return STATUS_OK;
	if (mix->count == LOAD_ROUTES_MAX)
		return status_set(STATUS_FULL, "line %u: more than %d routes",
		    number, LOAD_ROUTES_MAX);
	route = &mix->routes[mix->count++];
	*route = (struct load_route){.method = "GET",
	    .path = "/",
	    .weight = 1,
	    .tokens = 1,
	    .abandon_ms = ABANDON_DEFAULT_MS,
	    .timeout_ms = TIMEOUT_DEFAULT_MS};
	str_split(&line, ' ', &word);
	if (!copy_text(route->name, sizeof(route->name), word))
		return status_set(STATUS_INVALID,
		    "line %u: the route name is too long", number);
	while (str_split(&line, ' ', &word)) {
		struct str name;

		if (word.len == 0)
			continue;
		if (!str_split(&word, '=', &name) ||
		    !set_route_field(route, name, word))
			return status_set(STATUS_INVALID,
			    "line %u: field \"%.*s\" is unknown or its value "
			    "is not allowed",
			    number, STR_ARG(name));
	}
	mix->weight += route->weight;
	return STATUS_OK;
}

/*
 * Reads a mix.  Returns STATUS_IO when the file cannot be opened, or
 * STATUS_INVALID with the number of the invalid line.
 */
enum status
load_mix_read(const char *path, struct load_mix *mix)
{
	FILE *in = fopen(path, "r");
	char line[LINE_BYTES];
	enum status status = STATUS_OK;

	*mix = (struct load_mix){0};
	if (in == NULL)
		return status_set_errno(STATUS_IO, path);
	for (unsigned number = 1;
	     status == STATUS_OK && fgets(line, sizeof(line), in) != NULL;
	     number++) {
		if (strlen(line) == sizeof(line) - 1 &&
		    line[sizeof(line) - 2] != '\n')
			status = status_set(STATUS_INVALID,
			    "line %u: longer than %d bytes", number,
			    LINE_BYTES - 2);
		else
			status = read_line(mix, str_from(line), number);
	}
	fclose(in);
	if (status == STATUS_OK && mix->weight == 0)
		return status_set(STATUS_INVALID,
		    "%s: the file contains no route with a weight above 0",
		    path);
	return status;
}

/*
 * Returns the index of a random route, with probability proportional to weight.
 */
unsigned
load_mix_draw(const struct load_mix *mix, struct random *random)
{
	uint64_t at = random_below(random, mix->weight);
	unsigned i = 0;

	while (at >= mix->routes[i].weight)
		at -= mix->routes[i++].weight;
	return i;
}
