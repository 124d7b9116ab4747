/** @file
 * Server-sent events of an answer that is held here or at a peer. */
#pragma once

#include "daemons/entryd/caller_request.h"

/** Queues the events of @p stream after token @p last_event_id.
 * @param model name for the chunks. */
enum MHD_Result gg_stream_reply_local (GgCallerRequest *request,
                                       GgStream *stream,
                                       const char *model,
                                       uint32_t last_event_id);

/** As gg_stream_reply_local() for a stream at the entry process at @p peer_address. Queues a
 * problem if the peer doesn't know the stream or can't be reached. */
enum MHD_Result gg_stream_reply_remote (GgCallerRequest *request,
                                        const char *peer_address,
                                        const GgId *stream_id,
                                        uint32_t last_event_id);
