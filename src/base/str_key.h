/*
 * Functions for GLib hash tables with keys of type struct str *.
 */
#ifndef BASE_STR_KEY_H
#define BASE_STR_KEY_H

#include <glib.h>

#include "base/str.h"

guint str_key_hash(gconstpointer key);
gboolean str_key_equal(gconstpointer a, gconstpointer b);

#endif
