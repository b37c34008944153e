#include "document/policy_lines.h"

#include <stdlib.h>
#include <string.h>

#include <yaml.h>

#include "base/memory.h"

enum {
	LINES_DEPTH_MAX = 8,
	LINES_PATH_MAX_BYTES = 512,
	LINES_POSITIONS_MIN = 64
};

struct position {
	uint64_t hash; /* of the path */
	uint32_t line; /* from 1 */
};

struct policy_lines {
	struct position *positions; /* sorted by hash after reading */
	size_t count;
	size_t capacity;
};

struct frame {
	bool sequence;
	bool have_key; /* mapping: next event is a value */
	uint32_t index; /* sequence: index of the next element */
	size_t path_len; /* length of the container's own path */
};

struct reader {
	struct policy_lines *lines;
	struct frame frames[LINES_DEPTH_MAX];
	unsigned depth;
	unsigned documents;
	struct str_buf path;
};

/* Records the line on which a path begins. */
static void
add_position(struct policy_lines *lines, struct str path, uint32_t line)
{
	if (lines->count == lines->capacity) {
		lines->capacity = lines->capacity > 0 ? 2 * lines->capacity
						      : LINES_POSITIONS_MIN;
		lines->positions = mem_resize(lines->positions,
		    lines->capacity * sizeof(*lines->positions));
	}
	lines->positions[lines->count++] =
	    (struct position){.hash = str_hash(path), .line = line};
}

/* Truncates the reader's path to len bytes. */
static void
truncate_path(struct reader *reader, size_t len)
{
	reader->path.len = len;
	if (reader->path.data != NULL)
		reader->path.data[len] = '\0';
}

/* Returns the line on which an event starts, from 1. */
static uint32_t
event_line(const yaml_event_t *event)
{
	return (uint32_t)event->start_mark.line + 1;
}

/* Records the line of a mapping's key and makes its path the current one. */
static enum status
read_key(struct reader *reader, struct frame *frame, const yaml_event_t *event)
{
	struct str key = str_of(
	    (const char *)event->data.scalar.value, event->data.scalar.length);

	truncate_path(reader, frame->path_len);
	if (frame->path_len + key.len + 1 > LINES_PATH_MAX_BYTES)
		return status_set(STATUS_INVALID,
		    "line %u: the key is longer than allowed",
		    event_line(event));
	if (frame->path_len > 0)
		str_buf_append_c(&reader->path, ".");
	str_buf_append(&reader->path, key);
	add_position(
	    reader->lines, str_buf_view(&reader->path), event_line(event));
	frame->have_key = true;
	return STATUS_OK;
}

/*
 * Records the start of a value; an element of a sequence becomes the current
 * path.
 */
static void
begin_value(struct reader *reader, const yaml_event_t *event)
{
	struct frame *frame;

	if (reader->depth == 0)
		return;
	frame = &reader->frames[reader->depth - 1];
	if (!frame->sequence) {
		frame->have_key = false;
		return;
	}
	truncate_path(reader, frame->path_len);
	str_buf_printf(&reader->path, "[%u]", frame->index);
	frame->index++;
	add_position(
	    reader->lines, str_buf_view(&reader->path), event_line(event));
}

/* Enters a mapping or a sequence; STATUS_INVALID beyond LINES_DEPTH_MAX. */
static enum status
push_frame(struct reader *reader, const yaml_event_t *event, bool sequence)
{
	if (reader->depth == LINES_DEPTH_MAX)
		return status_set(STATUS_INVALID,
		    "line %u: nested more than %d levels", event_line(event),
		    LINES_DEPTH_MAX);
	begin_value(reader, event);
	reader->frames[reader->depth++] = (struct frame){
	    .sequence = sequence,
	    .path_len = reader->path.len,
	};
	return STATUS_OK;
}

/* Returns whether a mapping key is expected next. */
static bool
is_key_position(const struct reader *reader)
{
	const struct frame *frame;

	if (reader->depth == 0)
		return false;
	frame = &reader->frames[reader->depth - 1];
	return !frame->sequence && !frame->have_key;
}

/* Handles a scalar: a key where one is expected, otherwise a value. */
static enum status
read_scalar(struct reader *reader, const yaml_event_t *event)
{
	if (is_key_position(reader))
		return read_key(
		    reader, &reader->frames[reader->depth - 1], event);
	begin_value(reader, event);
	return STATUS_OK;
}

/*
 * Handles one event.  STATUS_INVALID, with the line, for what a section may not
 * contain: a second document, aliases, or keys that are not scalars.
 */
static enum status
read_event(struct reader *reader, const yaml_event_t *event)
{
	switch (event->type) {
	case YAML_DOCUMENT_START_EVENT:
		if (++reader->documents > 1)
			return status_set(STATUS_INVALID,
			    "line %u: a section holds one YAML document",
			    event_line(event));
		return STATUS_OK;
	case YAML_ALIAS_EVENT:
		return status_set(STATUS_INVALID,
		    "line %u: aliases are not allowed", event_line(event));
	case YAML_SCALAR_EVENT:
		return read_scalar(reader, event);
	case YAML_MAPPING_START_EVENT:
	case YAML_SEQUENCE_START_EVENT:
		if (is_key_position(reader))
			return status_set(STATUS_INVALID,
			    "line %u: a key must be a plain text",
			    event_line(event));
		return push_frame(
		    reader, event, event->type == YAML_SEQUENCE_START_EVENT);
	case YAML_MAPPING_END_EVENT:
	case YAML_SEQUENCE_END_EVENT:
		reader->depth--;
		truncate_path(reader, reader->frames[reader->depth].path_len);
		return STATUS_OK;
	default:
		return STATUS_OK;
	}
}

/* Reads the whole stream and stops at the first error. */
static enum status
read_events(struct reader *reader, yaml_parser_t *parser)
{
	enum status status = STATUS_OK;
	bool done = false;

	while (!done && status == STATUS_OK) {
		yaml_event_t event;

		if (!yaml_parser_parse(parser, &event))
			return status_set(STATUS_INVALID, "line %zu: %s",
			    parser->problem_mark.line + 1,
			    parser->problem != NULL ? parser->problem
						    : "not valid YAML");
		status = read_event(reader, &event);
		done = event.type == YAML_STREAM_END_EVENT;
		yaml_event_delete(&event);
	}
	return status;
}

/* Orders positions by path hash, then by line, for qsort(). */
static int
compare_positions(const void *a, const void *b)
{
	const struct position *x = a;
	const struct position *y = b;

	if (x->hash != y->hash)
		return x->hash < y->hash ? -1 : 1;
	if (x->line != y->line)
		return x->line < y->line ? -1 : 1;
	return 0;
}

/* Returns STATUS_INVALID, naming both lines, for a duplicate path. */
static enum status
check_duplicates(const struct policy_lines *lines)
{
	for (size_t i = 1; i < lines->count; i++) {
		if (lines->positions[i].hash == lines->positions[i - 1].hash)
			return status_set(STATUS_INVALID,
			    "line %u: the field was already given on line %u",
			    lines->positions[i].line,
			    lines->positions[i - 1].line);
	}
	return STATUS_OK;
}

/*
 * Reads text with libyaml's event parser.  *lines is set only on success and is
 * freed with policy_lines_free().
 */
enum status
policy_lines_read(struct str text, struct policy_lines **lines)
{
	struct reader reader = {0};
	yaml_parser_t parser;
	enum status status;

	if (!yaml_parser_initialize(&parser))
		return status_set(STATUS_FULL, "no memory for the YAML parser");
	yaml_parser_set_encoding(&parser, YAML_UTF8_ENCODING);
	yaml_parser_set_input_string(
	    &parser, (const unsigned char *)text.data, text.len);
	reader.lines = mem_calloc(1, sizeof(*reader.lines));
	status = read_events(&reader, &parser);
	yaml_parser_delete(&parser);
	str_buf_free(&reader.path);
	if (status == STATUS_OK && reader.lines->count > 0) {
		qsort(reader.lines->positions, reader.lines->count,
		    sizeof(*reader.lines->positions), compare_positions);
		status = check_duplicates(reader.lines);
	}
	if (status != STATUS_OK) {
		policy_lines_free(reader.lines);
		return status;
	}
	*lines = reader.lines;
	return STATUS_OK;
}

/*
 * Frees the lines; NULL is allowed.
 */
void
policy_lines_free(struct policy_lines *lines)
{
	if (lines == NULL)
		return;
	mem_free(lines->positions);
	mem_free(lines);
}

/* Finds the position of a path by its hash; NULL when it is not in the text. */
static const struct position *
find_position(const struct policy_lines *lines, struct str path)
{
	uint64_t hash = str_hash(path);
	size_t low = 0;
	size_t high = lines->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (lines->positions[middle].hash == hash)
			return &lines->positions[middle];
		if (lines->positions[middle].hash < hash)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

/*
 * Returns the line of a field, or of its nearest ancestor if the field is not
 * in the text; 1 if there is none.
 */
uint32_t
policy_lines_find(const struct policy_lines *lines, struct str path)
{
	while (path.len > 0) {
		const struct position *position = find_position(lines, path);

		if (position != NULL)
			return position->line;
		do
			path.len--;
		while (path.len > 0 && path.data[path.len] != '.' &&
		    path.data[path.len] != '[');
	}
	return 1;
}
