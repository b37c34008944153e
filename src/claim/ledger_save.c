#include <string.h>

#include <xxhash.h>

#include "base/memory.h"
#include "claim/claim.pb-c.h"
#include "claim/ledger_defs.h"

enum {
	FORMAT_VERSION = 1,
	LENGTH_BYTES = 4,
	CHECKSUM_BYTES = 8,
	RECORD_MAX_BYTES = 1 << 30
};

/* The unread part of a saved ledger. */
struct reader {
	struct str remaining;
};

/*
 * Appends the low bytes of a number in little-endian order.
 */
static void
append_le(struct str_buf *out, uint64_t value, unsigned bytes)
{
	char data[sizeof(value)];

	for (unsigned i = 0; i < bytes; i++)
		data[i] = (char)(value >> (8 * i));
	str_buf_append(out, str_of(data, bytes));
}

/*
 * Reads a little-endian number of the given size in bytes.
 */
static uint64_t
read_le(const char *data, unsigned bytes)
{
	uint64_t value = 0;

	for (unsigned i = 0; i < bytes; i++)
		value |= (uint64_t)(unsigned char)data[i] << (8 * i);
	return value;
}

/*
 * Appends a record, prefixed by its length.
 */
static void
append_record(struct str_buf *out, const ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	uint8_t *data = mem_alloc(len);

	protobuf_c_message_pack(message, data);
	append_le(out, len, LENGTH_BYTES);
	str_buf_append(out, str_of((const char *)data, len));
	mem_free(data);
}

/*
 * Appends the record of a claim.  Its entry is the holder of an open claim,
 * the entry that released a fenced one, or else empty.
 */
static void
save_claim(struct claim *claim, struct str_buf *out)
{
	struct claim_key key = claim_key_of(claim);
	struct claim_stored_answer *answer = claim->answer;
	Claim__ClaimRecord record = CLAIM__CLAIM_RECORD__INIT;
	char *tenant = str_dup(key.tenant);
	char *text = str_dup(key.key);
	char *entry = claim->entry != NULL ? str_dup(claim->entry->name)
	    : claim->fence_entry != NULL ? str_dup(str_from(claim->fence_entry))
					 : str_dup(str_from(""));
	char *type = NULL;

	record.service = claim->service->index;
	record.tenant = tenant;
	record.key = text;
	record.state = (Claim__ClaimState)claim->state;
	record.entry = entry;
	record.incarnation = claim->incarnation;
	record.attempt = claim->attempt;
	record.has_digest = claim->has_digest;
	record.digest.len = CLAIM_DIGEST_BYTES;
	record.digest.data = claim->digest;
	record.retention_us = claim->retention_us;
	record.expires_us = claim->expires_us;
	if (answer != NULL) {
		type = str_dup(str_of(answer->bytes, answer->content_type_len));
		record.has_answer = true;
		record.http_status = answer->http_status;
		record.content_type = type;
		record.body.len = answer->body_len;
		record.body.data =
		    (uint8_t *)answer->bytes + answer->content_type_len;
		record.kept = answer->kept;
	}
	append_record(out, &record.base);
	mem_free(tenant);
	mem_free(text);
	mem_free(entry);
	mem_free(type);
}

/*
 * Appends the records of the claims in a list, in order.
 */
static void
save_list(const struct cds_list_head *list, struct str_buf *out)
{
	struct claim *claim;

	cds_list_for_each_entry (claim, list, node)
		save_claim(claim, out);
}

/*
 * Appends the record of a service.  Claims refer to it by its index.
 */
static void
save_service(const struct claim_service *service, struct str_buf *out)
{
	Claim__ServiceRecord record = CLAIM__SERVICE_RECORD__INIT;
	char *name = str_dup(service->name);

	record.name = name;
	append_record(out, &record.base);
	mem_free(name);
}

/*
 * Appends the whole ledger, followed by an XXH64 checksum.  Replicas that
 * applied the same commands write the same bytes.
 */
void
claim_ledger_save(const struct claim_ledger *ledger, struct str_buf *out)
{
	Claim__LedgerHeader header = CLAIM__LEDGER_HEADER__INIT;
	struct claim *claim;
	size_t from = out->len;

	header.version = FORMAT_VERSION;
	header.now_us = ledger->now_us;
	header.services = ledger->services->len;
	header.claims = g_hash_table_size(ledger->table);
	header.sweep = ledger->sweep;
	append_record(out, &header.base);
	for (guint i = 0; i < ledger->services->len; i++)
		save_service(g_ptr_array_index(ledger->services, i), out);
	cds_list_for_each_entry (claim, &ledger->open, age_node)
		save_claim(claim, out);
	for (guint i = 0; i < ledger->services->len; i++) {
		const struct claim_service *service =
		    g_ptr_array_index(ledger->services, i);

		save_list(&service->ended, out);
		save_list(&service->released, out);
	}
	append_le(
	    out, XXH64(out->data + from, out->len - from, 0), CHECKSUM_BYTES);
}

/*
 * Sets the message for a snapshot that can't be loaded and returns
 * STATUS_CORRUPT.
 */
static enum status
set_corrupt(const char *what)
{
	return status_set(STATUS_CORRUPT, "claim ledger: %s", what);
}

/*
 * Reads the next record; returns NULL if it is malformed.  The caller frees
 * it.
 */
static ProtobufCMessage *
read_record(struct reader *reader, const ProtobufCMessageDescriptor *descriptor)
{
	struct str *remaining = &reader->remaining;
	ProtobufCMessage *message;
	uint64_t len;

	if (remaining->len < LENGTH_BYTES)
		return NULL;
	len = read_le(remaining->data, LENGTH_BYTES);
	if (len > RECORD_MAX_BYTES || len > remaining->len - LENGTH_BYTES)
		return NULL;
	message = protobuf_c_message_unpack(descriptor, NULL, len,
	    (const uint8_t *)remaining->data + LENGTH_BYTES);
	remaining->data += LENGTH_BYTES + len;
	remaining->len -= LENGTH_BYTES + len;
	return message;
}

/*
 * Adds a saved service at the next index.  Returns false if its name exists
 * already.
 */
static bool
load_service(struct claim_ledger *ledger, const Claim__ServiceRecord *record)
{
	guint before = ledger->services->len;

	(void)claim_index_service(ledger, str_from(record->name), true);
	return ledger->services->len == before + 1;
}

/*
 * Puts a claim in its saved state.  Returns false if the record is
 * inconsistent.
 */
static bool
load_state(struct claim_ledger *ledger, struct claim *claim,
    const Claim__ClaimRecord *record)
{
	struct claim_holder holder = {
	    .entry = str_from(record->entry),
	    .incarnation = record->incarnation,
	    .attempt = record->attempt,
	};
	struct claim_answer answer = {
	    .http_status = record->http_status,
	    .content_type = str_from(record->content_type),
	    .body = str_of((char *)record->body.data, record->body.len),
	    .kept = record->kept,
	};

	claim->incarnation = record->incarnation;
	claim->attempt = record->attempt;
	if (record->has_answer !=
	    (record->state == CLAIM__CLAIM_STATE__STATE_DONE))
		return false;
	switch (record->state) {
	case CLAIM__CLAIM_STATE__STATE_OPEN:
		claim_index_set_open(
		    ledger, claim, &holder, record->expires_us);
		return true;
	case CLAIM__CLAIM_STATE__STATE_DONE:
		claim_index_set_ended(
		    ledger, claim, CLAIM_STATE_DONE, record->expires_us);
		claim_index_set_answer(ledger, claim, &answer);
		return true;
	case CLAIM__CLAIM_STATE__STATE_UNKNOWN:
		claim_index_set_ended(
		    ledger, claim, CLAIM_STATE_UNKNOWN, record->expires_us);
		return true;
	case CLAIM__CLAIM_STATE__STATE_RELEASED:
		claim_index_set_released(
		    ledger, claim, &holder, record->expires_us);
		return true;
	default:
		return false;
	}
}

/*
 * Adds a saved claim.  Returns false if its service is unknown, its key exists
 * already, or the record is inconsistent.
 */
static bool
load_claim(struct claim_ledger *ledger, const Claim__ClaimRecord *record)
{
	const struct claim_service *service;
	struct claim_key key;
	struct claim *claim;

	if (record->service >= ledger->services->len ||
	    record->digest.len != CLAIM_DIGEST_BYTES)
		return false;
	service = g_ptr_array_index(ledger->services, record->service);
	key = (struct claim_key){
	    .tenant = str_from(record->tenant),
	    .service = service->name,
	    .key = str_from(record->key),
	};
	if (claim_index_find(ledger, &key) != NULL)
		return false;
	claim = claim_index_add(ledger, &key);
	memcpy(claim->digest, record->digest.data, CLAIM_DIGEST_BYTES);
	claim->has_digest = record->has_digest;
	claim->retention_us = record->retention_us;
	claim->expires_us = record->expires_us;
	return load_state(ledger, claim, record);
}

/*
 * Loads count services.  Returns STATUS_CORRUPT at the first bad record.
 */
static enum status
load_services(
    struct claim_ledger *ledger, struct reader *reader, uint64_t count)
{
	for (uint64_t i = 0; i < count; i++) {
		ProtobufCMessage *message =
		    read_record(reader, &claim__service_record__descriptor);
		bool valid = message != NULL &&
		    load_service(ledger, (Claim__ServiceRecord *)message);

		if (message != NULL)
			protobuf_c_message_free_unpacked(message, NULL);
		if (!valid)
			return set_corrupt("malformed service record");
	}
	return STATUS_OK;
}

/*
 * Loads count claims.  Returns STATUS_CORRUPT at the first bad record.
 */
static enum status
load_claims(struct claim_ledger *ledger, struct reader *reader, uint64_t count)
{
	for (uint64_t i = 0; i < count; i++) {
		ProtobufCMessage *message =
		    read_record(reader, &claim__claim_record__descriptor);
		bool valid = message != NULL &&
		    load_claim(ledger, (Claim__ClaimRecord *)message);

		if (message != NULL)
			protobuf_c_message_free_unpacked(message, NULL);
		if (!valid)
			return set_corrupt("malformed claim record");
	}
	return STATUS_OK;
}

/*
 * Loads header, services and claims into an empty ledger.  Returns
 * STATUS_CORRUPT on a bad record or trailing bytes; the ledger is then partly
 * loaded.
 */
static enum status
load_records(struct claim_ledger *ledger, struct reader *reader)
{
	Claim__LedgerHeader *header;
	ProtobufCMessage *message =
	    read_record(reader, &claim__ledger_header__descriptor);
	uint64_t services;
	uint64_t claims;
	enum status status;

	if (message == NULL)
		return set_corrupt("malformed header record");
	header = (Claim__LedgerHeader *)message;
	services = header->services;
	claims = header->claims;
	ledger->now_us = header->now_us;
	ledger->sweep = header->sweep;
	status = header->version == FORMAT_VERSION
	    ? STATUS_OK
	    : set_corrupt("unsupported format version");
	protobuf_c_message_free_unpacked(message, NULL);
	if (status == STATUS_OK)
		status = load_services(ledger, reader, services);
	if (status == STATUS_OK)
		status = load_claims(ledger, reader, claims);
	if (status == STATUS_OK && reader->remaining.len > 0)
		status = set_corrupt("trailing bytes");
	return status;
}

/*
 * Replaces the ledger by a saved one.  On STATUS_CORRUPT it is unchanged.
 */
enum status
claim_ledger_load(struct claim_ledger *ledger, struct str data)
{
	struct reader reader;
	struct claim_ledger *loaded;
	enum status status;

	if (data.len < CHECKSUM_BYTES)
		return set_corrupt("shorter than its checksum");
	reader.remaining = str_of(data.data, data.len - CHECKSUM_BYTES);
	if (XXH64(reader.remaining.data, reader.remaining.len, 0) !=
	    read_le(data.data + reader.remaining.len, CHECKSUM_BYTES))
		return set_corrupt("checksum mismatch");
	loaded = claim_ledger_new();
	status = load_records(loaded, &reader);
	if (status != STATUS_OK) {
		claim_ledger_free(loaded);
		return status;
	}
	claim_index_free(ledger);
	*ledger = *loaded;
	CDS_INIT_LIST_HEAD(&ledger->entries);
	CDS_INIT_LIST_HEAD(&ledger->open);
	cds_list_splice(&loaded->entries, &ledger->entries);
	cds_list_splice(&loaded->open, &ledger->open);
	mem_free(loaded);
	return STATUS_OK;
}
