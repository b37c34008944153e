/*
 * Tokens of the operator's teams: --token for all teams, or --token-file with a
 * line "TEAM TOKEN" for each.
 */
#ifndef CTL_CTL_TOKEN_H
#define CTL_CTL_TOKEN_H

#include "ctl/ctl.h"

struct ctl_tokens {
	char *default_token; /* of --token, for any team; NULL: none */
	struct str_buf file; /* content of --token-file */
};

/* STATUS_IO if the file can't be read. */
enum status ctl_tokens_read(const struct ctl_settings *settings,
    struct ctl_tokens *tokens) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void ctl_tokens_free(struct ctl_tokens *tokens) ATTR_NONNULL_ALL;
/* A copy of a team's or the default token, owned by the caller; NULL: none. */
char *ctl_tokens_find(const struct ctl_tokens *tokens, struct str team)
    ATTR_NONNULL(1) ATTR_UNUSED_RESULT;
/* Clears and frees a token returned by ctl_tokens_find(). */
void ctl_token_free(char *token);

#endif
