/** @file
 * Calls of the control program; each connects, calls and closes within a bound. */
#pragma once

#include "control.h"

#include <glib.h>
#include <stdint.h>

/** Procedures that return a text. */
typedef enum
{
  GG_CONTROL_TEXT_CONFIG, /**< Argument: known generation; empty if there is no newer one. */
  GG_CONTROL_TEXT_STATUS,
  GG_CONTROL_TEXT_DUMP,
  GG_CONTROL_TEXT_ACCOUNT, /**< Argument: wall clock in milliseconds of the oldest entry. */
  GG_CONTROL_TEXT_RECORDS,
} GgControlText;

/** @return FALSE if "IP:PORT" did not answer within @p timeout_ms; @p text_out is owned by the
 * caller. */
gboolean gg_control_client_fetch (const char *address,
                                  GgControlText which,
                                  uint64_t argument,
                                  uint64_t timeout_ms,
                                  char **text_out);

/** Marks @p id as leaving; an @p incarnation of 0 stands for the current one.
 * @param known_out FALSE if the peer knows no such instance. */
gboolean gg_control_client_drain (const char *address,
                                  const char *id,
                                  uint64_t incarnation,
                                  uint64_t timeout_ms,
                                  gboolean *known_out);

gboolean
gg_control_client_copy_account (const char *address, const char *text, uint64_t timeout_ms);

/** Swaps digests over UDP. @p reply_out is to be freed by gg_control_digest_free(). */
gboolean gg_control_client_exchange (const char *address,
                                     const gg_rpc_digest *digest,
                                     uint64_t timeout_ms,
                                     gg_rpc_digest *reply_out);
void gg_control_digest_free (gg_rpc_digest *digest);

/** @p snapshot_out is to be freed by gg_control_snapshot_free(). */
gboolean gg_control_client_snapshot (const char *address,
                                     gg_rpc_snapshot_query query,
                                     uint64_t timeout_ms,
                                     gg_rpc_snapshot *snapshot_out);
void gg_control_snapshot_free (gg_rpc_snapshot *snapshot);
