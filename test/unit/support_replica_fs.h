/*
 * One data folder in memory, behind the storage's system calls.  Only what
 * was synced survives a crash for certain; of what was not, a seeded prefix
 * does.
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
	FS_KILL_BEFORE, /* the call and all later ones have no effect */
	FS_KILL_AFTER, /* the call has its effect, all later ones none */
	FS_SYNC_ERROR, /* the next fsync from there on fails, once */
	FS_FULL, /* half of a write, then ENOSPC for ever */
	FS_WRITE_ERROR /* the next write from there on fails, once */
};

struct fs_inode;

struct fs_name {
	char name[48];
	struct fs_inode *inode; /* NULL in a change: unlink */
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
	struct fs_name *changes; /* of the folder, since its last sync */
	size_t change_count;
	struct fs_inode *open[FS_FILES_MAX];
	struct fs_inode *inodes; /* every inode ever made */
	enum fs_fault fault;
	uint64_t fault_at; /* mutating call at which it strikes */
	uint64_t mutations; /* mutating calls so far */
	bool dead;
	bool full;
	bool
	    fault_triggered; /* a fault has had its effect since the last crash */
	bool short_writes; /* each write takes a random part */
	uint64_t syncs;
};

struct fs *fs_new(uint64_t seed);
void fs_free(struct fs *fs);
/* Ends the process and its machine; true when a file kept a torn tail. */
bool fs_crash(struct fs *fs);
/* The last file, by name, that starts with prefix. */
struct str_buf *fs_last_file(struct fs *fs, const char *prefix);
/* Cuts the last file that starts with prefix, durably. */
void fs_truncate_last(struct fs *fs, const char *prefix, size_t len);
void fs_remove(struct fs *fs, const char *name);

#endif
