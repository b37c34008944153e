#include <math.h>
#include <stdio.h>

#include "load/load_report.h"

enum {
	WIDTH = 900, /* lengths in SVG user units */
	HEIGHT = 480,
	LEFT = 70,
	BOTTOM = 430,
	PLOT_WIDTH = 800,
	PLOT_HEIGHT = 380,
	POINTS = 160,
	NINES = 4 /* the axis runs to 99.99 % */
};

static const char *const colours[] = {
    "#1b6ca8", "#c0392b", "#27823b", "#8e44ad", "#b9770e", "#34495e"};

/*
 * Returns the x position of a quantile given as a number of nines: 2 is 99 %.
 */
static double
x_position(double nines)
{
	return LEFT + PLOT_WIDTH * nines / NINES;
}

/*
 * Returns the y position of a latency on a logarithmic scale that ends at
 * max_ms.
 */
static double
y_position(uint64_t us, double max_ms)
{
	double ms = (double)us / 1000;

	return BOTTOM - PLOT_HEIGHT * log10(1 + ms) / log10(1 + max_ms);
}

/*
 * Draws the quantiles of a histogram as a curve and its name as legend line
 * index; draws nothing for an empty histogram.
 */
static void
draw_curve(FILE *out, const struct histogram *histogram, double max_ms,
    const char *name, unsigned index)
{
	const char *colour =
	    colours[index % (sizeof(colours) / sizeof(colours[0]))];

	if (histogram->count == 0)
		return;
	fprintf(out, "<polyline fill=\"none\" stroke=\"%s\" points=\"", colour);
	for (unsigned i = 0; i <= POINTS; i++) {
		double nines = (double)NINES * i / POINTS;
		uint64_t us =
		    histogram_quantile(histogram, 1 - pow(10, -nines));

		fprintf(out, "%.1f,%.1f ", x_position(nines),
		    y_position(us, max_ms));
	}
	fprintf(out, "\"/>\n<text x=\"%d\" y=\"%u\" fill=\"%s\">%s</text>\n",
	    LEFT + 20, 70 + index * 16, colour, name);
}

/*
 * Draws a labelled grid line at each number of nines and at each power of ten
 * milliseconds from 0.1 up to max_ms.
 */
static void
draw_axes(FILE *out, double max_ms)
{
	static const char *const labels[] = {
	    "0 %", "90 %", "99 %", "99.9 %", "99.99 %"};

	for (unsigned i = 0; i <= NINES; i++)
		fprintf(out,
		    "<line x1=\"%.0f\" y1=\"50\" x2=\"%.0f\" y2=\"%d\" "
		    "stroke=\"#ddd\"/><text x=\"%.0f\" y=\"%d\">%s</text>\n",
		    x_position(i), x_position(i), BOTTOM, x_position(i) - 16,
		    BOTTOM + 18, labels[i]);
	for (uint64_t us = 100; us <= max_ms * 1000; us *= 10) {
		double ms = (double)us / 1000;
		double y = y_position(us, max_ms);

		fprintf(out,
		    "<line x1=\"%d\" y1=\"%.0f\" x2=\"%d\" y2=\"%.0f\" "
		    "stroke=\"#ddd\"/><text x=\"8\" y=\"%.0f\">%g ms</text>\n",
		    LEFT, y, LEFT + PLOT_WIDTH, y, y + 4, ms);
	}
}

/*
 * Writes an SVG plot of latency over the share of calls, with a curve for each
 * route.  Returns STATUS_IO when the file cannot be written.
 */
enum status
load_report_write_svg(const struct load_report *report, const char *path)
{
	FILE *out = fopen(path, "w");
	double max_ms =
	    (double)histogram_quantile(&report->total.latency, 1.0) / 1000 + 1;

	if (out == NULL)
		return status_set_errno(STATUS_IO, path);
	fprintf(out,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" "
	    "font-family=\"sans-serif\" font-size=\"12\">\n"
	    "<text x=\"%d\" y=\"30\">Latency from the intended start, by share "
	    "of calls</text>\n",
	    WIDTH, HEIGHT, LEFT);
	draw_axes(out, max_ms);
	for (unsigned i = 0; i < report->mix->count; i++)
		draw_curve(out, &report->routes[i].latency, max_ms,
		    report->mix->routes[i].name, i);
	fprintf(out, "</svg>\n");
	if (fclose(out) != 0)
		return status_set_errno(STATUS_IO, path);
	return STATUS_OK;
}
