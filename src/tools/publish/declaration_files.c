#include "tools/publish/declaration_files.h"

#include <string.h>

static gboolean
read_file (const char *path, const char *name, GHashTable *files, GError **error)
{
  char *text = NULL;
  gsize size_bytes = 0;
  if (!g_file_get_contents (path, &text, &size_bytes, error))
    return FALSE;
  if (strlen (text) == size_bytes && g_utf8_validate (name, -1, NULL))
    {
      g_hash_table_insert (files, g_strdup (name), text);
      return TRUE;
    }
  g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
               "%s: expected a name in UTF-8 and a text without zero bytes", path);
  g_free (text);
  return FALSE;
}

static gboolean
read_folder (const char *folder, const char *prefix, GHashTable *files, GError **error)
{
  GDir *dir = g_dir_open (folder, 0, error);
  if (dir == NULL)
    return FALSE;
  gboolean valid = TRUE;
  const char *entry;
  while (valid && (entry = g_dir_read_name (dir)) != NULL)
    {
      if (*entry == '.')
        continue;
      char *path = g_build_filename (folder, entry, NULL);
      char *name = g_strconcat (prefix, "/", entry, NULL);
      /* A symbolic link could lead back to a parent folder. */
      if (g_file_test (path, G_FILE_TEST_IS_DIR))
        valid
            = g_file_test (path, G_FILE_TEST_IS_SYMLINK) || read_folder (path, name, files, error);
      else if (g_str_has_suffix (entry, ".ini"))
        valid = read_file (path, name, files, error);
      g_free (name);
      g_free (path);
    }
  g_dir_close (dir);
  return valid;
}

GHashTable *
declaration_files_read (const char *folder, const char *prefix, GError **error)
{
  GHashTable *files = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gboolean valid = read_folder (folder, prefix, files, error);
  /* Publishing no files would remove all files of the prefix; the path is probably wrong. */
  if (valid && g_hash_table_size (files) == 0)
    {
      g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_NOENT, "%s: expected at least one *.ini file",
                   folder);
      valid = FALSE;
    }
  if (valid)
    return files;
  g_hash_table_unref (files);
  return NULL;
}
