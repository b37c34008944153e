/*
 * Cost of the document and the registry as they grow: time of an edit, a parse,
 * a policy and a snapshot, and memory per section and target.
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "document/document.h"
#include "document/document_edits.h"
#include "registry/registry.h"
#include "wire/wire.pb-c.h"

enum {
	ROUTES = 5,
	LIMITS = 4,
	REFUSAL_TEXTS = 10,
	EDITS = 200,
	LOOKUPS = 200000,
	NAME_BYTES = 32
};

static const unsigned section_sizes[] = {8, 32, 128, 330};
static const unsigned target_sizes[] = {16, 256, 1024, 3100};

/* Bound of the capacity target: 64 MB of memory per control instance. */
static const size_t memory_bound_bytes = (size_t)64 << 20;

static size_t
heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* Writes a service section about as large as those in examples/. */
static void
make_service(unsigned number, unsigned version, struct str_buf *out)
{
	static const char *const reasons[REFUSAL_TEXTS] = {"no-tenant",
	    "tenant-not-allowed", "rate-limited", "share-exceeded",
	    "queue-full", "queue-timeout", "no-target", "key-missing",
	    "claim-in-progress", "target-timeout"};

	str_buf_clear(out);
	str_buf_printf(out,
	    "section: service-%03u\nteam: team\nservice:\n"
	    "  hosts: [s%03u.example]\n  queue_calls: %u\n  routes:\n",
	    number, number, 1 + version % 1000);
	for (unsigned i = 0; i < ROUTES; i++)
		str_buf_printf(out,
		    "    - name: route-%u\n      method: GET\n"
		    "      path: /path-%u\n      deadline: 2s\n"
		    "      body_max: 0B\n"
		    "      tenants: [store-*, warehouse-*, head-office]\n",
		    i, i);
	str_buf_append_c(out, "  limits:\n");
	for (unsigned i = 0; i < LIMITS; i++)
		str_buf_printf(out,
		    "    - tenant: kind-%u-*\n      calls_per_second: 20\n"
		    "      burst: 60\n      slots: 20%%\n",
		    i);
	str_buf_append_c(out, "  refusals:\n");
	for (unsigned i = 0; i < REFUSAL_TEXTS; i++)
		str_buf_printf(out,
		    "    %s: >-\n      Words for callers that say what "
		    "happened, that nothing\n      was run, and what to do "
		    "next.\n",
		    reasons[i]);
}

static void
make_fleet(struct str_buf *out)
{
	uint8_t digest[POLICY_DIGEST_BYTES];
	char hex[2 * POLICY_DIGEST_BYTES + 1];

	policy_digest(STR_LITERAL("team-token"), digest);
	sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
	str_buf_printf(out,
	    "section: fleet\nteam: team\nfleet:\n  teams:\n"
	    "    - name: team\n      token_sha256: %s\n",
	    hex);
}

static void
apply(struct document *document, const char *team, const char *section,
    struct str text, uint64_t base, uint64_t index)
{
	struct document_edit_result result;
	char id[NAME_BYTES];
	struct document_edit edit = {
	    .section = str_from(section),
	    .team = str_from(team),
	    .author = STR_LITERAL("ann"),
	    .text = text,
	    .base_revision = base,
	    .accepted_us = index,
	};

	snprintf(id, sizeof(id), "edit-%llu", (unsigned long long)index);
	edit.edit_id = str_from(id);
	document_apply(document, &edit, index, &result);
	INVARIANT(result.status == STATUS_OK, "the edit is accepted");
	str_buf_free(&result.message);
}

/*
 * Returns the size, in bytes, of the change that an entry receives for one
 * edit.
 */
static size_t
delta_bytes(const char *name, struct str text)
{
	Wire__Section section = WIRE__SECTION__INIT;
	Wire__Change change = WIRE__CHANGE__INIT;
	Wire__Change *list[] = {&change};
	Wire__Changes changes = WIRE__CHANGES__INIT;
	uint8_t digest[POLICY_DIGEST_BYTES];

	policy_digest(text, digest);
	section.name = (char *)name;
	section.revision = 1000000;
	section.text.len = text.len;
	section.text.data = (uint8_t *)text.data;
	section.digest.len = sizeof(digest);
	section.digest.data = digest;
	change.index = 1000000;
	change.body_case = WIRE__CHANGE__BODY_SECTION;
	change.section = &section;
	changes.term = 7;
	changes.from_index = 999999;
	changes.to_index = 1000000;
	changes.n_changes = 1;
	changes.changes = list;
	return wire__changes__get_packed_size(&changes);
}

struct measurements {
	size_t text_bytes;
	size_t memory_bytes; /* per section, in the document */
	size_t delta;
	double parse_us;
	double edit_us;
	double policy_us;
	double find_ns;
	double save_us;
	double load_us;
	size_t save_bytes;
	size_t total_bytes;
};

static double
parse_time(struct str text)
{
	uint64_t start_ns = clock_monotonic_ns();

	for (unsigned i = 0; i < EDITS; i++) {
		struct policy_section *section;
		enum status status = policy_section_parse(text, 1, &section);

		INVARIANT(status == STATUS_OK, "the section is valid");
		policy_section_put(section);
	}
	return (double)(clock_monotonic_ns() - start_ns) / EDITS / 1000;
}

static double
find_time(const struct policy *policy, unsigned count)
{
	uint64_t start_ns = clock_monotonic_ns();
	char host[NAME_BYTES];

	for (unsigned i = 0; i < LOOKUPS; i++) {
		const struct policy_section *section;

		snprintf(host, sizeof(host), "s%03u.example", i % count);
		section = policy_find_service(policy, str_from(host),
		    STR_LITERAL("GET"), STR_LITERAL("/path-3/x"));
		INVARIANT(section != NULL &&
			policy_find_route(&section->service, STR_LITERAL("GET"),
			    STR_LITERAL("/path-3/x")) != NULL,
		    "the route is found");
	}
	return (double)(clock_monotonic_ns() - start_ns) / LOOKUPS;
}

static void
measure_edits(struct document *document, unsigned count, uint64_t *index,
    struct measurements *measurements)
{
	struct str_buf text = {0};
	uint64_t spent_ns = 0;

	for (unsigned i = 0; i < EDITS; i++) {
		unsigned number = i % count;
		uint64_t base = i < count ? number + 2 : *index + 1 - count;
		char name[NAME_BYTES];
		uint64_t start_ns;

		snprintf(name, sizeof(name), "service-%03u", number);
		make_service(number, i + 1, &text);
		start_ns = clock_monotonic_ns();
		apply(document, "team", name, str_buf_view(&text), base,
		    ++*index);
		spent_ns += clock_monotonic_ns() - start_ns;
	}
	measurements->edit_us = (double)spent_ns / EDITS / 1000;
	str_buf_free(&text);
}

static void
measure_snapshot(
    const struct document *document, struct measurements *measurements)
{
	struct document *other = document_new();
	struct str_buf saved = {0};
	uint64_t start_ns = clock_monotonic_ns();
	enum status status;

	document_save(document, &saved);
	measurements->save_us =
	    (double)(clock_monotonic_ns() - start_ns) / 1000;
	measurements->save_bytes = saved.len;
	start_ns = clock_monotonic_ns();
	status = document_load(other, str_buf_view(&saved));
	INVARIANT(status == STATUS_OK, "a saved document loads");
	measurements->load_us =
	    (double)(clock_monotonic_ns() - start_ns) / 1000;
	str_buf_free(&saved);
	document_free(other);
}

static struct measurements
measure_document(unsigned count)
{
	struct measurements measurements = {0};
	struct str_buf text = {0};
	size_t before = heap_bytes();
	struct document *document = document_new();
	struct policy *policy;
	uint64_t index = 1;
	uint64_t start_ns;

	make_fleet(&text);
	apply(document, DOCUMENT_BOOTSTRAP_TEAM, "fleet", str_buf_view(&text),
	    0, index);
	for (unsigned i = 0; i < count; i++) {
		char name[NAME_BYTES];

		snprintf(name, sizeof(name), "service-%03u", i);
		make_service(i, 0, &text);
		apply(document, "team", name, str_buf_view(&text), 0, ++index);
		measurements.delta = delta_bytes(name, str_buf_view(&text));
	}
	measurements.total_bytes = heap_bytes() - before - text.capacity;
	measurements.memory_bytes = measurements.total_bytes / count;
	measurements.text_bytes = text.len;
	measurements.parse_us = parse_time(str_buf_view(&text));
	measure_snapshot(document, &measurements);
	start_ns = clock_monotonic_ns();
	policy = document_policy(document);
	measurements.policy_us =
	    (double)(clock_monotonic_ns() - start_ns) / 1000;
	measurements.find_ns = find_time(policy, count);
	policy_put(policy);
	measure_edits(document, count, &index, &measurements);
	str_buf_free(&text);
	document_free(document);
	return measurements;
}

static bool
print_document(void)
{
	bool within_bounds = true;

	printf("| sections | text B | memory B a section | delta B an edit | "
	       "parse us | edit us | policy us | find ns | save us | load us "
	       "| saved B |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < sizeof(section_sizes) / sizeof(unsigned); i++) {
		struct measurements f = measure_document(section_sizes[i]);

		printf("| %u | %zu | %zu | %zu | %.1f | %.1f | %.1f | %.0f | "
		       "%.0f | %.0f | %zu |\n",
		    section_sizes[i], f.text_bytes, f.memory_bytes, f.delta,
		    f.parse_us, f.edit_us, f.policy_us, f.find_ns, f.save_us,
		    f.load_us, f.save_bytes);
		within_bounds =
		    within_bounds && f.total_bytes < memory_bound_bytes / 2;
	}
	return within_bounds;
}

/*
 * Measures the largest state: all edit records that are retained and old
 * revisions up to their bound, as after a day and a half of the capacity
 * target's 11,000 changes a day.
 */
static bool
measure_full(void)
{
	unsigned count = section_sizes[3];
	size_t before = heap_bytes();
	struct document *document = document_new();
	struct document *other = document_new();
	struct str_buf text = {0};
	struct str_buf saved = {0};
	uint64_t index = 1;
	uint64_t start_ns;
	size_t live, peak;
	double save_ms, load_ms;
	enum status status;

	make_fleet(&text);
	apply(document, DOCUMENT_BOOTSTRAP_TEAM, "fleet", str_buf_view(&text),
	    0, index);
	for (unsigned i = 0; i < DOCUMENT_EDITS_ACCEPTED_MAX + count; i++) {
		char name[NAME_BYTES];

		snprintf(name, sizeof(name), "service-%03u", i % count);
		make_service(i % count, i, &text);
		apply(document, "team", name, str_buf_view(&text),
		    i < count ? 0 : index + 1 - count, index + 1);
		index++;
	}
	str_buf_free(&text);
	live = heap_bytes() - before;
	start_ns = clock_monotonic_ns();
	document_save(document, &saved);
	save_ms = (double)(clock_monotonic_ns() - start_ns) / 1000000;
	peak = live + saved.capacity;
	start_ns = clock_monotonic_ns();
	status = document_load(other, str_buf_view(&saved));
	INVARIANT(status == STATUS_OK, "a saved document loads");
	load_ms = (double)(clock_monotonic_ns() - start_ns) / 1000000;
	printf("\nfull state, %u sections, %u edits: %zu B live, %zu B saved "
	       "(%.0f ms, buffer %zu B), loaded in %.0f ms\n",
	    count, (unsigned)index, live, saved.len, save_ms, saved.capacity,
	    load_ms);
	str_buf_free(&saved);
	document_free(document);
	document_free(other);
	return peak < memory_bound_bytes;
}

static struct registry_target
make_target(unsigned number, char id[NAME_BYTES], char address[NAME_BYTES])
{
	snprintf(id, NAME_BYTES, "service-%03u-%04u", number % 330, number);
	snprintf(address, NAME_BYTES, "10.%u.%u.%u:8080", number % 9,
	    number / 250, number % 250);
	return (struct registry_target){
	    .id = str_from(id),
	    .service = STR_LITERAL("service-100"),
	    .address = str_from(address),
	    .failure_domain = STR_LITERAL("south-1"),
	    .holder = STR_LITERAL("entry-01"),
	    .slots = 4,
	    .connections = 250,
	    .incarnation = 1764800000000000,
	    .sequence = 1,
	};
}

static bool
measure_registry(unsigned count)
{
	size_t before = heap_bytes();
	struct registry *registry = registry_new();
	struct str_buf saved = {0};
	char id[NAME_BYTES];
	char address[NAME_BYTES];
	uint64_t start_ns = clock_monotonic_ns();
	double put_us, change_us, save_us, load_us;
	size_t memory;
	enum status status = STATUS_OK;

	for (unsigned i = 0; i < count && status == STATUS_OK; i++) {
		struct registry_target target = make_target(i, id, address);

		status = registry_upsert(registry, &target);
	}
	INVARIANT(status == STATUS_OK, "targets are added");
	put_us = (double)(clock_monotonic_ns() - start_ns) / count / 1000;
	memory = heap_bytes() - before;
	start_ns = clock_monotonic_ns();
	for (unsigned i = 0; i < count && status == STATUS_OK; i++) {
		struct registry_target target = make_target(i, id, address);

		target.sequence = 2;
		target.state = REGISTRY_DRAINING;
		status = registry_upsert(registry, &target);
	}
	change_us = (double)(clock_monotonic_ns() - start_ns) / count / 1000;
	start_ns = clock_monotonic_ns();
	registry_save(registry, &saved);
	save_us = (double)(clock_monotonic_ns() - start_ns) / 1000;
	start_ns = clock_monotonic_ns();
	status = registry_load(registry, str_buf_view(&saved));
	INVARIANT(status == STATUS_OK, "a saved registry loads");
	load_us = (double)(clock_monotonic_ns() - start_ns) / 1000;
	printf("| %u | %zu | %.2f | %.2f | %.0f | %.0f | %zu |\n", count,
	    memory / count, put_us, change_us, save_us, load_us, saved.len);
	str_buf_free(&saved);
	registry_free(registry);
	return memory < memory_bound_bytes / 8;
}

int
main(void)
{
	bool within_bounds = print_document();

	within_bounds = measure_full() && within_bounds;
	printf("\n| targets | memory B a target | add us | change us | save us "
	       "| load us | saved B |\n|---|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < sizeof(target_sizes) / sizeof(unsigned); i++)
		within_bounds =
		    measure_registry(target_sizes[i]) && within_bounds;
	printf("\nmemory bounds (64 MB for the full state with its snapshot, "
	       "half for "
	       "the sections, an eighth for the registry): %s\n",
	    within_bounds ? "kept" : "EXCEEDED");
	return within_bounds ? 0 : 1;
}
