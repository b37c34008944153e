#include "document/policy_value.h"

#include <string.h>

enum {
	DIGEST_BYTES = 32,
	PERMYRIAD_PER_PERCENT = 100,
	MS_PER_S = 1000
};

struct unit {
	const char *suffix;
	uint64_t factor; /* in the stored unit */
};

/* Largest first, so that a value is printed in its largest whole unit. */
static const struct unit ms_units[] = {
    {"d", UINT64_C(86400000)},
    {"h", 3600000},
    {"m", 60000},
    {"s", MS_PER_S},
    {"ms", 1},
    {NULL, 0},
};
static const struct unit s_units[] = {
    {"d", 86400},
    {"h", 3600},
    {"m", 60},
    {"s", 1},
    {NULL, 0},
};
static const struct unit byte_units[] = {
    {"GB", UINT64_C(1) << 30},
    {"MB", 1 << 20},
    {"KB", 1 << 10},
    {"B", 1},
    {NULL, 0},
};

/* Returns the units that a kind is written in; NULL if it has none. */
static const struct unit *
units_of(enum policy_value_kind kind)
{
	switch (kind) {
	case POLICY_VALUE_MS:
		return ms_units;
	case POLICY_VALUE_S:
		return s_units;
	case POLICY_VALUE_BYTES:
		return byte_units;
	default:
		return NULL;
	}
}

/*
 * Returns whether values of this kind are text rather than numbers.
 */
bool
policy_value_is_text(enum policy_value_kind kind)
{
	return kind <= POLICY_VALUE_DIGEST;
}

/* Returns whether c is an ASCII digit, independent of the locale. */
static bool
is_digit(char c)
{
	return c >= '0' && c <= '9';
}

/* Returns whether c is allowed in a name: a-z, 0-9, '-', '_', '.'. */
static bool
is_name_char(char c)
{
	return (c >= 'a' && c <= 'z') || is_digit(c) || c == '-' || c == '_' ||
	    c == '.';
}

/*
 * Returns whether text consists of name characters and at most stars_max '*'.
 */
static bool
name_valid(struct str text, unsigned stars_max)
{
	unsigned stars = 0;

	for (size_t i = 0; i < text.len; i++) {
		if (text.data[i] == '*')
			stars++;
		else if (!is_name_char(text.data[i]))
			return false;
	}
	return stars <= stars_max;
}

/* Returns whether text consists of host name characters: no '_', no port. */
static bool
host_valid(struct str text)
{
	for (size_t i = 0; i < text.len; i++) {
		if (!is_name_char(text.data[i]) || text.data[i] == '_')
			return false;
	}
	return true;
}

/* Returns whether text is "*" or consists of capital letters. */
static bool
method_valid(struct str text)
{
	if (str_equal_c(text, "*"))
		return true;
	for (size_t i = 0; i < text.len; i++) {
		if (text.data[i] < 'A' || text.data[i] > 'Z')
			return false;
	}
	return true;
}

/*
 * Returns whether text is a path: starts with '/', printable ASCII, no query or
 * fragment.
 */
static bool
path_valid(struct str text)
{
	if (text.len == 0 || text.data[0] != '/')
		return false;
	for (size_t i = 0; i < text.len; i++) {
		char c = text.data[i];

		if (c <= ' ' || c > '~' || c == '?' || c == '#')
			return false;
	}
	return true;
}

/* Returns whether text has no control characters other than line feeds. */
static bool
display_text_valid(struct str text)
{
	for (size_t i = 0; i < text.len; i++) {
		unsigned char c = (unsigned char)text.data[i];

		if ((c < ' ' && c != '\n') || c == 0x7f)
			return false;
	}
	return true;
}

/*
 * Checks the characters and the length of a text against its rule.
 */
bool
policy_value_is_valid_text(
    const struct policy_value_rule *rule, struct str text)
{
	uint8_t digest[DIGEST_BYTES];

	if (text.len < rule->min || text.len > rule->max)
		return false;
	switch (rule->kind) {
	case POLICY_VALUE_NAME:
		return name_valid(text, 0);
	case POLICY_VALUE_PATTERN:
		return name_valid(text, 1);
	case POLICY_VALUE_HOST:
		return host_valid(text);
	case POLICY_VALUE_METHOD:
		return method_valid(text);
	case POLICY_VALUE_PATH:
		return path_valid(text);
	case POLICY_VALUE_DIGEST:
		return policy_value_parse_digest(text, digest);
	default:
		return display_text_valid(text);
	}
}

/* Parses a percentage in units of 1/10,000: "99.5%" is 9950. */
static bool
read_permyriad(struct str text, uint64_t *value)
{
	struct str rest = text;
	struct str whole;
	uint64_t percent;
	uint64_t hundredths = 0;

	if (text.len < 2 || text.data[text.len - 1] != '%')
		return false;
	rest.len--;
	if (!str_split(&rest, '.', &whole) || !str_to_u64(whole, &percent) ||
	    percent > PERMYRIAD_PER_PERCENT)
		return false;
	if (rest.data != NULL) {
		if (rest.len < 1 || rest.len > 2 ||
		    !str_to_u64(rest, &hundredths))
			return false;
		if (rest.len == 1)
			hundredths *= 10;
	}
	*value = percent * PERMYRIAD_PER_PERCENT + hundredths;
	return true;
}

/* Parses a whole percentage: "80%" is 80. */
static bool
read_percent(struct str text, uint64_t *value)
{
	if (text.len < 2 || text.data[text.len - 1] != '%')
		return false;
	return str_to_u64(str_of(text.data, text.len - 1), value);
}

/*
 * Parses a whole number with its unit, such as "400ms" in ms; false if the unit
 * is missing or unknown or the value overflows.
 */
static bool
read_with_unit(const struct unit *units, struct str text, uint64_t *value)
{
	size_t digits = 0;
	uint64_t number;

	while (digits < text.len && is_digit(text.data[digits]))
		digits++;
	if (!str_to_u64(str_of(text.data, digits), &number))
		return false;
	text = str_of(text.data + digits, text.len - digits);
	for (; units->suffix != NULL; units++) {
		if (!str_equal_c(text, units->suffix))
			continue;
		if (number > UINT64_MAX / units->factor)
			return false;
		*value = number * units->factor;
		return true;
	}
	return false;
}

/* Parses a word as its index, from 0, in a list such as "a|b|c". */
static bool
read_choice(const char *allowed, struct str text, uint64_t *value)
{
	struct str rest = str_from(allowed);
	struct str word;

	for (*value = 0; str_split(&rest, '|', &word); ++*value) {
		if (str_equal(word, text))
			return true;
	}
	return false;
}

/*
 * Parses a number in the stored unit (a choice: its index in the list) and
 * checks its range.
 */
bool
policy_value_parse_number(
    const struct policy_value_rule *rule, struct str text, uint64_t *value)
{
	bool read;

	switch (rule->kind) {
	case POLICY_VALUE_COUNT:
		read = str_to_u64(text, value);
		break;
	case POLICY_VALUE_PERCENT:
		read = read_percent(text, value);
		break;
	case POLICY_VALUE_PERMYRIAD:
		read = read_permyriad(text, value);
		break;
	case POLICY_VALUE_CHOICE:
		return read_choice(rule->allowed, text, value);
	default:
		read = read_with_unit(units_of(rule->kind), text, value);
		break;
	}
	return read && *value >= rule->min && *value <= rule->max;
}

/* Returns the value of a lower-case hex digit; -1 if c is not one. */
static int
hex_value(char c)
{
	if (is_digit(c))
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

/*
 * Parses 64 lower-case hex digits into 32 bytes.
 */
bool
policy_value_parse_digest(struct str text, uint8_t *digest)
{
	if (text.len != (size_t)2 * DIGEST_BYTES)
		return false;
	for (size_t i = 0; i < DIGEST_BYTES; i++) {
		int high = hex_value(text.data[2 * i]);
		int low = hex_value(text.data[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		digest[i] = (uint8_t)(high * 16 + low);
	}
	return true;
}

/* Appends a value as written in a document, in its largest whole unit. */
static void
describe_amount(
    const struct policy_value_rule *rule, uint64_t value, struct str_buf *out)
{
	const struct unit *unit = units_of(rule->kind);

	while (unit != NULL && unit[1].suffix != NULL &&
	    (value == 0 || value % unit->factor != 0))
		unit++;
	if (rule->kind == POLICY_VALUE_PERMYRIAD)
		str_buf_printf(out, "%llu.%02llu%%",
		    (unsigned long long)(value / PERMYRIAD_PER_PERCENT),
		    (unsigned long long)(value % PERMYRIAD_PER_PERCENT));
	else if (unit != NULL)
		str_buf_printf(out, "%llu%s",
		    (unsigned long long)(value / unit->factor), unit->suffix);
	else
		str_buf_printf(out, "%llu%s", (unsigned long long)value,
		    rule->kind == POLICY_VALUE_PERCENT ? "%" : "");
}

/* Describes a kind of value for error messages and the help page. */
static const char *
kind_description(enum policy_value_kind kind)
{
	switch (kind) {
	case POLICY_VALUE_NAME:
		return "a name of a-z, 0-9, '-', '_', '.'";
	case POLICY_VALUE_PATTERN:
		return "a name of a-z, 0-9, '-', '_', '.' with at most one "
		       "'*'";
	case POLICY_VALUE_HOST:
		return "a host name in lower case without a port";
	case POLICY_VALUE_METHOD:
		return "\"*\" or an HTTP method in capitals";
	case POLICY_VALUE_PATH:
		return "a path that starts with '/'";
	case POLICY_VALUE_TEXT:
		return "a text";
	case POLICY_VALUE_DIGEST:
		return "a SHA-256 as 64 lower-case hex digits";
	case POLICY_VALUE_MS:
		return "a duration in ms, s, m, h or d";
	case POLICY_VALUE_S:
		return "a duration in s, m, h or d";
	case POLICY_VALUE_BYTES:
		return "a size in B, KB, MB or GB";
	case POLICY_VALUE_PERCENT:
		return "a whole percentage";
	case POLICY_VALUE_PERMYRIAD:
		return "a percentage";
	default:
		return "a whole number";
	}
}

/*
 * Appends what is allowed, for error messages and the help page.
 */
void
policy_value_describe(const struct policy_value_rule *rule, struct str_buf *out)
{
	struct str rest = str_from(rule->allowed);
	struct str word;
	const char *separator = "one of ";

	if (rule->kind == POLICY_VALUE_CHOICE) {
		while (str_split(&rest, '|', &word)) {
			str_buf_printf(out, "%s%.*s", separator, STR_ARG(word));
			separator = ", ";
		}
		return;
	}
	str_buf_append_c(out, kind_description(rule->kind));
	if (rule->kind == POLICY_VALUE_DIGEST)
		return;
	if (policy_value_is_text(rule->kind)) {
		str_buf_printf(out, ", %llu to %llu bytes",
		    (unsigned long long)rule->min,
		    (unsigned long long)rule->max);
		return;
	}
	str_buf_append_c(out, " from ");
	describe_amount(rule, rule->min, out);
	str_buf_append_c(out, " to ");
	describe_amount(rule, rule->max, out);
}
