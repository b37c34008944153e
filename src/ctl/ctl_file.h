/*
 * A document file on disk: its sections, checked as control would.
 */
#ifndef CTL_CTL_FILE_H
#define CTL_CTL_FILE_H

#include "ctl/ctl.h"
#include "document/policy.h"

struct ctl_section {
	struct str text; /* borrowed from the file's bytes */
	struct policy_section *parsed; /* NULL when it is not valid */
	uint32_t line; /* in the file, from 1 */
};

struct ctl_file {
	struct str_buf bytes;
	struct ctl_section *sections;
	uint32_t count;
	struct str_buf errors; /* one a line */
	struct str_buf warnings; /* one a line */
};

/*
 * Reads and checks a file.  STATUS_INVALID when errors is not empty; the
 * sections are there all the same.
 */
enum status ctl_file_read(const char *path,
    struct ctl_file *file) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void ctl_file_free(struct ctl_file *file) ATTR_NONNULL_ALL;
const struct ctl_section *ctl_file_find_section(
    const struct ctl_file *file, struct str name) ATTR_NONNULL(1);
/* STATUS_NOT_FOUND when no section has the name; NULL is any. */
enum status ctl_file_require_section(const struct ctl_file *file,
    const char *name) ATTR_NONNULL(1) ATTR_UNUSED_RESULT;
/* Fleet first, then tenants, then services: the order to apply them in. */
void ctl_file_sort(struct ctl_file *file) ATTR_NONNULL_ALL;

#endif
