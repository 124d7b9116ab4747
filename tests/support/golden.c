#include "golden.h"

#include <stdio.h>
#include <string.h>

#define ID_PATTERN "\\b[0-9a-f]{32}\\b"
#define ADDRESS_PATTERN "\\b127\\.0\\.0\\.1:[0-9]+\\b"
#define DATE_PATTERN "[A-Z][a-z]{2}, [0-9]{2} [A-Z][a-z]{2} [0-9]{4} [0-9:]{8} GMT"
#define LONG_NUMBER_PATTERN "\\b[0-9]{10,19}\\b"
#define DURATION_PATTERN "(?<=_ms\":)[0-9]+"

struct _GgGolden
{
  char *name;
  GString *text;
  GHashTable *names; /* value to name */
  GRegex *values;
  unsigned n_ids;
  unsigned n_addresses;
};

static gboolean write_files;

void
gg_golden_parse_args (int *argc, char **argv)
{
  int kept = 0;
  for (int i = 0; i < *argc; i++)
    if (strcmp (argv[i], "--write") == 0)
      write_files = TRUE;
    else
      argv[kept++] = argv[i];
  *argc = kept;
}

GgGolden *
gg_golden_create (const char *name)
{
  GgGolden *self = g_new0 (GgGolden, 1);
  self->name = g_strdup (name);
  self->text = g_string_new (NULL);
  self->names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->values = g_regex_new ("(?<id>" ID_PATTERN ")|(?<address>" ADDRESS_PATTERN ")|" DATE_PATTERN
                              "|" LONG_NUMBER_PATTERN "|" DURATION_PATTERN,
                              G_REGEX_OPTIMIZE, 0, NULL);
  g_assert (self->values);
  return self;
}

void
gg_golden_set_name (GgGolden *self, const char *value, const char *name)
{
  g_hash_table_replace (self->names, g_strdup (value), g_strdup (name));
}

static gboolean
is_group_set (const GMatchInfo *match, const char *group)
{
  char *text = g_match_info_fetch_named (match, group);
  gboolean is_set = text && *text;
  g_free (text);
  return is_set;
}

/* Returns a name for an unnamed value: ids and addresses are numbered, all others are times. */
static char *
make_name (GgGolden *self, const GMatchInfo *match)
{
  if (is_group_set (match, "id"))
    return g_strdup_printf ("<id-%u>", ++self->n_ids);
  if (is_group_set (match, "address"))
    return g_strdup_printf ("<address-%u>", ++self->n_addresses);
  return g_strdup ("<time>");
}

static gboolean
replace_value (const GMatchInfo *match, GString *result, gpointer data)
{
  GgGolden *self = data;
  char *value = g_match_info_fetch (match, 0);
  if (!g_hash_table_contains (self->names, value))
    {
      char *name = make_name (self, match);
      gg_golden_set_name (self, value, name);
      g_free (name);
    }
  g_string_append (result, g_hash_table_lookup (self->names, value));
  g_free (value);
  return FALSE;
}

void
gg_golden_append (GgGolden *self, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  char *normal = g_regex_replace_eval (self->values, text, -1, 0, 0, replace_value, self, NULL);
  g_assert (normal);
  g_string_append (self->text, normal);
  g_free (normal);
  g_free (text);
}

static void
print_difference (const char *path, const char *expected, const char *actual)
{
  char **left = g_strsplit (expected, "\n", -1);
  char **right = g_strsplit (actual, "\n", -1);
  size_t i = 0;
  while (left[i] && right[i] && strcmp (left[i], right[i]) == 0)
    i++;
  fprintf (stderr, "%s:%zu: expected: %s\n%s:%zu: actual:   %s\n", path, i + 1,
           left[i] ? left[i] : "(end)", path, i + 1, right[i] ? right[i] : "(end)");
  g_strfreev (left);
  g_strfreev (right);
}

static void
compare (const char *path, const char *actual, GgProof *proof)
{
  char *expected = NULL;
  if (!g_file_get_contents (path, &expected, NULL, NULL))
    gg_proof_fail (proof, "%s is missing; create it with --write", path);
  else if (strcmp (expected, actual) != 0)
    {
      print_difference (path, expected, actual);
      gg_proof_fail (proof, "the session differs from %s", path);
    }
  g_free (expected);
}

void
gg_golden_finish (GgGolden *self, GgProof *proof)
{
  const char *source = g_getenv ("GG_SOURCE");
  char *file = g_strconcat (self->name, ".txt", NULL);
  char *path = g_build_filename (source ? source : ".", "tests", "golden", file, NULL);
  if (!write_files)
    compare (path, self->text->str, proof);
  else if (!g_file_set_contents (path, self->text->str, -1, NULL))
    gg_proof_fail (proof, "can't write %s", path);
  g_regex_unref (self->values);
  g_hash_table_unref (self->names);
  g_string_free (self->text, TRUE);
  g_free (self->name);
  g_free (path);
  g_free (file);
  g_free (self);
}
