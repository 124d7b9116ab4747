/** @file
 * Client of the control program. Each call opens its own transport and closes it on return. */
#pragma once

#include "control.h"

#include <glib.h>
#include <stdint.h>

/** Procedures that return text. */
typedef enum
{
  GG_CONTROL_TEXT_CONFIG, /**< Argument: known generation; empty if there is no newer one. */
  GG_CONTROL_TEXT_STATUS,
  GG_CONTROL_TEXT_DUMP,
  GG_CONTROL_TEXT_ACCOUNT, /**< Argument: oldest time, in milliseconds since the Unix epoch. */
  GG_CONTROL_TEXT_RECORDS,
} GgControlText;

/** @param address "IP:PORT".
 * @param text_out owned by the caller.
 * @return FALSE if the peer did not answer within @p timeout_ms. */
gboolean gg_control_client_fetch (const char *address,
                                  GgControlText which,
                                  uint64_t argument,
                                  uint64_t timeout_ms,
                                  char **text_out);

/** Marks @p id as leaving.
 * @param incarnation 0 for the current one.
 * @param known_out FALSE if the instance is unknown to the peer.
 * @return FALSE if the peer did not answer within @p timeout_ms. */
gboolean gg_control_client_drain (const char *address,
                                  const char *id,
                                  uint64_t incarnation,
                                  uint64_t timeout_ms,
                                  gboolean *known_out);

/** Sends account entries, in the form of gg_account_format(), to another control process.
 * @return FALSE if it did not answer within @p timeout_ms or rejected the entries. */
gboolean
gg_control_client_copy_account (const char *address, const char *text, uint64_t timeout_ms);

/** Exchanges digests over UDP.
 * @param reply_out freed by the caller with gg_control_digest_free().
 * @return FALSE if the peer did not answer within @p timeout_ms. */
gboolean gg_control_client_exchange (const char *address,
                                     const gg_rpc_digest *digest,
                                     uint64_t timeout_ms,
                                     gg_rpc_digest *reply_out);
void gg_control_digest_free (gg_rpc_digest *digest);

/** @param snapshot_out freed by the caller with gg_control_snapshot_free().
 * @return FALSE if the peer did not answer within @p timeout_ms. */
gboolean gg_control_client_snapshot (const char *address,
                                     gg_rpc_snapshot_query query,
                                     uint64_t timeout_ms,
                                     gg_rpc_snapshot *snapshot_out);
void gg_control_snapshot_free (gg_rpc_snapshot *snapshot);
