/* Guards docs/operators/log.md and counters.md: an event, a field or a counter that is added to or
 * removed from the router without an update of the page would mislead readers of logs after a
 * failure. */
#include "test_main.h"

#include <glib.h>
#include <string.h>

static const char *const folders[] = { "src/daemons/routerd", "src/loop", "platform" };

static char *
read_file (const char *name)
{
  char *path = g_build_filename (g_getenv ("GG_SOURCE"), name, NULL);
  char *text = NULL;
  CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &text, NULL, NULL));
  g_free (path);
  return text;
}

/* Adds every match of the first group to @p set. */
static void
add_matches (const char *pattern, const char *text, GHashTable *set)
{
  GRegex *regex = g_regex_new (pattern, 0, 0, NULL);
  GMatchInfo *match = NULL;
  for (g_regex_match (regex, text, 0, &match); g_match_info_matches (match);
       g_match_info_next (match, NULL))
    g_hash_table_add (set, g_match_info_fetch (match, 1));
  g_match_info_free (match);
  g_regex_unref (regex);
}

/* Adds "EVENT" and "EVENT FIELD" for one call: literals before the first one with "=" are names of
 * events, the others contain fields. */
static void
add_call (const char *call, GHashTable *set)
{
  GPtrArray *events = g_ptr_array_new_with_free_func (g_free);
  GHashTable *fields = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GRegex *literal = g_regex_new ("\"((?:[^\"\\\\]|\\\\.)*)\"", 0, 0, NULL);
  GMatchInfo *match = NULL;
  gboolean in_format = FALSE;
  for (g_regex_match (literal, call, 0, &match); g_match_info_matches (match);
       g_match_info_next (match, NULL))
    {
      char *text = g_match_info_fetch (match, 1);
      in_format |= strchr (text, '=') != NULL;
      if (in_format)
        add_matches ("(?:^|\\s)([a-z_]+)=", text, fields);
      else
        g_ptr_array_add (events, g_strdup (text));
      g_free (text);
    }
  for (guint i = 0; i < events->len; i++)
    {
      GHashTableIter iter;
      void *field;
      g_hash_table_add (set, g_strdup (g_ptr_array_index (events, i)));
      g_hash_table_iter_init (&iter, fields);
      while (g_hash_table_iter_next (&iter, &field, NULL))
        g_hash_table_add (
            set, g_strdup_printf ("%s %s", (char *) g_ptr_array_index (events, i), (char *) field));
    }
  g_match_info_free (match);
  g_regex_unref (literal);
  g_hash_table_unref (fields);
  g_ptr_array_unref (events);
}

static void
add_source (const char *text, GHashTable *set)
{
  GRegex *regex = g_regex_new ("gg_event_log_add \\((.*?)\\);", G_REGEX_DOTALL, 0, NULL);
  GMatchInfo *match = NULL;
  for (g_regex_match (regex, text, 0, &match); g_match_info_matches (match);
       g_match_info_next (match, NULL))
    {
      char *call = g_match_info_fetch (match, 1);
      add_call (call, set);
      g_free (call);
    }
  g_match_info_free (match);
  g_regex_unref (regex);
}

static char *
read_sources (void)
{
  GString *all = g_string_new (NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (folders); i++)
    {
      char *folder = g_build_filename (g_getenv ("GG_SOURCE"), folders[i], NULL);
      GDir *dir = g_dir_open (folder, 0, NULL);
      CU_ASSERT_PTR_NOT_NULL_FATAL (dir);
      const char *name = NULL;
      while ((name = g_dir_read_name (dir)))
        {
          char *path = g_build_filename (folders[i], name, NULL);
          char *text = g_str_has_suffix (name, ".c") ? read_file (path) : g_strdup ("");
          g_string_append (all, text);
          g_free (text);
          g_free (path);
        }
      g_dir_close (dir);
      g_free (folder);
    }
  return g_string_free (all, FALSE);
}

/* Reads the rows of the page: names of events are in the first column, fields in the second. */
static void
add_page (const char *page, GHashTable *set)
{
  char **lines = g_strsplit (page, "\n", 0);
  for (guint i = 0; lines[i]; i++)
    {
      char **columns = g_strsplit (lines[i], "|", 4);
      if (g_strv_length (columns) == 4 && strchr (columns[1], '`') != NULL)
        {
          GString *call = g_string_new (columns[1]);
          g_string_append (call, columns[2]);
          GHashTable *events = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
          GHashTable *fields = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
          add_matches ("`([a-z_]+)`", columns[1], events);
          add_matches ("`([a-z_]+)`", columns[2], fields);
          GHashTableIter e;
          void *event;
          g_hash_table_iter_init (&e, events);
          while (g_hash_table_iter_next (&e, &event, NULL))
            {
              GHashTableIter f;
              void *field;
              g_hash_table_add (set, g_strdup (event));
              g_hash_table_iter_init (&f, fields);
              while (g_hash_table_iter_next (&f, &field, NULL))
                g_hash_table_add (set, g_strdup_printf ("%s %s", (char *) event, (char *) field));
            }
          g_hash_table_unref (events);
          g_hash_table_unref (fields);
          g_string_free (call, TRUE);
        }
      g_strfreev (columns);
    }
  g_strfreev (lines);
}

static void
expect_all (GHashTable *set, GHashTable *other, const char *what)
{
  GHashTableIter iter;
  void *name;
  g_hash_table_iter_init (&iter, set);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (other, name))
      {
        g_printerr ("%s: %s\n", what, (char *) name);
        CU_FAIL ("page and program differ");
      }
}

static GHashTable *
create_set (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
test_log_lines (void)
{
  GHashTable *in_program = create_set ();
  GHashTable *in_page = create_set ();
  char *sources = read_sources ();
  char *page = read_file ("docs/operators/log.md");
  add_source (sources, in_program);
  add_page (page, in_page);
  CU_ASSERT_TRUE (g_hash_table_contains (in_program, "request_ended outcome"));
  expect_all (in_program, in_page, "not in docs/operators/log.md");
  expect_all (in_page, in_program, "only in docs/operators/log.md");
  g_free (sources);
  g_free (page);
  g_hash_table_unref (in_program);
  g_hash_table_unref (in_page);
}

static void
test_counters (void)
{
  GHashTable *in_program = create_set ();
  GHashTable *in_page = create_set ();
  char *sources = read_sources ();
  char *page = read_file ("docs/operators/counters.md");
  add_matches ("\"(greengage_[a-z_]+)\"", sources, in_program);
  add_matches ("(greengage_router_[a-z_]+)", page, in_page);
  CU_ASSERT_TRUE (g_hash_table_size (in_program) > 0);
  expect_all (in_program, in_page, "not in docs/operators/counters.md");
  expect_all (in_page, in_program, "only in docs/operators/counters.md");
  g_free (sources);
  g_free (page);
  g_hash_table_unref (in_program);
  g_hash_table_unref (in_page);
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "log lines", test_log_lines },
    { "counters", test_counters },
  };
  return gg_test_run ("log reference", cases, G_N_ELEMENTS (cases));
}
