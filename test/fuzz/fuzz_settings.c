/*
 * Fuzz target for the settings file of the programs on the provider's platform:
 * numbers that were accepted are within their bounds.
 */
#include "mutate.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <unistd.h>

#include "base/invariant.h"
#include "base/settings.h"
#include "platform/platform_settings.h"
#include "wire/fleet_bounds.h"

static const char *const seed_texts[] = {
    "node=n\nip=127.0.0.1\nzone=a\nrole=edge\n"
    "internal_port_range=7000,7015\nlisten.front=127.0.0.1:7100\n"
    "listen.ready=127.0.0.1:7101\nlisten.control=127.0.0.1:7102\n"
    "seeds=127.0.0.1:7102,127.0.0.2:7102\nbootstrap=true\n"
    "limits.cpu_share=0.35\nlimits.cores=1\nlimits.memory_mb=256\n"
    "limits.max_fds=4100\nlimits.link_mbps=1000.0\nheartbeat_ms=1500\n"
    "fault_tolerance.machines=1\n"
    "bounds=grace_s=6,retry_budget_ratio=0.2,retry_window_s=10,"
    "retry_slack=62,ttl_max_s=5,probe_per_s=60,hedge_share=0.05\n",
    "limits.cores=1e300\nlimits.memory_mb=inf\nlimits.max_fds=-1\n"
    "heartbeat_ms=nan\nbounds=grace_s=4294967296,,=,a=b=c\nseeds=,:,\n",
    "=\n\nnode\n=x\nip=::1\nseeds=1.2.3.4:99999,1.2.3.4:0\n"
    "internal_port_range=99999999999999999999,a\n",
};

static void
check_numbers(const struct platform_settings *s)
{
	INVARIANT(s->seed_count <= PLATFORM_SEEDS_MAX,
	    "the number of seeds is bounded");
	INVARIANT(s->processor_millis <= 1024U * 1024 * 1000,
	    "processor time is bounded");
	INVARIANT(
	    s->link_kbps <= FLEET_LINK_MAX_KBPS, "a link's rate is bounded");
	INVARIANT(s->memory_bytes <= UINT64_C(1) << 44, "memory is bounded");
	INVARIANT(s->descriptors <= UINT32_C(1) << 31,
	    "the number of descriptors is bounded");
	INVARIANT(s->grace_ms <= 86400000 &&
		s->retry_budget_window_ms <= 86400000 &&
		s->lookup_ttl_max_s <= 86400 &&
		s->target_kept_ms <= UINT64_C(40) * 86400000,
	    "times are at most a day");
	INVARIANT(s->hedge_share >= 0 && s->hedge_share <= 0.2,
	    "the hedge share is within its bounds");
	INVARIANT(isfinite(s->retry_budget_ratio) &&
		isfinite(s->retry_budget_slack) &&
		isfinite(s->probes_per_second),
	    "limits are finite");
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	static int file = -1;
	char path[64], ip[32], text[64] = "";
	uint16_t port;

	if (file < 0)
		file = memfd_create("settings", 0);
	INVARIANT(file >= 0 && ftruncate(file, 0) == 0 &&
		pwrite(file, data, len, 0) == (ssize_t)len,
	    "a file in memory can be written");
	snprintf(path, sizeof(path), "/proc/self/fd/%d", file);
	setenv(platform_settings_variable, path, 1);
	for (int kind = PLATFORM_CORE; kind <= PLATFORM_FLOW; kind++) {
		struct platform_settings settings;
		struct str_buf errors = {0};
		bool valid = platform_settings_read(
		    (enum platform_kind)kind, &settings, &errors);

		INVARIANT(valid == (errors.len == 0),
		    "invalid settings have an error");
		check_numbers(&settings);
		platform_settings_free(&settings);
		str_buf_free(&errors);
	}
	memcpy(text, data, len < sizeof(text) ? len : sizeof(text) - 1);
	if (settings_parse_address(text, ip, sizeof(ip), &port))
		INVARIANT(strlen(ip) < sizeof(ip), "an address has an end");
	return 0;
}

size_t
fuzz_seeds(struct fuzz_seed *seeds, size_t max)
{
	size_t count = sizeof(seed_texts) / sizeof(seed_texts[0]);

	INVARIANT(max >= count, "all seeds fit in the array");
	for (size_t i = 0; i < count; i++)
		seeds[i] =
		    (struct fuzz_seed){.data = (const uint8_t *)seed_texts[i],
			.len = strlen(seed_texts[i])};
	return count;
}
