/** @file
 * Responses that the router generates itself: problem details (RFC 9457). */
#pragma once

#include "loop/server.h"
#include "ports/relay_wire.h"

/** Answers the open request.
 * @param detail a short name of the reason, the same as in the log.
 * @param retry_after_ms time after which the same request is likely to succeed; 0 to omit the
 * field. Sent as seconds with a fraction. */
void gg_problem_reply (GgServerConnection *connection,
                       uint32_t status,
                       const char *detail,
                       uint64_t retry_after_ms);

/** As gg_problem_reply(), to a request that was handed over to this instance. */
void gg_problem_reply_handover (GgServerConnection *connection,
                                uint32_t status,
                                const char *detail,
                                uint64_t retry_after_ms,
                                GgHandoverOutcome outcome);

/** Answers bytes that the server rejected: 400, 408, 413 or 431. */
void gg_problem_reply_rejected (GgServerConnection *connection, uint32_t status);
