#include "routing/routes_diff_accounts.h"

struct key_counts {
	unsigned added;
	unsigned withdrawn;
};

/* A visit of one document's keys, which are looked up in the other one. */
struct key_visit {
	const struct accounts *other; /* NULL: it has none */
	GHashTable *counts; /* name -> struct key_counts */
	bool is_after;
};

static struct key_counts *
get_counts(GHashTable *counts, const char *name)
{
	struct key_counts *of = g_hash_table_lookup(counts, name);

	if (of == NULL) {
		of = g_new0(struct key_counts, 1);
		g_hash_table_insert(counts, (gpointer)name, of);
	}
	return of;
}

/*
 * Counts a key that the other document doesn't hold for the account.  One that
 * has moved to another account is withdrawn from the first and added to the
 * second.
 */
static void
on_key(void *ctx, const struct account *account, struct str key)
{
	struct key_visit *visit = ctx;
	struct key_counts *counts = get_counts(visit->counts, account->name);
	const struct account *owner =
	    visit->other != NULL ? accounts_find(visit->other, key) : NULL;

	if (owner != NULL && g_str_equal(owner->name, account->name))
		return;
	if (visit->is_after)
		counts->added++;
	else
		counts->withdrawn++;
}

static void
visit_keys(const struct accounts *of, const struct accounts *other,
    GHashTable *counts, bool is_after)
{
	struct key_visit visit = {other, counts, is_after};

	if (of != NULL)
		accounts_for_each_key(of, on_key, &visit);
}

/* Says which rank an account has, "the route's" without one. */
static void
append_rank(struct str_buf *text, const struct account *account)
{
	if (account->has_rank)
		str_buf_printf(text, "%u", account->rank);
	else
		str_buf_append_c(text, "the route's");
}

static void
diff_account(const struct account *before, const struct account *after,
    const struct key_counts *keys, GPtrArray *report)
{
	struct str_buf text = {0};

	if (before->has_rank != after->has_rank ||
	    (after->has_rank && before->rank != after->rank)) {
		str_buf_append_c(&text, "rank ");
		append_rank(&text, before);
		str_buf_append_c(&text, " -> ");
		append_rank(&text, after);
	}
	routes_diff_append(
	    &text, "requests/s", before->rate_per_s, after->rate_per_s);
	routes_diff_append(&text, "burst", before->burst, after->burst);
	if (keys->added > 0)
		str_buf_printf(&text, "%skeys added: %u",
		    text.len > 0 ? ", " : "", keys->added);
	if (keys->withdrawn > 0)
		str_buf_printf(&text, "%skeys withdrawn: %u",
		    text.len > 0 ? ", " : "", keys->withdrawn);
	routes_diff_add_changed(
	    report, REPORT_ACCOUNT, NULL, after->name, &text);
}

static void
append_names(const struct accounts *accounts, const struct accounts *except,
    GPtrArray *names)
{
	GPtrArray *list;

	if (accounts == NULL)
		return;
	list = accounts_list(accounts);
	for (guint i = 0; i < list->len; i++) {
		const struct account *account = list->pdata[i];

		if (except == NULL ||
		    accounts_find_name(except, account->name) == NULL)
			g_ptr_array_add(names, account->name);
	}
	g_ptr_array_unref(list);
}

static const struct account *
find(const struct accounts *accounts, const char *name)
{
	return accounts != NULL ? accounts_find_name(accounts, name) : NULL;
}

/*
 * Compares the accounts; see routes_diff_accounts.h.
 */
void
routes_diff_accounts(const struct accounts *before,
    const struct accounts *after, GPtrArray *report)
{
	GHashTable *counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GPtrArray *names = g_ptr_array_new();

	if ((before == NULL) != (after == NULL))
		report_add(report, REPORT_CHANGED, REPORT_DOCUMENT, NULL, NULL,
		    after != NULL ? "routes that aren't public need a key now"
				  : "no route needs a key any more");
	visit_keys(before, after, counts, false);
	visit_keys(after, before, counts, true);
	append_names(before, NULL, names);
	append_names(after, before, names);
	g_ptr_array_sort(names, routes_diff_compare_texts);
	for (guint i = 0; i < names->len; i++) {
		const char *name = names->pdata[i];
		const struct account *was = find(before, name);
		const struct account *is = find(after, name);
		const struct key_counts *keys = get_counts(counts, name);

		if (was == NULL)
			report_add(report, REPORT_ADDED, REPORT_ACCOUNT, NULL,
			    name, "keys added: %u", keys->added);
		else if (is == NULL)
			report_add(report, REPORT_REMOVED, REPORT_ACCOUNT, NULL,
			    name, "keys withdrawn: %u", keys->withdrawn);
		else
			diff_account(was, is, keys, report);
	}
	g_ptr_array_unref(names);
	g_hash_table_destroy(counts);
}
