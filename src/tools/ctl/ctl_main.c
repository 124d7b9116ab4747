#include "adapters/rpc/control_client.h"

#include "adapters/rpc/rpc_client.h"
#include "base/clock.h"
#include "base/json.h"
#include "base/settings.h"
#include "entry.h"
#include "greengage/version.h"
#include "tools/ctl/ctl_check.h"
#include "tools/ctl/ctl_explain.h"
#include "tools/ctl/ctl_text.h"
#include "tools/ctl/ctl_time.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_USAGE 2
#define TIMEOUT_MS 5000
#define PROGRAM "greengagectl"

typedef struct
{
  char *control;
  char *entry;
  char *since;
  char *against;
  gboolean json;
  gboolean show_version;
  char **arguments;
} Options;

typedef struct
{
  const char *name;
  int n_arguments;      /* without the command; a minimum if has_more is TRUE */
  const char *expected; /* description of the arguments, for errors */
  gboolean has_more;
  gboolean needs_control;
  int (*run) (const Options *options);
} Command;

static const char commands_help[]
    = "Commands:\n"
      "  status            Instances, runners per service, configuration, platform and load\n"
      "  dump              Complete state of the control process, as JSON\n"
      "  config            The configuration in force\n"
      "  drain INSTANCE    Send an instance or runner no new work; with --entry, also drain the\n"
      "                    entry process at that address\n"
      "  account           Past events, and those that an operator must settle; see --since\n"
      "  explain REQUEST FILE...\n"
      "                    Timeline and outcome of a request, from the logs of the routers\n"
      "                    (- is standard input); needs no --control\n"
      "  check-config FILE Faults of a configuration of the platform, and with --against the\n"
      "                    differences; needs no --control. Exit status: 0 valid, 1 faults found,\n"
      "                    2 a file can't be read\n"
      "  records           Non-idempotent calls whose outcome is open or unknown\n"
      "\n"
      "Exit status: 0 success, 1 failure, 2 usage error.\n";

static int
fail_unreachable (const char *what, const char *address)
{
  fprintf (stderr,
           PROGRAM ": the %s at %s does not answer within %d ms; check the address ([listen] rpc "
                   "in its settings) and that the process runs, or ask another instance\n",
           what, address, TIMEOUT_MS);
  return EXIT_FAILURE;
}

static JsonNode *
parse_reply (const char *text)
{
  JsonNode *root = gg_json_check (text, strlen (text), NULL) ? json_from_string (text, NULL) : NULL;
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      fprintf (stderr, PROGRAM ": the reply is not a JSON object; the versions may differ\n");
      g_clear_pointer (&root, json_node_unref);
    }
  return root;
}

static JsonNode *
fetch_control (const Options *options, GgControlText which, uint64_t argument, int *status_out)
{
  char *text = NULL;
  *status_out = EXIT_FAILURE;
  if (!gg_control_client_fetch (options->control, which, argument, TIMEOUT_MS, &text))
    {
      fail_unreachable ("control process", options->control);
      return NULL;
    }
  if (which == GG_CONTROL_TEXT_CONFIG && *text == '\0')
    {
      fprintf (stderr,
               PROGRAM ": %s has no configuration yet; publish one with "
                       "greengage-publish\n",
               options->control);
      g_free (text);
      return NULL;
    }
  JsonNode *root = parse_reply (text);
  g_free (text);
  *status_out = root != NULL ? EXIT_SUCCESS : EXIT_FAILURE;
  return root;
}

typedef enum clnt_stat (*EntryCall) (gg_entry_text *text_out, CLIENT *client);

static JsonNode *
fetch_entry (const Options *options, EntryCall call)
{
  CLIENT *client = gg_rpc_client_create (options->entry, GG_ENTRY_PROGRAM, GG_ENTRY_V1, GG_RPC_TCP,
                                         TIMEOUT_MS);
  char *text = NULL;
  gboolean done = client != NULL && call (&text, client) == RPC_SUCCESS;
  gg_rpc_client_destroy (client);
  JsonNode *root = NULL;
  if (done)
    root = parse_reply (text);
  else
    fail_unreachable ("entry process", options->entry);
  xdr_free ((xdrproc_t) xdr_gg_entry_text, (char *) &text);
  return root;
}

static JsonNode *
join_nodes (JsonNode *control, JsonNode *entry)
{
  JsonObject *object = json_object_new ();
  json_object_set_member (object, "control", json_node_copy (control));
  json_object_set_member (object, "entry", json_node_copy (entry));
  JsonNode *joined = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (joined, object);
  return joined;
}

typedef void (*TextFunc) (JsonObject *object, GString *out);

static void
print_reply (const Options *options, JsonNode *control, JsonNode *entry, TextFunc to_text)
{
  GString *out = g_string_new (NULL);
  if (options->json || to_text == NULL)
    {
      JsonNode *shown = entry != NULL ? join_nodes (control, entry) : json_node_copy (control);
      gg_ctl_text_json (shown, out);
      json_node_unref (shown);
    }
  else
    {
      to_text (json_node_get_object (control), out);
      if (entry != NULL)
        {
          g_string_append_printf (out, "\nEntry process at %s\n", options->entry);
          gg_ctl_text_json (entry, out);
        }
    }
  fputs (out->str, stdout);
  g_string_free (out, TRUE);
}

static int
show (const Options *options,
      GgControlText which,
      uint64_t argument,
      EntryCall entry_call,
      TextFunc to_text)
{
  int status;
  JsonNode *entry = NULL;
  JsonNode *control = fetch_control (options, which, argument, &status);
  if (control == NULL)
    return status;
  if (options->entry != NULL && entry_call != NULL)
    {
      entry = fetch_entry (options, entry_call);
      status = entry != NULL ? EXIT_SUCCESS : EXIT_FAILURE;
    }
  print_reply (options, control, entry, to_text);
  json_node_unref (control);
  g_clear_pointer (&entry, json_node_unref);
  return status;
}

static int
run_status (const Options *options)
{
  return show (options, GG_CONTROL_TEXT_STATUS, 0, gg_entry_status_1, gg_ctl_text_status);
}

static int
run_dump (const Options *options)
{
  return show (options, GG_CONTROL_TEXT_DUMP, 0, gg_entry_dump_1, NULL);
}

static int
run_config (const Options *options)
{
  return show (options, GG_CONTROL_TEXT_CONFIG, 0, NULL, gg_ctl_text_config);
}

static int
run_records (const Options *options)
{
  return show (options, GG_CONTROL_TEXT_RECORDS, 0, NULL, gg_ctl_text_records);
}

static int
run_account (const Options *options)
{
  uint64_t since_ms = 0;
  if (options->since != NULL && !gg_ctl_time_parse (options->since, gg_clock_wall_ms (), &since_ms))
    {
      fprintf (stderr,
               PROGRAM ": --since '%s': expected a time such as 2026-01-31T18:00:00Z or an age "
                       "such as 90s, 30m, 12h or 7d\n",
               options->since);
      return EXIT_USAGE;
    }
  return show (options, GG_CONTROL_TEXT_ACCOUNT, since_ms, NULL, gg_ctl_text_account);
}

static int
drain_entry (const Options *options)
{
  bool_t accepted = FALSE;
  CLIENT *client = gg_rpc_client_create (options->entry, GG_ENTRY_PROGRAM, GG_ENTRY_V1, GG_RPC_TCP,
                                         TIMEOUT_MS);
  gboolean done = client != NULL && gg_entry_drain_1 (&accepted, client) == RPC_SUCCESS;
  gg_rpc_client_destroy (client);
  return done ? EXIT_SUCCESS : fail_unreachable ("entry process", options->entry);
}

static int
run_drain (const Options *options)
{
  const char *id = options->arguments[1];
  gboolean known = FALSE;
  if (!gg_control_client_drain (options->control, id, 0, TIMEOUT_MS, &known))
    return fail_unreachable ("control process", options->control);
  if (!known)
    {
      fprintf (stderr, PROGRAM ": no instance or runner '%s' is known; 'dump' lists them\n", id);
      return EXIT_FAILURE;
    }
  int status = options->entry != NULL ? drain_entry (options) : EXIT_SUCCESS;
  if (options->json)
    printf ("{\"instance\":\"%s\",\"leaving\":true}\n", id);
  else
    printf ("%s is marked as leaving and gets no new work\n", id);
  return status;
}

static int
run_explain (const Options *options)
{
  GString *text = g_string_new (NULL);
  GError *error = NULL;
  const char *const *files = (const char *const *) options->arguments + 2;
  gboolean is_done = gg_ctl_explain (options->arguments[1], files, options->json, text, &error);
  if (is_done)
    fputs (text->str, stdout);
  else
    fprintf (stderr, PROGRAM ": %s\n", error->message);
  g_clear_error (&error);
  g_string_free (text, TRUE);
  return is_done ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
run_check_config (const Options *options)
{
  GString *text = g_string_new (NULL);
  GError *error = NULL;
  GgCtlCheckResult result
      = gg_ctl_check (options->arguments[1], options->against, options->json, text, &error);
  fputs (text->str, stdout);
  if (error != NULL)
    fprintf (stderr, PROGRAM ": %s\n", error->message);
  g_clear_error (&error);
  g_string_free (text, TRUE);
  switch (result)
    {
    case GG_CTL_CHECK_VALID:
      return EXIT_SUCCESS;
    case GG_CTL_CHECK_FINDINGS:
      return EXIT_FAILURE;
    case GG_CTL_CHECK_UNREADABLE:
    default:
      return EXIT_USAGE;
    }
}

static const Command commands[] = {
  { "status", 0, "no arguments", FALSE, TRUE, run_status },
  { "dump", 0, "no arguments", FALSE, TRUE, run_dump },
  { "config", 0, "no arguments", FALSE, TRUE, run_config },
  { "drain", 1, "one instance or runner", FALSE, TRUE, run_drain },
  { "account", 0, "no arguments", FALSE, TRUE, run_account },
  { "records", 0, "no arguments", FALSE, TRUE, run_records },
  { "explain", 2, "a request and log files", TRUE, FALSE, run_explain },
  { "check-config", 1, "one file", FALSE, FALSE, run_check_config },
};

static gboolean
parse_options (int *argc, char ***argv, Options *options)
{
  const GOptionEntry entries[] = {
    { "control", 0, 0, G_OPTION_ARG_STRING, &options->control, "Address of a control process",
      "IP:PORT" },
    { "entry", 0, 0, G_OPTION_ARG_STRING, &options->entry,
      "RPC address of an entry process, for status, dump and drain", "IP:PORT" },
    { "since", 0, 0, G_OPTION_ARG_STRING, &options->since,
      "Only account entries since TIME (2026-01-31T18:00:00Z, or an age such as 12h)", "TIME" },
    { "against", 0, 0, G_OPTION_ARG_FILENAME, &options->against,
      "Configuration to compare with, for check-config", "FILE" },
    { "json", 0, 0, G_OPTION_ARG_NONE, &options->json, "Print JSON for programs", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, &options->show_version, "Print the version and exit",
      NULL },
    { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->arguments, NULL, "COMMAND" },
    { 0 }
  };
  GError *error = NULL;
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_set_description (context, commands_help);
  g_option_context_add_main_entries (context, entries, NULL);
  gboolean valid = g_option_context_parse (context, argc, argv, &error);
  g_option_context_free (context);
  if (!valid)
    {
      fprintf (stderr, PROGRAM ": %s; see --help\n", error->message);
      g_error_free (error);
    }
  return valid;
}

static gboolean
check_address (const char *option, const char *address)
{
  char *host = NULL;
  uint16_t port;
  gboolean valid = gg_address_parse (address, &host, &port);
  g_free (host);
  if (!valid)
    fprintf (stderr, PROGRAM ": --%s '%s': expected IP:PORT\n", option, address);
  return valid;
}

/* Returns NULL after printing an error message. */
static const Command *
find_command (const Options *options)
{
  const char *name = options->arguments != NULL ? options->arguments[0] : NULL;
  if (name == NULL)
    {
      fprintf (stderr, PROGRAM ": no command given; see --help\n");
      return NULL;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      if (strcmp (name, commands[i].name) != 0)
        continue;
      int n = (int) g_strv_length (options->arguments) - 1;
      if (n == commands[i].n_arguments || (n > commands[i].n_arguments && commands[i].has_more))
        return &commands[i];
      fprintf (stderr, PROGRAM ": '%s' takes %s; see --help\n", name, commands[i].expected);
      return NULL;
    }
  fprintf (stderr, PROGRAM ": unknown command '%s'; see --help\n", name);
  return NULL;
}

static int
run_command (const Options *options)
{
  const Command *command = find_command (options);
  if (command == NULL)
    return EXIT_USAGE;
  if (!command->needs_control)
    return command->run (options);
  if (options->control == NULL)
    {
      fprintf (stderr, PROGRAM ": --control IP:PORT is required; see --help\n");
      return EXIT_USAGE;
    }
  if (!check_address ("control", options->control)
      || (options->entry != NULL && !check_address ("entry", options->entry)))
    return EXIT_USAGE;
  return command->run (options);
}

int
main (int argc, char **argv)
{
  Options options = { 0 };
  int status = EXIT_USAGE;
  if (!parse_options (&argc, &argv, &options))
    return status;
  if (options.show_version)
    {
      printf (PROGRAM " %s\n", GG_VERSION);
      status = EXIT_SUCCESS;
    }
  else
    status = run_command (&options);
  g_free (options.control);
  g_free (options.entry);
  g_free (options.since);
  g_free (options.against);
  g_strfreev (options.arguments);
  return status;
}
