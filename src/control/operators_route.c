#include "control/operators_route.h"

#include <string.h>

#define API_PREFIX "/gypsummill/v1"

struct route {
	const char *method;
	const char *path; /* after API_PREFIX; '*' matches a name */
	enum job_kind kind;
};

static const struct route routes[] = {
    {"GET", "/document", JOB_DOCUMENT},
    {"GET", "/document/sections", JOB_SECTIONS},
    {"GET", "/document/sections/*", JOB_SECTION},
    {"PUT", "/document/sections/*", JOB_EDIT},
    {"DELETE", "/document/sections/*", JOB_REMOVE},
    {"GET", "/document/history", JOB_HISTORY},
    {"GET", "/in-force", JOB_IN_FORCE},
    {"GET", "/status", JOB_STATUS},
    {"GET", "/explain/*", JOB_EXPLAIN},
    {"GET", "/burn", JOB_BURN},
    {"POST", "/targets/*/drain", JOB_DRAIN},
    {"GET", "/members", JOB_MEMBERS},
    {"POST", "/members/*", JOB_MEMBER_ADD},
    {"POST", "/members/*/promote", JOB_MEMBER_PROMOTE},
    {"DELETE", "/members/*", JOB_MEMBER_REMOVE},
};

/* The pages outside the API. */
static const struct page {
	const char *path;
	enum operators_page page;
	enum job_kind kind;
} pages[] = {
    {"/live", OPERATORS_PAGE_LIVE, JOB_STATUS},
    {"/metrics", OPERATORS_PAGE_METRICS, JOB_STATUS},
    {"/ready", OPERATORS_PAGE_API, JOB_READY},
};

/*
 * Matches a path against a pattern with at most one '*', which matches one path
 * segment; name gets that segment.
 */
static bool
path_matches(const char *pattern, const char *path, struct str *name)
{
	const char *star = strchr(pattern, '*');
	size_t before, after;
	size_t len = strlen(path);

	*name = (struct str){0};
	if (star == NULL)
		return strcmp(pattern, path) == 0;
	before = (size_t)(star - pattern);
	after = strlen(star + 1);
	if (len <= before + after || strncmp(pattern, path, before) != 0 ||
	    strcmp(path + len - after, star + 1) != 0)
		return false;
	*name = str_of(path + before, len - before - after);
	return memchr(name->data, '/', name->len) == NULL;
}

/*
 * Finds the health or metrics page with exactly this path, for GET and HEAD.
 */
static enum operators_page
find_page(const char *method, const char *path, enum job_kind *kind)
{
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0 &&
	    strcmp(method, MHD_HTTP_METHOD_HEAD) != 0)
		return OPERATORS_PAGE_NONE;
	for (size_t i = 0; i < sizeof(pages) / sizeof(pages[0]); i++) {
		if (strcmp(pages[i].path, path) == 0) {
			*kind = pages[i].kind;
			return pages[i].page;
		}
	}
	return OPERATORS_PAGE_NONE;
}

/*
 * Finds the page for a method and path.  For OPERATORS_PAGE_API, *kind gets the
 * kind of job and *name the part of path that matched '*'.
 */
enum operators_page
operators_route_find(
    const char *method, const char *path, enum job_kind *kind, struct str *name)
{
	size_t prefix = strlen(API_PREFIX);

	*kind = JOB_STATUS;
	*name = (struct str){0};
	if (strncmp(path, API_PREFIX, prefix) != 0)
		return find_page(method, path, kind);
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(routes[i].method, method) == 0 &&
		    path_matches(routes[i].path, path + prefix, name)) {
			*kind = routes[i].kind;
			return OPERATORS_PAGE_API;
		}
	}
	return OPERATORS_PAGE_NONE;
}

/*
 * Parses a revision, quoted as in an ETag or plain; 0 if it is neither.
 */
static uint64_t
parse_revision(const char *text)
{
	struct str s = str_from(text);
	uint64_t value;

	if (s.len >= 2 && s.data[0] == '"' && s.data[s.len - 1] == '"')
		s = str_of(s.data + 1, s.len - 2);
	return str_to_u64(s, &value) ? value : 0;
}

/* Returns a request header; an empty string if there is none. */
static const char *
find_header(struct MHD_Connection *conn, const char *name)
{
	const char *value =
	    MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name);

	return value != NULL ? value : "";
}

/*
 * Returns a query argument; an empty string if there is none.
 */
static const char *
find_argument(struct MHD_Connection *conn, const char *name)
{
	const char *value =
	    MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);

	return value != NULL ? value : "";
}

/*
 * Returns an owned copy of a string, which may be NULL.
 */
static char *
copy_text(const char *text)
{
	return str_dup(str_from(text));
}

/*
 * Returns an owned copy of the bearer token; empty when there is none.
 */
static char *
copy_token(struct MHD_Connection *conn)
{
	struct str value = str_from(find_header(conn, "Authorization"));
	struct str scheme = STR_LITERAL("Bearer ");

	if (!str_has_prefix(value, scheme))
		return copy_text("");
	value.data += scheme.len;
	value.len -= scheme.len;
	return str_dup(str_trim(value));
}

/*
 * Copies the request's headers and arguments to its job; name is from
 * operators_route_find().
 */
void
operators_route_fill_job(
    struct MHD_Connection *conn, struct job *job, struct str name)
{
	job->token = copy_token(conn);
	job->edit_id = copy_text(find_header(conn, "Gypsummill-Edit-Id"));
	job->author = copy_text(find_header(conn, "Gypsummill-Author"));
	switch (job->kind) {
	case JOB_HISTORY:
		job->name = copy_text(find_argument(conn, "section"));
		return;
	case JOB_IN_FORCE:
		job->revision = parse_revision(find_argument(conn, "index"));
		return;
	case JOB_SECTION:
		job->revision = parse_revision(find_argument(conn, "revision"));
		break;
	case JOB_EDIT:
	case JOB_REMOVE:
		job->revision = parse_revision(find_header(conn, "If-Match"));
		break;
	case JOB_MEMBER_ADD:
	case JOB_MEMBER_PROMOTE:
	case JOB_MEMBER_REMOVE:
		job->address = copy_text(find_argument(conn, "address"));
		if (!str_to_u64(name, &job->revision))
			job->revision = 0;
		break;
	default:
		break;
	}
	job->name = str_dup(name);
}

/*
 * Validates a request before it is submitted to the loop.  Returns an error
 * message, or NULL if it is valid.
 */
const char *
operators_route_check(struct MHD_Connection *conn, const struct job *job)
{
	bool edits = job->kind == JOB_EDIT || job->kind == JOB_REMOVE;

	if (!edits)
		return NULL;
	if (job->edit_id[0] == '\0')
		return "an edit needs a Gypsummill-Edit-Id header";
	if (job->revision == 0 && find_header(conn, "If-None-Match")[0] == '\0')
		return "an edit needs If-Match with the section's revision, "
		       "or If-None-Match: * for a new section";
	return NULL;
}
