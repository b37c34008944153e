#include "support_replica_fs.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "base/invariant.h"
#include "base/memory.h"

struct fs_inode {
	struct str_buf data;
	size_t durable; /* bytes of data that are synced */
	struct str_buf
	    tail; /* synced bytes removed by an unsynced truncation */
	struct fs_inode *next;
};

static const char *
base_name(const char *path)
{
	const char *slash = strrchr(path, '/');

	return slash != NULL ? slash + 1 : path;
}

static struct fs_name *
find(struct fs_table *table, const char *name)
{
	for (unsigned i = 0; i < table->count; i++) {
		if (strcmp(table->names[i].name, name) == 0)
			return &table->names[i];
	}
	return NULL;
}

/*
 * Sets a directory entry, or removes it when the inode is NULL.
 */
static void
apply_change(struct fs_table *table, const struct fs_name *change)
{
	struct fs_name *entry = find(table, change->name);

	if (change->inode == NULL) {
		if (entry != NULL)
			*entry = table->names[--table->count];
		return;
	}
	if (entry == NULL) {
		INVARIANT(table->count < FS_FILES_MAX, "too many files");
		entry = &table->names[table->count++];
	}
	*entry = *change;
}

static void
change_name(struct fs *fs, const char *name, struct fs_inode *inode)
{
	struct fs_name change = {.inode = inode};

	snprintf(change.name, sizeof(change.name), "%s", name);
	apply_change(&fs->current, &change);
	fs->changes = mem_resize(
	    fs->changes, (fs->change_count + 1) * sizeof(*fs->changes));
	fs->changes[fs->change_count++] = change;
}

/*
 * Counts a mutating call.  Returns false when it must fail without effect.
 */
static bool
begin_mutation(struct fs *fs)
{
	fs->mutations++;
	if (fs->dead) {
		errno = EIO;
		return false;
	}
	if (fs->mutations == fs->fault_at &&
	    (fs->fault == FS_KILL_BEFORE || fs->fault == FS_KILL_AFTER)) {
		fs->dead = true;
		fs->fault_triggered = true;
		errno = EIO;
		return fs->fault == FS_KILL_AFTER;
	}
	return true;
}

/*
 * Returns a call's result, or a failure if the process died during it.
 */
static int
call_result(const struct fs *fs, int value)
{
	if (!fs->dead)
		return value;
	errno = EIO;
	return -1;
}

static bool
fault_is_due(const struct fs *fs, enum fs_fault fault)
{
	return fs->fault == fault && fs->mutations >= fs->fault_at;
}

static int
fs_make_folder(void *ctx ATTR_UNUSED, const char *path ATTR_UNUSED)
{
	return 0;
}

static int
fs_lock(void *ctx ATTR_UNUSED, const char *path ATTR_UNUSED)
{
	return FS_FILES_MAX;
}

static int
allocate_fd(struct fs *fs, struct fs_inode *inode)
{
	for (int fd = 0; fd < FS_FILES_MAX; fd++) {
		if (fs->open[fd] == NULL) {
			fs->open[fd] = inode;
			return fd;
		}
	}
	errno = EMFILE;
	return -1;
}

static int
fs_open(void *ctx, const char *path, bool create)
{
	struct fs *fs = ctx;
	const char *name = base_name(path);
	struct fs_name *entry = find(&fs->current, name);
	struct fs_inode *inode;

	if (!create && entry == NULL) {
		errno = ENOENT;
		return -1;
	}
	if (!create)
		return allocate_fd(fs, entry->inode);
	if (!begin_mutation(fs))
		return -1;
	inode = mem_calloc(1, sizeof(*inode));
	inode->next = fs->inodes;
	fs->inodes = inode;
	change_name(fs, name, inode);
	return call_result(fs, allocate_fd(fs, inode));
}

static int
fs_close(void *ctx, int fd)
{
	struct fs *fs = ctx;

	if (fd < FS_FILES_MAX)
		fs->open[fd] = NULL;
	return 0;
}

static ssize_t
fs_read(void *ctx, int fd, void *data, size_t len, uint64_t offset)
{
	const struct fs *fs = ctx;
	const struct fs_inode *inode = fs->open[fd];

	if (offset >= inode->data.len)
		return 0;
	if (len > inode->data.len - offset)
		len = inode->data.len - offset;
	memcpy(data, inode->data.data + offset, len);
	return (ssize_t)len;
}

static ssize_t
fs_write(void *ctx, int fd, const void *data, size_t len, uint64_t offset)
{
	struct fs *fs = ctx;
	struct fs_inode *inode = fs->open[fd];

	if (!begin_mutation(fs))
		return -1;
	INVARIANT(
	    offset == inode->data.len, "a write is not at the end of its file");
	if (fs->full || fault_is_due(fs, FS_WRITE_ERROR)) {
		fs->fault = FS_NONE;
		fs->fault_triggered = true;
		errno = fs->full ? ENOSPC : EIO;
		return -1;
	}
	if (fault_is_due(fs, FS_FULL)) {
		fs->full = true;
		fs->fault_triggered = true;
		len = (len + 1) / 2;
	} else if (fs->short_writes) {
		len = 1 + random_below(&fs->random, len);
	}
	str_buf_append(&inode->data, str_of(data, len));
	return call_result(fs, (int)len);
}

static int
fs_sync(void *ctx, int fd)
{
	struct fs *fs = ctx;
	struct fs_inode *inode = fs->open[fd];

	if (!begin_mutation(fs))
		return -1;
	if (fault_is_due(fs, FS_SYNC_ERROR)) {
		fs->fault = FS_NONE;
		fs->fault_triggered = true;
		errno = EIO;
		return -1;
	}
	fs->syncs++;
	inode->durable = inode->data.len;
	str_buf_clear(&inode->tail);
	return call_result(fs, 0);
}

static int
fs_truncate(void *ctx, int fd, uint64_t size)
{
	struct fs *fs = ctx;
	struct fs_inode *inode = fs->open[fd];

	if (!begin_mutation(fs))
		return -1;
	if (size < inode->durable) {
		str_buf_clear(&inode->tail);
		str_buf_append(&inode->tail,
		    str_of(inode->data.data + size, inode->durable - size));
		inode->durable = size;
	}
	inode->data.len = size;
	return call_result(fs, 0);
}

static int
fs_rename(void *ctx, const char *from, const char *to)
{
	struct fs *fs = ctx;
	struct fs_name *entry;
	struct fs_inode *inode;

	if (!begin_mutation(fs))
		return -1;
	entry = find(&fs->current, base_name(from));
	INVARIANT(entry != NULL, "rename of a missing file");
	inode = entry->inode;
	change_name(fs, base_name(to), inode);
	change_name(fs, base_name(from), NULL);
	fs->changes[fs->change_count - 1].renamed = true;
	return call_result(fs, 0);
}

static int
fs_unlink(void *ctx, const char *path)
{
	struct fs *fs = ctx;

	if (!begin_mutation(fs))
		return -1;
	if (find(&fs->current, base_name(path)) == NULL) {
		errno = ENOENT;
		return -1;
	}
	change_name(fs, base_name(path), NULL);
	return call_result(fs, 0);
}

static bool
is_used(const struct fs *fs, const struct fs_inode *inode)
{
	for (unsigned i = 0; i < fs->current.count; i++) {
		if (fs->current.names[i].inode == inode)
			return true;
	}
	for (unsigned i = 0; i < FS_FILES_MAX; i++) {
		if (fs->open[i] == inode)
			return true;
	}
	return false;
}

/*
 * Frees files without a name or an open descriptor.
 */
static void
free_unreferenced(struct fs *fs)
{
	struct fs_inode **link = &fs->inodes;

	while (*link != NULL) {
		struct fs_inode *inode = *link;

		if (is_used(fs, inode)) {
			link = &inode->next;
			continue;
		}
		*link = inode->next;
		str_buf_free(&inode->data);
		str_buf_free(&inode->tail);
		mem_free(inode);
	}
}

static int
fs_sync_folder(void *ctx, const char *path ATTR_UNUSED)
{
	struct fs *fs = ctx;

	if (!begin_mutation(fs))
		return -1;
	if (fault_is_due(fs, FS_SYNC_ERROR)) {
		fs->fault = FS_NONE;
		fs->fault_triggered = true;
		errno = EIO;
		return -1;
	}
	fs->durable = fs->current;
	fs->change_count = 0;
	free_unreferenced(fs);
	return call_result(fs, 0);
}

static int
fs_list(void *ctx, const char *path ATTR_UNUSED, storage_name_visitor *visit,
    void *visit_ctx)
{
	const struct fs *fs = ctx;

	for (unsigned i = 0; i < fs->current.count; i++)
		visit(visit_ctx, fs->current.names[i].name);
	return 0;
}

static uint64_t
fs_random(void *ctx)
{
	struct fs *fs = ctx;

	return random_next(&fs->random) | 1;
}

/*
 * Creates an empty folder.
 */
struct fs *
fs_new(uint64_t seed)
{
	struct fs *fs = mem_calloc(1, sizeof(*fs));

	random_seed(&fs->random, seed);
	fs->calls = (struct storage_calls){.ctx = fs,
	    .make_folder = fs_make_folder,
	    .lock = fs_lock,
	    .open = fs_open,
	    .close = fs_close,
	    .read = fs_read,
	    .write = fs_write,
	    .sync = fs_sync,
	    .truncate = fs_truncate,
	    .rename = fs_rename,
	    .unlink = fs_unlink,
	    .sync_folder = fs_sync_folder,
	    .list = fs_list,
	    .random = fs_random};
	return fs;
}

/*
 * Frees a folder; NULL is allowed.
 */
void
fs_free(struct fs *fs)
{
	struct fs_inode *next;

	if (fs == NULL)
		return;
	for (struct fs_inode *inode = fs->inodes; inode != NULL; inode = next) {
		next = inode->next;
		str_buf_free(&inode->data);
		str_buf_free(&inode->tail);
		mem_free(inode);
	}
	mem_free(fs->changes);
	mem_free(fs);
}

/*
 * Reduces a file to what survives a crash: its synced bytes and a random
 * prefix of those appended since.  An unsynced truncation survives, is
 * undone, or leaves the new prefix followed by the old bytes.  Returns
 * whether a torn tail remains.
 */
static bool
crash_inode(struct fs *fs, struct fs_inode *inode)
{
	size_t unsynced = inode->data.len - inode->durable;
	size_t kept = 0;

	kept = random_below(&fs->random, unsynced + 1);
	inode->data.len = inode->durable + kept;
	if (kept < inode->tail.len && random_below(&fs->random, 2) == 0)
		str_buf_append(&inode->data,
		    str_of(inode->tail.data + kept, inode->tail.len - kept));
	inode->durable = inode->data.len;
	str_buf_clear(&inode->tail);
	return kept > 0 && kept < unsynced;
}

void
fs_kill(struct fs *fs)
{
	memset(fs->open, 0, sizeof(fs->open));
	fs->dead = false;
	fs->full = false;
	fs->fault_triggered = false;
	fs->fault = FS_NONE;
}

/*
 * Applies the changes of names that survive a crash: those before a random one,
 * but each removal of a file is kept or lost independently of others.
 */
static void
crash_names(struct fs *fs)
{
	size_t kept = random_below(&fs->random, fs->change_count + 1);

	fs->current = fs->durable;
	for (size_t i = 0; i < fs->change_count; i++) {
		const struct fs_name *change = &fs->changes[i];
		bool is_removal = change->inode == NULL && !change->renamed;

		if (is_removal ? random_below(&fs->random, 2) == 0 : i < kept)
			apply_change(&fs->current, change);
	}
}

bool
fs_crash(struct fs *fs)
{
	bool torn = false;

	crash_names(fs);
	fs->durable = fs->current;
	fs->change_count = 0;
	for (struct fs_inode *inode = fs->inodes; inode != NULL;
	     inode = inode->next)
		torn = crash_inode(fs, inode) || torn;
	fs_kill(fs);
	return torn;
}

static struct fs_inode *
last_inode(struct fs *fs, const char *prefix)
{
	struct fs_name *last = NULL;

	for (unsigned i = 0; i < fs->current.count; i++) {
		struct fs_name *entry = &fs->current.names[i];

		if (strncmp(entry->name, prefix, strlen(prefix)) == 0 &&
		    (last == NULL || strcmp(entry->name, last->name) > 0))
			last = entry;
	}
	return last != NULL ? last->inode : NULL;
}

struct str_buf *
fs_last_file(struct fs *fs, const char *prefix)
{
	struct fs_inode *inode = last_inode(fs, prefix);

	return inode != NULL ? &inode->data : NULL;
}

void
fs_truncate_last(struct fs *fs, const char *prefix, size_t len)
{
	struct fs_inode *inode = last_inode(fs, prefix);

	INVARIANT(inode != NULL && len <= inode->data.len,
	    "truncation of a missing or shorter file");
	inode->data.len = len;
	inode->durable = len;
}

void
fs_remove(struct fs *fs, const char *name)
{
	const struct fs_name change = {.inode = NULL};
	struct fs_name removed = change;

	snprintf(removed.name, sizeof(removed.name), "%s", name);
	apply_change(&fs->current, &removed);
	apply_change(&fs->durable, &removed);
}
