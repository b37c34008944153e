/*
 * Fuzzes the snapshot of the claim ledger: arbitrary bytes with a valid
 * checksum are either rejected with a message, or load into a ledger that
 * saves and loads again.
 */
#include <xxhash.h>

#include "base/invariant.h"
#include "claim/ledger.h"
#include "mutate.h"

enum {
	CHECKSUM_BYTES = 8,
	SEED_CLAIMS = 6
};

static void
append_checksum(struct str_buf *saved)
{
	uint64_t checksum = XXH64(saved->data, saved->len, 0);
	char bytes[CHECKSUM_BYTES];

	for (int i = 0; i < CHECKSUM_BYTES; i++)
		bytes[i] = (char)(checksum >> (8 * i));
	str_buf_append(saved, str_of(bytes, sizeof(bytes)));
}

static void
check_round_trip(const struct claim_ledger *ledger)
{
	struct claim_ledger *other = claim_ledger_new();
	struct str_buf first = {0}, second = {0};

	claim_ledger_save(ledger, &first);
	INVARIANT(claim_ledger_load(other, str_buf_view(&first)) == STATUS_OK,
	    "saved ledger could not be loaded");
	claim_ledger_save(other, &second);
	INVARIANT(str_equal(str_buf_view(&first), str_buf_view(&second)),
	    "reloaded ledger saved to different bytes");
	str_buf_free(&first);
	str_buf_free(&second);
	claim_ledger_free(other);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct claim_ledger *ledger = claim_ledger_new();
	struct str_buf saved = {0};

	str_buf_append(&saved, str_of((const char *)data, len));
	append_checksum(&saved);
	if (claim_ledger_load(ledger, str_buf_view(&saved)) == STATUS_OK)
		check_round_trip(ledger);
	else
		INVARIANT(status_message()[0] != '\0',
		    "load failed without a message");
	str_buf_free(&saved);
	claim_ledger_free(ledger);
	return 0;
}

static void
open_and_end(struct claim_ledger *ledger, unsigned number)
{
	char key[] = {'k', (char)('0' + number), '\0'};
	struct claim_answer answer;
	struct claim_open open = {
	    .key = {str_from("shop"), str_from("orders"), str_from(key)},
	    .holder = {str_from("entry-1"), 7, number + 1},
	    .retention_us = 3600000000,
	    .claims_max = 100,
	    .time_us = 1000 + number,
	};
	struct claim_end end = {
	    .key = open.key,
	    .holder = open.holder,
	    .ending = (enum claim_ending)(number % 3),
	    .answer = {.http_status = 200,
		.content_type = str_from("text/plain"),
		.body = str_from("printed"),
		.kept = true},
	    .time_us = 2000 + number,
	};

	(void)claim_ledger_open(ledger, &open, &answer);
	if (number < SEED_CLAIMS / 2)
		(void)claim_ledger_end(ledger, &end);
}

size_t
fuzz_seeds(struct fuzz_seed *seeds, size_t max)
{
	static struct str_buf saved;
	struct claim_ledger *ledger = claim_ledger_new();

	if (max == 0)
		return 0;
	for (unsigned i = 0; i < SEED_CLAIMS; i++)
		open_and_end(ledger, i);
	str_buf_clear(&saved);
	claim_ledger_save(ledger, &saved);
	claim_ledger_free(ledger);
	seeds[0] = (struct fuzz_seed){
	    .data = (const uint8_t *)saved.data,
	    .len = saved.len - CHECKSUM_BYTES,
	};
	return 1;
}
