/*
 * State of a data folder and the internal functions that its source files
 * share.
 */
#ifndef REPLICA_STORAGE_FOLDER_DEFS_H
#define REPLICA_STORAGE_FOLDER_DEFS_H

#include "replica/storage_segment.h"

struct folder {
	struct storage_location location;
	int lock;
	bool failed; /* after an error; refuses all further use */
	struct segment *segments; /* in index order */
	size_t count;
	size_t capacity;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	bool loaded;
};

/* storage_folder.c */
enum status folder_record_failure(struct folder *f, enum status status);
enum status folder_check_usable(const struct folder *f);
struct segment *folder_push_segment(struct folder *f);
enum status folder_compact(struct folder *f);

/* storage_load.c */
enum status folder_load(void *ctx, const struct storage_loader *loader);
enum status folder_identify(struct folder *f, uint64_t id, uint64_t *disk);

#endif
