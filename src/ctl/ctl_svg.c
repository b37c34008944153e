/*
 * Renders the burn report as SVG: for each objective a bar of the remaining
 * error budget, and below it the tenants that used the most of it.
 */
#include <string.h>

#include "base/memory.h"
#include "ctl/ctl_burn.h"
#include "ctl/ctl_json.h"

enum {
	WIDTH_PX = 900,
	BAR_X_PX = 300,
	BAR_WIDTH_PX = 420,
	ROW_HEIGHT_PX = 22,
	BAR_HEIGHT_PX = 14,
	MARGIN_PX = 20,
	TEXT_BASELINE_PX = 12,
	TOP_TENANTS_MAX = 5
};

/* An objective of a service, with the events of all tenants added up. */
struct objective {
	struct str service;
	struct str name;
	uint64_t permyriad; /* required success ratio in 1/10000 */
	uint64_t good;
	uint64_t bad;
};

/* Bad events of a tenant in the window of an objective. */
struct tenant_errors {
	struct str tenant;
	uint64_t bad;
};

struct chart {
	struct json_object *rows; /* of the burn report */
	struct str_buf *out;
	unsigned y; /* px, top of the current row */
};

/* Appends text with XML's reserved characters replaced by entities. */
static void
append_xml_escaped(struct str text, struct str_buf *out)
{
	for (size_t i = 0; i < text.len; i++) {
		switch (text.data[i]) {
		case '<':
			str_buf_append_c(out, "&lt;");
			break;
		case '>':
			str_buf_append_c(out, "&gt;");
			break;
		case '&':
			str_buf_append_c(out, "&amp;");
			break;
		case '"':
			str_buf_append_c(out, "&quot;");
			break;
		default:
			str_buf_append(out, str_of(&text.data[i], 1));
			break;
		}
	}
}

/* Draws a text at x px in the current row. */
static void
draw_text(struct chart *chart, unsigned x, const char *class, struct str text)
{
	str_buf_printf(chart->out, "<text x=\"%u\" y=\"%u\" class=\"%s\">", x,
	    chart->y + TEXT_BASELINE_PX, class);
	append_xml_escaped(text, chart->out);
	str_buf_append_c(chart->out, "</text>\n");
}

/* Draws a bar in the current row; share is clamped to 0 to 1. */
static void
draw_bar(struct chart *chart, unsigned x, double share, const char *colour)
{
	if (share < 0)
		share = 0;
	if (share > 1)
		share = 1;
	str_buf_printf(chart->out,
	    "<rect x=\"%u\" y=\"%u\" width=\"%.1f\" height=\"%d\" "
	    "fill=\"%s\"/>\n",
	    x, chart->y, share * BAR_WIDTH_PX, BAR_HEIGHT_PX, colour);
}

/* Returns whether a row of the report is of the objective. */
static bool
is_same_objective(struct json_object *row, const struct objective *objective)
{
	return str_equal(
		   ctl_json_get_string(row, "service"), objective->service) &&
	    str_equal(ctl_json_get_string(row, "objective"), objective->name);
}

/* Adds up the events of all tenants for the objective of a row. */
static struct objective
sum_objective(const struct chart *chart, struct json_object *row)
{
	struct objective sum = {
	    .service = ctl_json_get_string(row, "service"),
	    .name = ctl_json_get_string(row, "objective"),
	    .permyriad = ctl_json_get_u64(row, "success_permyriad"),
	};

	for (size_t i = 0; i < json_object_array_length(chart->rows); i++) {
		struct json_object *other =
		    json_object_array_get_idx(chart->rows, i);
		struct json_object *window =
		    json_object_object_get(other, "window");

		if (!is_same_objective(other, &sum))
			continue;
		sum.good += ctl_json_get_u64(window, "good");
		sum.bad += ctl_json_get_u64(window, "bad");
	}
	return sum;
}

/*
 * Returns the share of the window's error budget that bad events have used;
 * more than 1 if it is exceeded, 0 if there is no budget.
 */
static double
budget_used(const struct objective *objective, uint64_t bad)
{
	double total = (double)(objective->good + objective->bad);
	double allowed =
	    total * (10000.0 - (double)objective->permyriad) / 10000.0;

	return allowed > 0 ? (double)bad / allowed : 0;
}

/*
 * Fills top with the tenants that have the most bad events, in descending
 * order; returns their number.  Tenants without bad events are omitted.
 */
static unsigned
find_top_tenants(const struct chart *chart, const struct objective *objective,
    struct tenant_errors top[TOP_TENANTS_MAX])
{
	unsigned count = 0;

	for (size_t i = 0; i < json_object_array_length(chart->rows); i++) {
		struct json_object *row =
		    json_object_array_get_idx(chart->rows, i);
		struct tenant_errors next = {
		    .tenant = ctl_json_get_string(row, "tenant"),
		    .bad = ctl_json_get_u64(
			json_object_object_get(row, "window"), "bad"),
		};
		unsigned position = count;

		if (!is_same_objective(row, objective) || next.bad == 0)
			continue;
		while (position > 0 && top[position - 1].bad < next.bad)
			position--;
		if (position == TOP_TENANTS_MAX)
			continue;
		if (count < TOP_TENANTS_MAX)
			count++;
		memmove(&top[position + 1], &top[position],
		    (count - position - 1) * sizeof(*top));
		top[position] = next;
	}
	return count;
}

/* Draws a row for each top tenant with the share of the budget it used. */
static void
draw_top_tenants(struct chart *chart, const struct objective *objective)
{
	struct tenant_errors top[TOP_TENANTS_MAX];
	unsigned count = find_top_tenants(chart, objective, top);

	for (unsigned i = 0; i < count; i++) {
		struct str_buf label = {0};

		draw_text(
		    chart, MARGIN_PX + MARGIN_PX, "tenant", top[i].tenant);
		draw_bar(chart, BAR_X_PX, budget_used(objective, top[i].bad),
		    "#b0532f");
		str_buf_printf(
		    &label, "%llu bad", (unsigned long long)top[i].bad);
		draw_text(chart, BAR_X_PX + BAR_WIDTH_PX + MARGIN_PX, "tenant",
		    str_buf_view(&label));
		str_buf_free(&label);
		chart->y += ROW_HEIGHT_PX;
	}
}

/* Draws the row of an objective, then those of its top tenants. */
static void
draw_objective(struct chart *chart, const struct objective *objective)
{
	double budget_left = 1 - budget_used(objective, objective->bad);
	const char *colour = budget_left < 0.1 ? "#b3261e"
	    : budget_left < 0.5                ? "#c98a1b"
					       : "#3a7d44";
	struct str_buf label = {0};

	str_buf_printf(&label, "%.*s: %.*s", STR_ARG(objective->service),
	    STR_ARG(objective->name));
	draw_text(chart, MARGIN_PX, "objective", str_buf_view(&label));
	draw_bar(chart, BAR_X_PX, 1, "#dddddd");
	draw_bar(chart, BAR_X_PX, budget_left, colour);
	str_buf_clear(&label);
	str_buf_printf(&label, "%.1f%% left", 100 * budget_left);
	draw_text(chart, BAR_X_PX + BAR_WIDTH_PX + MARGIN_PX, "objective",
	    str_buf_view(&label));
	str_buf_free(&label);
	chart->y += ROW_HEIGHT_PX;
	draw_top_tenants(chart, objective);
	chart->y += ROW_HEIGHT_PX / 2;
}

/* Returns whether no earlier row is of the same objective. */
static bool
is_first_of_objective(const struct chart *chart, size_t index)
{
	struct json_object *row = json_object_array_get_idx(chart->rows, index);
	struct objective objective = {
	    .service = ctl_json_get_string(row, "service"),
	    .name = ctl_json_get_string(row, "objective"),
	};

	for (size_t i = 0; i < index; i++) {
		if (is_same_objective(
			json_object_array_get_idx(chart->rows, i), &objective))
			return false;
	}
	return true;
}

/*
 * Appends the burn report as a complete SVG file.
 */
void
ctl_burn_svg(struct json_object *report, struct str_buf *out)
{
	struct str_buf body = {0};
	struct chart chart = {
	    .rows = ctl_json_get_array(report, "burn"),
	    .out = &body,
	    .y = MARGIN_PX,
	};

	draw_text(&chart, MARGIN_PX, "title",
	    STR_LITERAL("Remaining error budget and the tenants with the most "
			"bad events"));
	chart.y += 2 * ROW_HEIGHT_PX;
	for (size_t i = 0;
	     chart.rows != NULL && i < json_object_array_length(chart.rows);
	     i++) {
		struct objective objective;

		if (!is_first_of_objective(&chart, i))
			continue;
		objective = sum_objective(
		    &chart, json_object_array_get_idx(chart.rows, i));
		draw_objective(&chart, &objective);
	}
	str_buf_printf(out,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
	    "height=\"%u\">\n"
	    "<style>text{font-family:sans-serif;font-size:12px;fill:#222}"
	    ".title{font-size:15px;font-weight:bold}"
	    ".tenant{fill:#555}</style>\n"
	    "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
	    WIDTH_PX, chart.y + MARGIN_PX);
	str_buf_append(out, str_buf_view(&body));
	str_buf_append_c(out, "</svg>\n");
	str_buf_free(&body);
}
