/*
 * Fuzz target of the provider's JSON: any input as a liveness report, as the
 * body of a departure and as a configuration either is refused or has all its
 * values within their bounds.
 */
#include "mutate.h"

#include <math.h>
#include <string.h>

#include "base/invariant.h"
#include "platform/platform_json.h"

static const char report_seed[] =
    "{\"address\":\"10.128.0.9:8080\",\"born\":1765000000000,\"info\":{"
    "\"service\":\"huvo11a\",\"version\":\"v1\",\"zone\":\"riga-a\","
    "\"slots\":2},\"status\":{\"state\":\"ready\",\"sequence\":4,"
    "\"warmup_left_ms\":0}}";
static const char odd_seed[] =
    "{\"address\":\"10.128.0.9:99999999999\",\"born\":1e400,\"info\":{"
    "\"service\":\"\\u0000\\ud800\",\"version\":[[[[[[[[]]]]]]]],\"zone\":\"\","
    "\"slots\":4294967295},\"status\":{\"state\":\"draining\",\"sequence\":"
    "18446744073709551616,\"warmup_left_ms\":9223372036854775807}}";
static const char departure_seed[] = "{\"born\":1765000000000}";
static const char document_seed[] =
    "{\"version\":7,\"services\":[{\"name\":\"a\",\"health_path\":\"/health\","
    "\"max_conns\":260},{\"name\":\"b\"}],\"limits\":{\"max_header_bytes\":"
    "16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000},\"hosts\":[{\"host\":\"h.example\",\"paths\":[{"
    "\"name\":\"r\",\"path_prefix\":\"/a/\",\"kind\":\"safe\",\"timeout_ms\":"
    "1200,\"target_latency_ms\":600,\"priority\":2,\"traffic_split\":[{"
    "\"service\":\"a\",\"weight\":90},{\"service\":\"b\",\"weight\":1e2}],"
    "\"max_attempts\":2},{\"path_prefix\":\"/b/\",\"kind\":\"unsafe\","
    "\"timeout_ms\":1500,\"service\":\"b\"}]}]}";

static const char accounts_seed[] =
    "{\"version\":8,\"services\":[{\"name\":\"a\"}],\"limits\":{"
    "\"max_header_bytes\":1,\"max_body_bytes\":1,\"header_timeout_ms\":1,"
    "\"idle_timeout_ms\":1},\"tenants\":[{\"name\":\"acme\",\"api_keys\":["
    "\"k1\",\"k2\"],\"priority\":0,\"rate_per_s\":10.5,\"burst\":5},{"
    "\"name\":\"other\",\"api_keys\":[\"k3\"]}],\"hosts\":[{\"host\":"
    "\"h.example\",\"paths\":[{\"path_prefix\":\"/a/\",\"kind\":\"safe\","
    "\"timeout_ms\":1200,\"service\":\"a\",\"public\":true}]}]}";

static void
check_accounts(const struct accounts *accounts)
{
	static const char *const keys[] = {"k1", "k2", "k3", "", "k"};

	for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		const struct account *account =
		    accounts_find(accounts, str_from(keys[i]));

		if (account == NULL)
			continue;
		INVARIANT(
		    accounts_find_name(accounts, account->name) == account &&
			account->id != 0,
		    "a key belongs to an account of the document");
		INVARIANT(account_text_is_valid(
			      str_from(account->name), ACCOUNT_NAME_MAX_BYTES),
		    "a name is a valid header value");
		INVARIANT(isfinite(account->rate_per_s) &&
			account->rate_per_s >= 0 && isfinite(account->burst) &&
			account->burst >= 0,
		    "a limit is a finite number");
	}
}

static void
check_route(struct route *route)
{
	INVARIANT(route->max_attempts > 0 && route->timeout_ms > 0 &&
		route->timeout_ms <= ROUTE_TIMEOUT_MAX_MS &&
		route->destination_count > 0,
	    "a route can be used");
	for (unsigned i = 0; i < route->destination_count; i++)
		INVARIANT(isfinite(route->destinations[i].weight) &&
			route->destinations[i].weight >= 0,
		    "a weight is a finite number");
	(void)route_next_destination(route);
}

static void
check_document(struct str text)
{
	struct routes *routes = NULL;
	struct route *route;

	if (platform_document_read(text, &routes) != STATUS_OK)
		return;
	INVARIANT(routes->version < INT64_MAX, "a version is exact");
	if (routes->accounts != NULL)
		check_accounts(routes->accounts);
	route =
	    routes_find(routes, STR_LITERAL("h.example"), STR_LITERAL("/a/x"));
	if (route != NULL)
		check_route(route);
	routes_put(routes);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct str text = str_of((const char *)data, len);
	struct platform_report report;
	uint64_t started_ms;

	if (platform_report_parse("i-1", text, &report)) {
		INVARIANT(roster_target_is_valid(&report.target),
		    "an accepted report names a valid target");
		INVARIANT(report.warmup_left_ms <= UINT32_MAX,
		    "a warm-up fits into an announcement");
		json_object_put(report.json);
	}
	if (platform_parse_started_ms(text, &started_ms))
		INVARIANT(started_ms <= ROSTER_STARTED_MAX_MS,
		    "a departure names a start in range");
	check_document(text);
	return 0;
}

size_t
fuzz_seeds(struct fuzz_seed *seeds, size_t max)
{
	static const char *const texts[] = {report_seed, odd_seed,
	    departure_seed, document_seed, accounts_seed};
	size_t count = sizeof(texts) / sizeof(texts[0]);

	INVARIANT(max >= count, "all seeds fit in the array");
	for (size_t i = 0; i < count; i++)
		seeds[i] = (struct fuzz_seed){
		    .data = (const uint8_t *)texts[i], .len = strlen(texts[i])};
	return count;
}
