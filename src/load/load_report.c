#include "load/load_report.h"

#include <inttypes.h>
#include <string.h>

#include <json-c/json.h>

#include "base/memory.h"

static const double quantiles[] = {0.5, 0.9, 0.99, 0.999, 1.0};
static const char *const quantile_names[] = {
    "p50_us", "p90_us", "p99_us", "p999_us", "max_us"};

enum {
	QUANTILE_COUNT = sizeof(quantiles) / sizeof(quantiles[0])
};

/*
 * Adds a call to the statistics.  Its latency counts only when it is timed and
 * the answer was complete.  A replay has no overhead, since the target's time
 * is not known.
 */
static void
load_stats_add(
    struct load_stats *stats, const struct load_record *record, bool timed)
{
	stats->calls++;
	stats->outcomes[record->outcome]++;
	stats->reasons[record->reason]++;
	if (record->replayed)
		stats->replayed++;
	if (record->outcome != LOAD_COMPLETE || !timed)
		return;
	histogram_record(&stats->latency, record->latency_us);
	if (record->target_us != UINT64_MAX && !record->replayed)
		histogram_record(&stats->overhead,
		    record->latency_us > record->target_us
			? record->latency_us - record->target_us
			: 0);
}

/*
 * Creates the report of an executed plan.  It refers to plan, mix and reasons,
 * which must outlive it; load_report_free() frees it.
 */
struct load_report *
load_report_new(const struct load_plan *plan, const struct load_mix *mix,
    const struct load_reasons *reasons, uint64_t warm_up_us)
{
	struct load_report *report = mem_calloc(1, sizeof(*report));

	report->plan = plan;
	report->mix = mix;
	report->reasons = reasons;
	for (uint32_t i = 0; i < plan->count; i++) {
		const struct load_record *record = &plan->records[i];

		bool timed = record->intended_us >= warm_up_us;

		load_stats_add(&report->total, record, timed);
		load_stats_add(&report->routes[record->route], record, timed);
		load_stats_add(&report->phases[record->phase], record, timed);
	}
	return report;
}

/*
 * Frees a report.
 */
void
load_report_free(struct load_report *report)
{
	mem_free(report);
}

/*
 * Returns whether no answer was wrong, truncated or disconnected; refusals and
 * errors are allowed.
 */
bool
load_report_is_clean(const struct load_report *report)
{
	const uint64_t *outcomes = report->total.outcomes;

	return outcomes[LOAD_WRONG_ANSWER] == 0 &&
	    outcomes[LOAD_TRUNCATED] == 0 && outcomes[LOAD_DISCONNECTED] == 0;
}

/*
 * Prints a row of the table of load_report_print_table().
 */
static void
print_row(FILE *out, const char *name, const struct load_stats *f)
{
	const uint64_t *o = f->outcomes;

	fprintf(out,
	    "%-22s %8" PRIu64 " %8" PRIu64 " %8" PRIu64 " %7" PRIu64
	    " %7" PRIu64 " %5" PRIu64 " %5" PRIu64 " %5" PRIu64
	    " %8.2f %8.2f %8.2f | %7.2f %7.2f\n",
	    name, f->calls, o[LOAD_COMPLETE], o[LOAD_NOT_RUN], o[LOAD_UNKNOWN],
	    o[LOAD_ERROR] + o[LOAD_UNREACHABLE], o[LOAD_WRONG_ANSWER],
	    o[LOAD_TRUNCATED] + o[LOAD_DISCONNECTED], o[LOAD_ABANDONED],
	    (double)histogram_quantile(&f->latency, 0.5) / 1000,
	    (double)histogram_quantile(&f->latency, 0.99) / 1000,
	    (double)histogram_quantile(&f->latency, 0.999) / 1000,
	    (double)histogram_quantile(&f->overhead, 0.5) / 1000,
	    (double)histogram_quantile(&f->overhead, 0.99) / 1000);
}

/*
 * Prints the statistics as a table: latency from the intended start and
 * overhead, the latency without the target's service time, in milliseconds.
 */
void
load_report_print_table(const struct load_report *report, FILE *out)
{
	fprintf(out,
	    "%-22s %8s %8s %8s %7s %7s %5s %5s %5s %8s %8s %8s | %7s %7s\n",
	    "route", "calls", "whole", "not run", "unknown", "errors", "other",
	    "short", "given", "p50 ms", "p99 ms", "p99.9", "p50 add",
	    "p99 add");
	for (unsigned i = 0; i < report->mix->count; i++)
		print_row(out, report->mix->routes[i].name, &report->routes[i]);
	if (report->plan->phase_count > 1) {
		for (unsigned i = 0; i < report->plan->phase_count; i++) {
			char name[32];

			snprintf(name, sizeof(name), "phase %u at %" PRIu64,
			    i + 1, report->plan->phases[i].rate);
			print_row(out, name, &report->phases[i]);
		}
	}
	print_row(out, "all", &report->total);
	for (unsigned i = 1; i < LOAD_REASONS_MAX; i++) {
		if (report->total.reasons[i] > 0)
			fprintf(out, "refused %-24s %8" PRIu64 "\n",
			    load_reasons_name(report->reasons, i),
			    report->total.reasons[i]);
	}
}

/*
 * Adds a number to a JSON object; value must be below 2^63.
 */
static void
add_number(struct json_object *object, const char *name, uint64_t value)
{
	json_object_object_add(
	    object, name, json_object_new_int64((int64_t)value));
}

/*
 * Returns count and quantiles (us) of a histogram as a JSON object that the
 * caller owns.
 */
static struct json_object *
histogram_to_json(const struct histogram *histogram)
{
	struct json_object *object = json_object_new_object();

	add_number(object, "count", histogram->count);
	for (unsigned i = 0; i < QUANTILE_COUNT; i++)
		add_number(object, quantile_names[i],
		    histogram_quantile(histogram, quantiles[i]));
	return object;
}

/*
 * Returns statistics as a JSON object that the caller owns; reasons that did
 * not occur are omitted.
 */
static struct json_object *
stats_to_json(const struct load_report *report, const struct load_stats *f)
{
	struct json_object *object = json_object_new_object();
	struct json_object *refused = json_object_new_object();

	add_number(object, "calls", f->calls);
	for (unsigned i = 0; i < LOAD_OUTCOME_COUNT; i++)
		add_number(object, load_outcome_name((enum load_outcome)i),
		    f->outcomes[i]);
	add_number(object, "replayed", f->replayed);
	for (unsigned i = 1; i < LOAD_REASONS_MAX; i++) {
		if (f->reasons[i] > 0)
			add_number(refused,
			    load_reasons_name(report->reasons, i),
			    f->reasons[i]);
	}
	json_object_object_add(object, "refused", refused);
	json_object_object_add(
	    object, "latency", histogram_to_json(&f->latency));
	json_object_object_add(
	    object, "added", histogram_to_json(&f->overhead));
	return object;
}

/*
 * Writes the statistics as JSON, latencies in microseconds.  Returns STATUS_IO
 * when the file cannot be written.
 */
enum status
load_report_write_json(const struct load_report *report, const char *path)
{
	struct json_object *root = json_object_new_object();
	struct json_object *routes = json_object_new_object();
	struct json_object *phases = json_object_new_array();
	int rc;

	for (unsigned i = 0; i < report->mix->count; i++)
		json_object_object_add(routes, report->mix->routes[i].name,
		    stats_to_json(report, &report->routes[i]));
	for (unsigned i = 0; i < report->plan->phase_count; i++)
		json_object_array_add(
		    phases, stats_to_json(report, &report->phases[i]));
	json_object_object_add(
	    root, "total", stats_to_json(report, &report->total));
	json_object_object_add(root, "routes", routes);
	json_object_object_add(root, "phases", phases);
	rc = json_object_to_file_ext(path, root, JSON_C_TO_STRING_PRETTY);
	json_object_put(root);
	return rc == 0 ? STATUS_OK : status_set(STATUS_IO, "%s", path);
}

/*
 * Writes a CSV file with a line for each call, times in microseconds; target_us
 * is -1 when the target reported no time.  Returns STATUS_IO when the file
 * cannot be written.
 */
enum status
load_report_write_csv(const struct load_report *report, const char *path)
{
	FILE *out = fopen(path, "w");

	if (out == NULL)
		return status_set_errno(STATUS_IO, path);
	fprintf(out,
	    "route,phase,intended_us,late_us,latency_us,target_us,"
	    "http_status,outcome,reason,second_tap,replayed\n");
	for (uint32_t i = 0; i < report->plan->count; i++) {
		const struct load_record *r = &report->plan->records[i];

		fprintf(out,
		    "%s,%u,%" PRIu64 ",%" PRIu64 ",%" PRIu64 ",%" PRId64
		    ",%u,%s,%s,%d,%d\n",
		    report->mix->routes[r->route].name, r->phase + 1,
		    r->intended_us, r->late_us, r->latency_us,
		    (int64_t)r->target_us, r->http_status,
		    load_outcome_name(r->outcome),
		    load_reasons_name(report->reasons, r->reason), r->duplicate,
		    r->replayed);
	}
	if (fclose(out) != 0)
		return status_set_errno(STATUS_IO, path);
	return STATUS_OK;
}

/*
 * Returns a member, owned by the object; NULL when the member is missing or
 * object is NULL.
 */
static struct json_object *
get_member(struct json_object *object, const char *name)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(object, name, &value);
	return value;
}

/*
 * Prints a row for each quantile of a and b; a missing value counts as 0.
 */
static void
compare_stats(
    FILE *out, const char *name, struct json_object *a, struct json_object *b)
{
	for (unsigned i = 0; i < QUANTILE_COUNT; i++) {
		static const char *const kinds[] = {"latency", "added"};

		for (unsigned k = 0; k < 2; k++) {
			int64_t x = json_object_get_int64(get_member(
			    get_member(a, kinds[k]), quantile_names[i]));
			int64_t y = json_object_get_int64(get_member(
			    get_member(b, kinds[k]), quantile_names[i]));

			fprintf(out,
			    "%-22s %-8s %-8s %10" PRId64 " %10" PRId64
			    " %+10" PRId64 " %7.3f\n",
			    name, kinds[k], quantile_names[i], x, y, y - x,
			    x > 0 ? (double)y / (double)x : 0.0);
		}
	}
}

/*
 * Prints the quantiles (us) of two result files with their difference and
 * ratio, for the routes of the first.  Returns STATUS_INVALID with the name of
 * a file that is not JSON.
 */
enum status
load_report_compare(const char *first, const char *second, FILE *out)
{
	struct json_object *a = json_object_from_file(first);
	struct json_object *b = json_object_from_file(second);
	enum status status = STATUS_OK;

	if (a == NULL || b == NULL) {
		status = status_set(STATUS_INVALID, "%s is not a result file",
		    a == NULL ? first : second);
	} else {
		struct json_object *routes = get_member(a, "routes");

		fprintf(out, "%-22s %-8s %-8s %10s %10s %10s %7s\n", "route",
		    "figure", "quantile", "first", "second", "more", "ratio");
		compare_stats(
		    out, "all", get_member(a, "total"), get_member(b, "total"));
		json_object_object_foreach (routes, name, stats) {
			compare_stats(out, name, stats,
			    get_member(get_member(b, "routes"), name));
		}
	}
	json_object_put(a);
	json_object_put(b);
	return status;
}
