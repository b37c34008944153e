#include "flow/head.h"

#include <string.h>
#include <strings.h>

/* Fields that concern one connection only (RFC 9110, 7.6.1). */
static const char *const hop_by_hop[] = {"Connection", "Keep-Alive",
    "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
    NULL};

/*
 * Appends a piece of a field name; the first piece after a value starts a new
 * field.
 */
bool
head_append_name(struct head *head, struct str piece)
{
	if (head->count == 0 || head->in_value) {
		if (head->count == HEAD_FIELDS_MAX)
			return false;
		head->fields[head->count++] = (struct head_field){
		    .name_offset = (uint32_t)head->text.len,
		};
		head->in_value = false;
	}
	head->fields[head->count - 1].name_len += (uint32_t)piece.len;
	str_buf_append(&head->text, piece);
	return true;
}

/*
 * Appends a piece of a field value.
 */
bool
head_append_value(struct head *head, struct str piece)
{
	struct head_field *field;

	if (head->count == 0)
		return false;
	field = &head->fields[head->count - 1];
	if (!head->in_value)
		field->value_offset = (uint32_t)head->text.len;
	head->in_value = true;
	field->value_len += (uint32_t)piece.len;
	str_buf_append(&head->text, piece);
	return true;
}

static struct str
name_of(const struct head *head, unsigned i)
{
	return str_of(head->text.data + head->fields[i].name_offset,
	    head->fields[i].name_len);
}

static struct str
value_of(const struct head *head, unsigned i)
{
	return str_of(head->text.data + head->fields[i].value_offset,
	    head->fields[i].value_len);
}

static bool
same_name(struct str a, const char *b)
{
	return a.len == strlen(b) && strncasecmp(a.data, b, a.len) == 0;
}

/*
 * Returns the value of the first field with a name; data is NULL if there is
 * none.
 */
struct str
head_find(const struct head *head, const char *name)
{
	unsigned at = 0;

	return head_find_next(head, name, &at);
}

/*
 * Returns the value of the first field with a name from *at on, and sets *at
 * behind it; data is NULL if there is none.
 */
struct str
head_find_next(const struct head *head, const char *name, unsigned *at)
{
	while (*at < head->count) {
		unsigned i = (*at)++;

		if (same_name(name_of(head, i), name))
			return value_of(head, i);
	}
	return (struct str){NULL, 0};
}

/*
 * Returns the number of fields with a name.
 */
unsigned
head_count(const struct head *head, const char *name)
{
	unsigned count = 0;

	for (unsigned i = 0; i < head->count; i++)
		count += same_name(name_of(head, i), name) ? 1 : 0;
	return count;
}

/*
 * Returns whether a message has no transfer coding but chunks, the only one that
 * the parser decodes.
 */
bool
head_coding_is_chunked(const struct head *head)
{
	struct str coding = head_find(head, "Transfer-Encoding");

	return coding.data == NULL ||
	    (head_count(head, "Transfer-Encoding") == 1 &&
		same_name(coding, "chunked"));
}

/*
 * Returns whether a field name has a space.  The parser ignores one in front of
 * the colon, while others may not know the field then.
 */
bool
head_has_space_in_name(const struct head *head)
{
	for (unsigned i = 0; i < head->count; i++) {
		struct str name = name_of(head, i);

		if (memchr(name.data, ' ', name.len) != NULL)
			return true;
	}
	return false;
}

static bool
is_listed(struct str name, const char *const *list)
{
	for (; *list != NULL; list++) {
		if (same_name(name, *list))
			return true;
	}
	return false;
}

/*
 * Returns whether a Connection field lists another field.
 */
static bool
is_connection_option(const struct head *head, struct str name)
{
	for (unsigned i = 0; i < head->count; i++) {
		struct str rest, item;

		if (!same_name(name_of(head, i), "Connection"))
			continue;
		rest = value_of(head, i);
		while (str_split(&rest, ',', &item)) {
			item = str_trim(item);
			if (item.len == name.len &&
			    strncasecmp(item.data, name.data, name.len) == 0)
				return true;
		}
	}
	return false;
}

/*
 * Appends the fields to forward, one per line.
 */
void
head_forward(
    const struct head *head, const char *const *without, struct str_buf *out)
{
	for (unsigned i = 0; i < head->count; i++) {
		struct str name = name_of(head, i);

		if (is_listed(name, hop_by_hop) || is_listed(name, without) ||
		    is_connection_option(head, name))
			continue;
		str_buf_append(out, name);
		str_buf_append(out, STR_LITERAL(": "));
		str_buf_append(out, value_of(head, i));
		str_buf_append(out, STR_LITERAL("\r\n"));
	}
}

/*
 * Clears a head for the next message.
 */
void
head_clear(struct head *head)
{
	str_buf_clear(&head->text);
	head->count = 0;
	head->in_value = false;
}

/*
 * Frees the memory of a head.
 */
void
head_free(struct head *head)
{
	str_buf_free(&head->text);
}
