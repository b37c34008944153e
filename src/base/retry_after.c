#include "base/retry_after.h"

#include "base/clock.h"

bool
retry_after_parse(struct str value, uint64_t *us)
{
	struct str item;
	bool valid = value.len > 0;

	*us = 0;
	while (str_split(&value, ',', &item)) {
		uint64_t one;

		if (!str_to_micros(
			str_trim(item), RETRY_AFTER_MAX_MS * US_PER_MS, &one))
			valid = false;
		else if (one > *us)
			*us = one;
	}
	return valid;
}
