#include "adapters/rpc/control_client.h"

#include "adapters/rpc/rpc_client.h"

#include <string.h>

static CLIENT *
open_client (const char *address, GgRpcTransport transport, uint64_t timeout_ms)
{
  return gg_rpc_client_create (address, GG_CONTROL_PROGRAM, GG_CONTROL_V1, transport, timeout_ms);
}

static enum clnt_stat
call_text (GgControlText which, uint64_t argument, char **text_out, CLIENT *client)
{
  switch (which)
    {
    case GG_CONTROL_TEXT_CONFIG:
      return gg_control_config_fetch_1 (argument, text_out, client);
    case GG_CONTROL_TEXT_STATUS:
      return gg_control_status_1 (text_out, client);
    case GG_CONTROL_TEXT_DUMP:
      return gg_control_dump_1 (text_out, client);
    case GG_CONTROL_TEXT_ACCOUNT:
      return gg_control_account_1 (argument, text_out, client);
    case GG_CONTROL_TEXT_RECORDS:
      return gg_control_records_1 (text_out, client);
    }
  return RPC_FAILED;
}

gboolean
gg_control_client_fetch (const char *address,
                         GgControlText which,
                         uint64_t argument,
                         uint64_t timeout_ms,
                         char **text_out)
{
  CLIENT *client = open_client (address, GG_RPC_TCP, timeout_ms);
  if (client == NULL)
    return FALSE;
  char *text = NULL;
  gboolean is_ok = call_text (which, argument, &text, client) == RPC_SUCCESS;
  gg_rpc_client_destroy (client);
  *text_out = is_ok ? g_strdup (text) : NULL;
  xdr_free ((xdrproc_t) xdr_gg_rpc_text, (char *) &text);
  return is_ok;
}

gboolean
gg_control_client_drain (const char *address,
                         const char *id,
                         uint64_t incarnation,
                         uint64_t timeout_ms,
                         gboolean *known_out)
{
  CLIENT *client = open_client (address, GG_RPC_TCP, timeout_ms);
  if (client == NULL)
    return FALSE;
  gg_rpc_leaving leaving = { .id = (char *) id, .incarnation = incarnation };
  bool_t known = FALSE;
  gboolean is_ok = gg_control_drain_1 (leaving, &known, client) == RPC_SUCCESS;
  gg_rpc_client_destroy (client);
  *known_out = known;
  return is_ok;
}

gboolean
gg_control_client_copy_account (const char *address, const char *text, uint64_t timeout_ms)
{
  CLIENT *client = open_client (address, GG_RPC_TCP, timeout_ms);
  if (client == NULL)
    return FALSE;
  bool_t accepted = FALSE;
  gboolean is_ok = gg_control_account_copy_1 ((char *) text, &accepted, client) == RPC_SUCCESS;
  gg_rpc_client_destroy (client);
  return is_ok && accepted;
}

gboolean
gg_control_client_exchange (const char *address,
                            const gg_rpc_digest *digest,
                            uint64_t timeout_ms,
                            gg_rpc_digest *reply_out)
{
  memset (reply_out, 0, sizeof *reply_out);
  CLIENT *client = open_client (address, GG_RPC_UDP, timeout_ms);
  if (client == NULL)
    return FALSE;
  gboolean is_ok = gg_control_exchange_1 (*digest, reply_out, client) == RPC_SUCCESS;
  gg_rpc_client_destroy (client);
  if (!is_ok)
    gg_control_digest_free (reply_out);
  return is_ok;
}

void
gg_control_digest_free (gg_rpc_digest *digest)
{
  xdr_free ((xdrproc_t) xdr_gg_rpc_digest, (char *) digest);
  memset (digest, 0, sizeof *digest);
}

gboolean
gg_control_client_snapshot (const char *address,
                            gg_rpc_snapshot_query query,
                            uint64_t timeout_ms,
                            gg_rpc_snapshot *snapshot_out)
{
  memset (snapshot_out, 0, sizeof *snapshot_out);
  CLIENT *client = open_client (address, GG_RPC_TCP, timeout_ms);
  if (client == NULL)
    return FALSE;
  gboolean is_ok = gg_control_snapshot_1 (query, snapshot_out, client) == RPC_SUCCESS;
  gg_rpc_client_destroy (client);
  if (!is_ok)
    gg_control_snapshot_free (snapshot_out);
  return is_ok;
}

void
gg_control_snapshot_free (gg_rpc_snapshot *snapshot)
{
  xdr_free ((xdrproc_t) xdr_gg_rpc_snapshot, (char *) snapshot);
  memset (snapshot, 0, sizeof *snapshot);
}
