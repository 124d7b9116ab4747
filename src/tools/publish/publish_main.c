#include "base/clock.h"
#include "base/settings.h"
#include "core/config.h"
#include "core/publish.h"
#include "tools/publish/declaration_files.h"
#include "greengage/id.h"
#include "greengage/version.h"
#include "ports/kv.h"

#include <stdio.h>
#include <string.h>

#define CONFIG_KEY "greengage/config"
#define DEFAULT_TIMEOUT_S 30
#define MAX_TIMEOUT_S 3600
/* Time limit of one call; it is shorter than --timeout, so that a call without an answer can be
 * repeated or its effect read back. */
#define CALL_TIMEOUT_MS 5000

typedef enum
{
  EXIT_PUBLISHED = 0,
  EXIT_NOT_PUBLISHED = 1, /* conflict or platform failure */
  EXIT_INVALID = 2,       /* usage or files */
} ExitStatus;

typedef struct
{
  char *kv;
  char *prefix;
  char *base;
  char **folders;
  gint timeout_s;
  gboolean is_check_only;
  gboolean is_version;
  uint64_t base_generation;
  char **addresses; /* parsed from kv */
} Options;

static gboolean
fail_option (const char *option, const char *value, const char *expected)
{
  fprintf (stderr, "greengage-publish: %s = '%s': expected %s; see --help\n", option,
           value != NULL ? value : "", expected);
  return FALSE;
}

static gboolean
parse_addresses (Options *options)
{
  gboolean valid = options->kv != NULL;
  options->addresses = g_strsplit (valid ? options->kv : "", ";", -1);
  for (char **address = options->addresses; valid && *address != NULL; address++)
    {
      char *host = NULL;
      uint16_t port;
      valid = gg_address_parse (*address, &host, &port);
      g_free (host);
    }
  return valid && *options->addresses != NULL;
}

static gboolean
check_options (Options *options)
{
  if (!parse_addresses (options))
    return fail_option ("--kv", options->kv, "addresses of the form IP:PORT separated by ';'");
  if (options->prefix == NULL || !gg_config_name_is_valid (options->prefix))
    return fail_option ("--prefix", options->prefix,
                        "at most 64 letters, digits, '.', '_' and '-', the first a letter or "
                        "digit");
  if (options->base != NULL
      && !g_ascii_string_to_unsigned (options->base, 10, 0, G_MAXINT64, &options->base_generation,
                                      NULL))
    return fail_option ("--base", options->base, "a generation number");
  if (options->timeout_s < 1 || options->timeout_s > MAX_TIMEOUT_S)
    {
      char value[16];
      g_snprintf (value, sizeof value, "%d", options->timeout_s);
      return fail_option ("--timeout", value, "a whole number from 1 to 3600 seconds");
    }
  if (options->folders == NULL || g_strv_length (options->folders) != 1)
    return fail_option ("DIR", options->folders != NULL ? options->folders[0] : NULL,
                        "one directory");
  return TRUE;
}

static gboolean
parse_options (Options *options, int argc, char **argv)
{
  GOptionEntry entries[] = {
    { "kv", 0, 0, G_OPTION_ARG_STRING, &options->kv, "Key-value service", "IP:PORT[;IP:PORT]" },
    { "prefix", 0, 0, G_OPTION_ARG_STRING, &options->prefix,
      "Publisher's name; all its files are replaced", "NAME" },
    { "base", 0, 0, G_OPTION_ARG_STRING, &options->base,
      "Fail if one of the files changed after this generation", "GENERATION" },
    { "timeout", 0, 0, G_OPTION_ARG_INT, &options->timeout_s, "Time limit (30)", "SECONDS" },
    { "check", 0, 0, G_OPTION_ARG_NONE, &options->is_check_only, "Only check the files", NULL },
    { "check-settings", 0, 0, G_OPTION_ARG_NONE, &options->is_check_only, "As --check", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, &options->is_version, "Print the version", NULL },
    { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &options->folders, NULL, "DIR" },
    { 0 },
  };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_set_summary (context, "Checks the *.ini files below DIR and publishes them.");
  g_option_context_set_description (context, "Exit status: 0 success, 1 conflict or platform "
                                             "failure, 2 usage or invalid files.\n");
  g_option_context_add_main_entries (context, entries, NULL);
  gboolean valid = g_option_context_parse (context, &argc, &argv, &error);
  if (!valid)
    fprintf (stderr, "greengage-publish: %s; see --help\n", error->message);
  g_clear_error (&error);
  g_option_context_free (context);
  return valid;
}

static GgPublishReadResult
translate_read (GgKvResult result)
{
  switch (result)
    {
    case GG_KV_OK:
      return GG_PUBLISH_READ_OK;
    case GG_KV_ABSENT:
      return GG_PUBLISH_READ_ABSENT;
    case GG_KV_CONFLICT:
    case GG_KV_UNREACHABLE:
    case GG_KV_IN_DOUBT:
      return GG_PUBLISH_READ_FAILED;
    }
  g_assert_not_reached ();
}

static GgPublishWriteResult
translate_write (GgKvResult result)
{
  switch (result)
    {
    case GG_KV_OK:
      return GG_PUBLISH_WRITE_OK;
    case GG_KV_ABSENT:
    case GG_KV_CONFLICT:
      return GG_PUBLISH_WRITE_CONFLICT;
    case GG_KV_UNREACHABLE:
      return GG_PUBLISH_WRITE_FAILED;
    case GG_KV_IN_DOUBT:
      return GG_PUBLISH_WRITE_IN_DOUBT;
    }
  g_assert_not_reached ();
}

static int
report_failure (const GError *error)
{
  fprintf (stderr, "greengage-publish: %s\n", error->message);
  return error->code == GG_PUBLISH_ERROR_INVALID ? EXIT_INVALID : EXIT_NOT_PUBLISHED;
}

static int
report_done (const GgPublishEffect *effect)
{
  guint64 generation = effect->u.done.generation;
  switch (effect->u.done.outcome)
    {
    case GG_PUBLISH_PUBLISHED:
      printf ("published generation %" G_GUINT64_FORMAT "\n", generation);
      return EXIT_PUBLISHED;
    case GG_PUBLISH_UNCHANGED:
      printf ("no file changed\npublished generation %" G_GUINT64_FORMAT "\n", generation);
      return EXIT_PUBLISHED;
    case GG_PUBLISH_CHECKED:
      printf ("checked against generation %" G_GUINT64_FORMAT "\n", generation);
      return EXIT_PUBLISHED;
    }
  g_assert_not_reached ();
}

/* Performs effects until the publish has ended; returns the exit status. */
static int
run (GgPublish *publish, GgKv *kv, uint64_t deadline_ms)
{
  GgPublishEvent event = { .type = GG_PUBLISH_EVENT_START };
  GgPublishEffect effect;
  GgKvValue value = { 0 };
  for (;;)
    {
      gg_publish_apply (publish, &event, gg_clock_now_ms (), &effect);
      gg_kv_value_clear (&value);
      memset (&value, 0, sizeof value);
      memset (&event, 0, sizeof event);
      uint64_t call_deadline_ms = MIN (gg_clock_now_ms () + CALL_TIMEOUT_MS, deadline_ms);
      switch (effect.type)
        {
        case GG_PUBLISH_EFFECT_READ:
          event.type = GG_PUBLISH_EVENT_READ;
          event.u.read.result
              = translate_read (gg_kv_get (kv, CONFIG_KEY, call_deadline_ms, &value));
          event.u.read.text = value.text;
          event.u.read.version = value.version;
          break;
        case GG_PUBLISH_EFFECT_WRITE:
          event.type = GG_PUBLISH_EVENT_WRITTEN;
          event.u.written.result = translate_write (gg_kv_put_if_version (
              kv, CONFIG_KEY, effect.u.write.text, effect.u.write.version, call_deadline_ms));
          break;
        case GG_PUBLISH_EFFECT_WAIT:
          event.type = GG_PUBLISH_EVENT_WAITED;
          g_usleep ((gulong) effect.u.wait.wait_ms * 1000);
          break;
        case GG_PUBLISH_EFFECT_DONE:
          return report_done (&effect);
        case GG_PUBLISH_EFFECT_FAIL:
          return report_failure (effect.u.fail.error);
        }
    }
}

static int
publish_files (const Options *options, GHashTable *files)
{
  GgId id;
  char id_text[GG_ID_TEXT_LENGTH + 1];
  gg_id_generate (&id);
  gg_id_format (&id, id_text);
  GgPublishParams params
      = { .prefix = options->prefix,
          .publish_id = id_text,
          .files = files,
          .has_base = options->base != NULL,
          .base_generation = options->base_generation,
          .is_check_only = options->is_check_only,
          .deadline_ms = gg_clock_now_ms () + (uint64_t) options->timeout_s * 1000,
          .seed = g_random_int () };
  GgPublish *publish = gg_publish_create (&params);
  GgKv *kv = gg_kv_create ((const char *const *) options->addresses);
  int status = run (publish, kv, params.deadline_ms);
  gg_kv_destroy (kv);
  gg_publish_destroy (publish);
  return status;
}

int
main (int argc, char **argv)
{
  Options options = { .timeout_s = DEFAULT_TIMEOUT_S };
  GHashTable *files = NULL;
  GError *error = NULL;
  int status = EXIT_INVALID;
  if (!parse_options (&options, argc, argv))
    goto out;
  if (options.is_version)
    {
      printf ("greengage-publish %s\n", GG_VERSION);
      status = EXIT_PUBLISHED;
      goto out;
    }
  if (!check_options (&options))
    goto out;
  files = declaration_files_read (options.folders[0], options.prefix, &error);
  if (files != NULL)
    status = publish_files (&options, files);
  else
    fprintf (stderr, "greengage-publish: %s\n", error->message);

out:
  g_clear_error (&error);
  g_clear_pointer (&files, g_hash_table_unref);
  g_strfreev (options.addresses);
  g_strfreev (options.folders);
  g_free (options.base);
  g_free (options.prefix);
  g_free (options.kv);
  return status;
}
