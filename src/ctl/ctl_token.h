/*
 * The teams' tokens of this operator: one given for all, or a file with a
 * line "TEAM TOKEN" for each.
 */
#ifndef CTL_CTL_TOKEN_H
#define CTL_CTL_TOKEN_H

#include "ctl/ctl.h"

struct ctl_tokens {
	char *default_token; /* for any team; NULL: none */
	struct str_buf file;
};

/* STATUS_IO when the file can't be read. */
enum status ctl_tokens_read(const struct ctl_settings *settings,
    struct ctl_tokens *tokens) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void ctl_tokens_free(struct ctl_tokens *tokens) ATTR_NONNULL_ALL;
/* An owned copy of a team's token, or any team's; NULL when there is none. */
char *ctl_tokens_find(const struct ctl_tokens *tokens, struct str team)
    ATTR_NONNULL(1) ATTR_UNUSED_RESULT;
/* Clears and frees what ctl_tokens_find() returned. */
void ctl_token_free(char *token);

#endif
