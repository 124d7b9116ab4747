#include "control_view.h"

#include "entry.h"
#include "adapters/rpc/rpc_client.h"

#include <string.h>

#define CALL_TIMEOUT_MS 1000
#define CTL_TIMEOUT_MS 10000

static uint64_t
find_generation (const char *text)
{
  static const char member[] = "\"generation\":";
  const char *at = text ? strstr (text, member) : NULL;
  return at ? g_ascii_strtoull (at + strlen (member), NULL, 10) : 0;
}

uint64_t
gg_view_control_generation (const GgTrial *trial, uint32_t instance)
{
  char *text = NULL;
  if (!gg_control_client_fetch (trial->cluster->instances[instance].control_rpc,
                                GG_CONTROL_TEXT_STATUS, 0, CALL_TIMEOUT_MS, &text))
    return 0;
  uint64_t generation = find_generation (text);
  g_free (text);
  return generation;
}

/* Returns the status of an entry process, owned by the caller, or NULL if it does not answer. */
static char *
fetch_entry_status (const GgTrial *trial, uint32_t instance)
{
  CLIENT *client
      = gg_rpc_client_create (trial->cluster->instances[instance].entry_rpc, GG_ENTRY_PROGRAM,
                              GG_ENTRY_V1, GG_RPC_TCP, CALL_TIMEOUT_MS);
  if (!client)
    return NULL;
  char *text = NULL;
  char *copy = gg_entry_status_1 (&text, client) == RPC_SUCCESS ? g_strdup (text) : NULL;
  clnt_freeres (client, (xdrproc_t) xdr_gg_entry_text, (caddr_t) &text);
  gg_rpc_client_destroy (client);
  return copy;
}

uint64_t
gg_view_entry_generation (const GgTrial *trial, uint32_t instance)
{
  char *text = fetch_entry_status (trial, instance);
  uint64_t generation = find_generation (text);
  g_free (text);
  return generation;
}

static gboolean
is_settled (void *data)
{
  const GgTrial *trial = data;
  gboolean settled = TRUE;
  for (uint32_t i = 0; i < trial->cluster->n_instances && settled; i++)
    {
      char *text = fetch_entry_status (trial, i);
      settled = text && strstr (text, "\"settling\":0");
      g_free (text);
    }
  return settled;
}

void
gg_view_expect_settled (GgTrial *trial)
{
  gg_trial_expect_until (trial, is_settled, trial, GG_TRIAL_WAIT_MS, "no record is being settled");
}

gboolean
gg_view_matches (const GgTrial *trial, uint32_t instance, GgControlText which, const char *pattern)
{
  char *text = NULL;
  if (!gg_control_client_fetch (trial->cluster->instances[instance].control_rpc, which, 0,
                                CALL_TIMEOUT_MS, &text))
    return FALSE;
  gboolean matches = g_regex_match_simple (pattern, text, 0, 0);
  g_free (text);
  return matches;
}

typedef struct
{
  const GgTrial *trial;
  uint32_t instance;
  GgControlText which;
  const char *pattern;
} Expectation;

static gboolean
is_met (void *data)
{
  const Expectation *expected = data;
  return gg_view_matches (expected->trial, expected->instance, expected->which, expected->pattern);
}

void
gg_view_expect (GgTrial *trial,
                uint32_t instance,
                GgControlText which,
                const char *pattern,
                uint64_t timeout_ms)
{
  Expectation expected = { trial, instance, which, pattern };
  char *what = g_strdup_printf ("the control process of instance %u shows %s", instance, pattern);
  gg_trial_expect_until (trial, is_met, &expected, timeout_ms, what);
  g_free (what);
}

int
gg_view_run_ctl (const GgTrial *trial,
                 uint32_t instance,
                 const char *const *args,
                 char **output_out)
{
  const char *all[8] = { "--control", trial->cluster->instances[instance].control_rpc };
  size_t n = 2;
  for (size_t i = 0; args[i] && n < G_N_ELEMENTS (all) - 1; i++)
    all[n++] = args[i];
  return gg_process_run ("greengagectl", all, CTL_TIMEOUT_MS, output_out);
}
