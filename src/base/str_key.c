#include "base/str_key.h"

/*
 * GHashFunc for keys of type struct str *.
 */
guint
str_key_hash(gconstpointer key)
{
	return (guint)str_hash(*(const struct str *)key);
}

/*
 * GEqualFunc for keys of type struct str *.
 */
gboolean
str_key_equal(gconstpointer a, gconstpointer b)
{
	return str_equal(*(const struct str *)a, *(const struct str *)b);
}
