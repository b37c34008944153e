/*
 * An in-memory data folder behind the storage's system calls.  Synced data
 * always survives a crash; of unsynced data a random prefix does, drawn from
 * the seed.
 */
#ifndef SUPPORT_REPLICA_FS_H
#define SUPPORT_REPLICA_FS_H

#include "base/random.h"
#include "base/str.h"
#include "replica/storage_calls.h"

enum {
	FS_FILES_MAX = 64
};

enum fs_fault {
	FS_NONE,
	FS_KILL_BEFORE, /* this call and all later ones have no effect */
	FS_KILL_AFTER, /* this call has its effect, later ones none */
	FS_SYNC_ERROR, /* the next fsync fails, once */
	FS_FULL, /* half of a write, then ENOSPC permanently */
	FS_WRITE_ERROR /* the next write fails, once */
};

struct fs_inode;

struct fs_name {
	char name[48];
	struct fs_inode *inode; /* NULL in a change: unlink */
	bool renamed; /* the change belongs to the one before it */
};

struct fs_table {
	struct fs_name names[FS_FILES_MAX];
	unsigned count;
};

struct fs {
	struct storage_calls calls;
	struct random random;
	struct fs_table current;
	struct fs_table durable;
	struct fs_name *changes; /* to directory entries, since the last sync */
	size_t change_count;
	struct fs_inode *open[FS_FILES_MAX];
	struct fs_inode *inodes; /* linked by next */
	enum fs_fault fault;
	uint64_t fault_at; /* mutating call from which it applies */
	uint64_t mutations; /* mutating calls so far */
	bool dead;
	bool full;
	bool fault_triggered; /* since the last crash */
	bool short_writes; /* each write writes a random part */
	uint64_t syncs;
};

struct fs *fs_new(uint64_t seed);
void fs_free(struct fs *fs);
/* Kills the process: what it has written stays with the system, unsynced. */
void fs_kill(struct fs *fs);
/* Simulates a power failure; true when a file kept a torn tail. */
bool fs_crash(struct fs *fs);
/* Returns the last file, by name, that starts with prefix. */
struct str_buf *fs_last_file(struct fs *fs, const char *prefix);
/* Truncates the last file that starts with prefix, durably. */
void fs_truncate_last(struct fs *fs, const char *prefix, size_t len);
void fs_remove(struct fs *fs, const char *name);

#endif
