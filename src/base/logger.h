/*
 * Structured logging with log4c: one line per change of state, as key=value
 * pairs, to standard error, standard output or a file.
 */
#ifndef BASE_LOGGER_H
#define BASE_LOGGER_H

#include "base/attr.h"
#include "base/status.h"

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG
};

enum status logger_open(const char *program, const char *level,
    const char *path) ATTR_NONNULL(1, 2);
void logger_reopen(void);
void logger_close(void);
void logger_line(enum log_level level, const char *event, const char *fmt, ...)
    ATTR_PRINTF(3, 4) ATTR_NONNULL(2, 3);

/* log_info("lease_lost", "instance=%s term=%llu", ...) */
#define log_error(event, ...) logger_line(LOG_LEVEL_ERROR, event, __VA_ARGS__)
#define log_warn(event, ...) logger_line(LOG_LEVEL_WARN, event, __VA_ARGS__)
#define log_info(event, ...) logger_line(LOG_LEVEL_INFO, event, __VA_ARGS__)
#define log_debug(event, ...) logger_line(LOG_LEVEL_DEBUG, event, __VA_ARGS__)

#endif
