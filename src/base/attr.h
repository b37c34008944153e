/*
 * Shorthands for function attributes of GCC and Clang.
 */
#ifndef BASE_ATTR_H
#define BASE_ATTR_H

#define ATTR_NONNULL_ALL __attribute__((nonnull))
#define ATTR_NONNULL(...) __attribute__((nonnull(__VA_ARGS__)))
#define ATTR_UNUSED_RESULT __attribute__((warn_unused_result))
#define ATTR_PRINTF(fmt, args) __attribute__((format(printf, fmt, args)))
#define ATTR_UNUSED __attribute__((unused))

#endif
