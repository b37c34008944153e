#include "ctl/ctl_token.h"

#include <string.h>

#include "base/memory.h"
#include "document/document.h"

/*
 * Reads --token and --token-file; freed with ctl_tokens_free().  STATUS_IO if
 * the file can't be read.
 */
enum status
ctl_tokens_read(const struct ctl_settings *settings, struct ctl_tokens *tokens)
{
	*tokens = (struct ctl_tokens){.default_token = settings->token};
	if (settings->token_file == NULL)
		return STATUS_OK;
	return ctl_read_file(settings->token_file, &tokens->file);
}

/*
 * Clears the file's content from memory and frees it.
 */
void
ctl_tokens_free(struct ctl_tokens *tokens)
{
	if (tokens->file.data != NULL)
		explicit_bzero(tokens->file.data, tokens->file.capacity);
	str_buf_free(&tokens->file);
}

/* Removes the next word from the line and returns it; empty at the end. */
static struct str
next_word(struct str *line)
{
	struct str word = *line = str_trim(*line);

	for (size_t i = 0; i < line->len; i++) {
		if (line->data[i] == ' ' || line->data[i] == '\t')
			word.len = i < word.len ? i : word.len;
	}
	line->data += word.len;
	line->len -= word.len;
	return word;
}

/*
 * Returns a copy of the token for a team.  A line with a single word is a token
 * for any team and is used if the team has no line; --token is used if there is
 * no such line.  An empty team selects the first line with a team other than
 * the bootstrap one.  Blank lines and lines that start with '#' are skipped.
 */
char *
ctl_tokens_find(const struct ctl_tokens *tokens, struct str team)
{
	struct str rest = str_buf_view(&tokens->file);
	struct str unnamed_token = str_of("", 0);
	struct str line;

	while (rest.len > 0 && str_split(&rest, '\n', &line)) {
		struct str first = next_word(&line);
		struct str second = next_word(&line);

		if (first.len == 0 || first.data[0] == '#')
			continue;
		if (second.len == 0)
			unnamed_token = first;
		else if (str_equal(first, team) ||
		    (team.len == 0 &&
			!str_equal_c(first, DOCUMENT_BOOTSTRAP_TEAM)))
			return str_dup(second);
	}
	if (unnamed_token.len > 0)
		return str_dup(unnamed_token);
	return tokens->default_token != NULL
	    ? str_dup(str_from(tokens->default_token))
	    : NULL;
}

/*
 * Clears a token from memory and frees it; NULL is allowed.
 */
void
ctl_token_free(char *token)
{
	if (token != NULL)
		explicit_bzero(token, strlen(token));
	mem_free(token);
}
