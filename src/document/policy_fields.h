/*
 * Tables of a section's fields with range, default and help text, shared by the
 * parser, the error messages and the help page.
 */
#ifndef DOCUMENT_POLICY_FIELDS_H
#define DOCUMENT_POLICY_FIELDS_H

#include "document/policy_value.h"

struct policy_field {
	const char *key;
	struct policy_value_rule rule;
	const char *
	    default_value; /* as written in YAML; NULL: required, "": optional */
	const char *help;
	const char *example;
	uint32_t raw_offset; /* of the char * in the raw struct */
	uint32_t offset; /* in the typed struct */
	uint32_t bytes; /* of the typed member */
};

struct policy_field_table {
	const char *path; /* "service.routes[]" */
	const char *help;
	const struct policy_field *fields;
	uint32_t count;
};

enum policy_table {
	POLICY_TABLE_SECTION,
	POLICY_TABLE_FLEET,
	POLICY_TABLE_TEAM,
	POLICY_TABLE_TENANT,
	POLICY_TABLE_SERVICE,
	POLICY_TABLE_ROUTE,
	POLICY_TABLE_LIMIT,
	POLICY_TABLE_OBJECTIVE,
	POLICY_TABLE_COUNT
};

extern const struct policy_field_table policy_field_tables[POLICY_TABLE_COUNT];
extern const struct policy_value_rule policy_rule_host;
extern const struct policy_value_rule policy_rule_pattern;
extern const struct policy_value_rule policy_rule_refusal;

/* Appends a Markdown page of all fields. */
void policy_fields_markdown(struct str_buf *out) ATTR_NONNULL_ALL;

#endif
