/*
 * Fuzz target of the check of a configuration: any input as the configuration
 * and as the one that it is compared with gives an exit code, valid JSON and no
 * key, and nothing differs from itself.
 */
#include "mutate.h"

#include <string.h>

#include "base/invariant.h"
#include "platform/platform_config.h"
#include "platform/platform_json.h"

/* In the seeds' keys, and in no other text of them. */
#define SECRET "s3cr3t"

static const char plain_seed[] =
    "{\"version\":7,\"services\":[{\"name\":\"a\",\"health_path\":\"/health\","
    "\"max_conns\":260,\"warmup_per_s\":5},{\"name\":\"b\"}],\"limits\":{"
    "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"hosts\":[{"
    "\"host\":\"h.example:80\",\"paths\":[{\"name\":\"r\",\"path_prefix\":"
    "\"/a/\",\"kind\":\"safe\",\"timeout_ms\":1200,\"target_latency_ms\":1600,"
    "\"priority\":\"x\",\"traffic_split\":[{\"service\":\"a\",\"weight\":0},"
    "{\"service\":\"a\",\"weight\":0}],\"max_attempts\":2,\"public\":1}]},"
    "{\"host\":\"*\",\"paths\":[]}]}";
static const char accounts_seed[] =
    "{\"version\":8,\"services\":[{\"name\":\"a\"}],\"limits\":{"
    "\"max_header_bytes\":80,\"max_body_bytes\":1,\"header_timeout_ms\":1,"
    "\"idle_timeout_ms\":1},\"tenants\":[{\"name\":\"acme\",\"api_keys\":["
    "\"s3cr3t-1\",\"s3cr3t-2\"],\"priority\":0,\"rate_per_s\":10.5,"
    "\"burst\":0},{\"name\":\"other\",\"api_keys\":[\"s3cr3t-3\"]},{\"name\":"
    "\"none\",\"burst\":4}],\"hosts\":[{\"host\":\"h.example\",\"paths\":[{"
    "\"path_prefix\":\"/a?/\",\"kind\":\"unsafe\",\"timeout_ms\":1200,"
    "\"service\":\"a\",\"public\":true},{\"path_prefix\":\"/\",\"kind\":"
    "\"safe\",\"timeout_ms\":1200,\"service\":\"a\"}]}]}";

/*
 * Returns whether the input has the secret outside the accounts' keys, where a
 * mutation may have put it.
 */
static bool
has_secret_elsewhere(struct str text)
{
	struct json_object *json = json_parse_object(text);
	struct json_object *list;
	bool has;

	if (json_object_object_get_ex(json, "tenants", &list) &&
	    json_object_is_type(list, json_type_array)) {
		for (size_t i = 0; i < json_object_array_length(list); i++) {
			struct json_object *item =
			    json_object_array_get_idx(list, i);

			if (json_object_is_type(item, json_type_object))
				json_object_object_del(item, "api_keys");
		}
	}
	has = json != NULL &&
	    strstr(json_object_to_json_string(json), SECRET) != NULL;
	json_object_put(json);
	return has;
}

/*
 * Checks the input in one form of output; returns the exit code.
 */
static enum platform_config_exit
check(struct str text, struct str against, bool json, bool may_have_secret)
{
	const struct platform_config_options options = {
	    .check = {.key_header_bytes = 23}, .json = json};
	struct str_buf out = {0};
	enum platform_config_exit code =
	    platform_config_check(text, &against, &options, &out);

	INVARIANT((out.len == 0) == (code == PLATFORM_CONFIG_UNREADABLE),
	    "there is an output if both can be read");
	INVARIANT(
	    may_have_secret || out.len == 0 || strstr(out.data, SECRET) == NULL,
	    "no key is printed");
	if (json && out.len > 0) {
		struct json_object *parsed =
		    json_parse_object(str_buf_view(&out));

		INVARIANT(parsed != NULL, "the output is JSON");
		json_object_put(parsed);
	}
	str_buf_free(&out);
	return code;
}

static void
check_same(struct str text)
{
	static const struct platform_config_options options;
	struct str_buf out = {0};

	if (platform_config_check(text, &text, &options, &out) !=
	    PLATFORM_CONFIG_UNREADABLE)
		INVARIANT(strstr(out.data, ", differences: 0\n") != NULL,
		    "nothing differs from itself");
	str_buf_free(&out);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct str text = str_of((const char *)data, len);
	struct str seed = str_from(accounts_seed);
	bool has_secret = has_secret_elsewhere(text);

	INVARIANT(check(text, seed, false, has_secret) ==
		check(text, seed, true, has_secret),
	    "both forms of output have the same exit code");
	(void)check(seed, text, false, has_secret);
	check_same(text);
	return 0;
}

size_t
fuzz_seeds(struct fuzz_seed *seeds, size_t max)
{
	static const char *const texts[] = {plain_seed, accounts_seed};
	size_t count = sizeof(texts) / sizeof(texts[0]);

	INVARIANT(max >= count, "all seeds fit in the array");
	for (size_t i = 0; i < count; i++)
		seeds[i] = (struct fuzz_seed){
		    .data = (const uint8_t *)texts[i], .len = strlen(texts[i])};
	return count;
}
