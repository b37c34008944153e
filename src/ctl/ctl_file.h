/*
 * A document file: its sections, with the validation that control does.
 */
#ifndef CTL_CTL_FILE_H
#define CTL_CTL_FILE_H

#include "ctl/ctl.h"
#include "document/policy.h"

struct ctl_section {
	struct str text; /* borrowed from ctl_file.bytes */
	struct policy_section *parsed; /* NULL if not valid */
	uint32_t line; /* first line in the file, from 1 */
};

struct ctl_file {
	struct str_buf bytes;
	struct ctl_section *sections;
	uint32_t count;
	struct str_buf errors; /* one per line */
	struct str_buf warnings; /* one per line */
};

/*
 * Reads and validates a file.  STATUS_INVALID if there are errors; the sections
 * are set even so.  STATUS_IO if the file can't be read.
 */
enum status ctl_file_read(const char *path,
    struct ctl_file *file) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void ctl_file_free(struct ctl_file *file) ATTR_NONNULL_ALL;
const struct ctl_section *ctl_file_find_section(
    const struct ctl_file *file, struct str name) ATTR_NONNULL(1);
/* STATUS_NOT_FOUND if no section has the name; NULL is always found. */
enum status ctl_file_require_section(const struct ctl_file *file,
    const char *name) ATTR_NONNULL(1) ATTR_UNUSED_RESULT;
/* Sorts into the order of application: fleet, tenants, services. */
void ctl_file_sort(struct ctl_file *file) ATTR_NONNULL_ALL;

#endif
