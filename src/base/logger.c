#include "base/logger.h"

#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <log4c.h>

#include "base/clock.h"
#include "base/str.h"

enum {
	LINE_BYTES = 1024
};

static log4c_category_t *category;
static char *log_path;
static FILE *log_file;
static bool to_stdout;
static pthread_mutex_t file_lock = PTHREAD_MUTEX_INITIALIZER;

static const int priorities[] = {
    [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
    [LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
    [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
    [LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

/*
 * Layout callback of log4c.  The message is already a complete line.
 */
static const char *
format_line(const log4c_layout_t *layout ATTR_UNUSED,
    const log4c_logging_event_t *event)
{
	return event->evt_msg;
}

/*
 * Writes a line to standard output, or drops it when the write would block, so
 * that a slow reader never delays the process.  The next line written is
 * preceded by the number of dropped lines.
 */
static void
write_nonblocking(const char *line)
{
	static atomic_uint_fast64_t dropped_lines;
	struct pollfd poll_fd = {.fd = STDOUT_FILENO, .events = POLLOUT};
	char note[LINE_BYTES];
	uint_fast64_t count;
	int len;

	if (poll(&poll_fd, 1, 0) != 1 || (poll_fd.revents & POLLOUT) == 0) {
		atomic_fetch_add(&dropped_lines, 1);
		return;
	}
	count = atomic_exchange(&dropped_lines, 0);
	len = count > 0 ? snprintf(note, sizeof(note),
			      "level=WARN event=lines_lost lines=%llu\n%s",
			      (unsigned long long)count, line)
			: 0;
	if (len >= (int)sizeof(note))
		len = (int)sizeof(note) - 1;
	if (write(STDOUT_FILENO, len > 0 ? note : line,
		len > 0 ? (size_t)len : strlen(line)) < 0)
		atomic_fetch_add(&dropped_lines, count + 1);
}

/*
 * Appender callback of log4c: writes and flushes one line.  The lock prevents
 * interleaved lines and a concurrent close of the file by logger_reopen().
 */
static int
append_line(
    log4c_appender_t *appender ATTR_UNUSED, const log4c_logging_event_t *event)
{
	FILE *out;

	if (to_stdout) {
		write_nonblocking(event->evt_rendered_msg);
		return 0;
	}
	pthread_mutex_lock(&file_lock);
	out = log_file != NULL ? log_file : stderr;
	fputs(event->evt_rendered_msg, out);
	fflush(out);
	pthread_mutex_unlock(&file_lock);
	return 0;
}

static const log4c_layout_type_t layout_type = {
    .name = "gypsummill",
    .format = format_line,
};

static const log4c_appender_type_t appender_type = {
    .name = "gypsummill",
    .append = append_line,
};

/*
 * Opens the log of a program.  level is error, warn, info or debug; path NULL
 * or "" means standard error, "-" standard output.  Returns STATUS_INVALID for
 * another level and STATUS_IO when the file cannot be opened.
 */
enum status
logger_open(const char *program, const char *level, const char *path)
{
	int priority = log4c_priority_to_int(level);
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	if (priority == LOG4C_PRIORITY_UNKNOWN)
		return status_set(
		    STATUS_INVALID, "unknown log level \"%s\"", level);
	if (path != NULL && strcmp(path, "-") == 0) {
		to_stdout = true;
	} else if (path != NULL && path[0] != '\0') {
		log_file = fopen(path, "ae");
		if (log_file == NULL)
			return status_set_errno(STATUS_IO, path);
		log_path = str_dup(str_from(path));
	}
	log4c_appender_type_set(&appender_type);
	log4c_layout_type_set(&layout_type);
	appender = log4c_appender_get("gypsummill");
	log4c_appender_set_type(appender, &appender_type);
	layout = log4c_layout_get("gypsummill");
	log4c_layout_set_type(layout, &layout_type);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get(program);
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, priority);
	log4c_category_set_additivity(category, 0);
	return STATUS_OK;
}

/*
 * Reopens the log file after log rotation (SIGHUP).  When that fails, the old
 * file stays in use.
 */
void
logger_reopen(void)
{
	FILE *new_file;

	if (log_path == NULL)
		return;
	new_file = fopen(log_path, "ae");
	if (new_file == NULL)
		return;
	pthread_mutex_lock(&file_lock);
	fclose(log_file);
	log_file = new_file;
	pthread_mutex_unlock(&file_lock);
}

/*
 * Closes the log; later lines are discarded.
 */
void
logger_close(void)
{
	category = NULL;
	pthread_mutex_lock(&file_lock);
	if (log_file != NULL)
		fclose(log_file);
	log_file = NULL;
	pthread_mutex_unlock(&file_lock);
}

/*
 * Writes one line: time, level, event and the formatted key=value pairs.
 * Lines over 1,024 bytes are truncated.  Does nothing before logger_open().
 */
void
logger_line(enum log_level level, const char *event, const char *fmt, ...)
{
	char line[LINE_BYTES];
	uint64_t now = clock_wall_us();
	time_t seconds = (time_t)(now / US_PER_S);
	struct tm tm;
	size_t used;
	va_list ap;
	int n;

	if (category == NULL ||
	    !log4c_category_is_priority_enabled(category, priorities[level]))
		return;
	gmtime_r(&seconds, &tm);
	used = strftime(line, sizeof(line), "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(line + used, sizeof(line) - used,
	    ".%06uZ level=%s event=%s ", (unsigned)(now % US_PER_S),
	    log4c_priority_to_string(priorities[level]), event);
	used += (size_t)n;
	va_start(ap, fmt);
	n = vsnprintf(line + used, sizeof(line) - used - 1, fmt, ap);
	va_end(ap);
	if (n > 0)
		used += (size_t)n;
	if (used > sizeof(line) - 2)
		used = sizeof(line) - 2;
	line[used] = '\n';
	line[used + 1] = '\0';
	log4c_category_log(category, priorities[level], "%s", line);
}
