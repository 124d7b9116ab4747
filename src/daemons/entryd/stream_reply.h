/** @file
 * Replies with the server-sent events of a stream in this process or at a peer. */
#pragma once

#include "daemons/entryd/caller_request.h"

/** Queues a reply with the events of @p stream after token @p last_event_id.
 * @param model model name in the chunks. */
enum MHD_Result gg_stream_reply_local (GgCallerRequest *request,
                                       GgStream *stream,
                                       const char *model,
                                       uint32_t last_event_id);

/** As gg_stream_reply_local(), for a stream in the entry process at @p peer_address. Queues a
 * problem if the stream does not exist there or the peer can't be reached. */
enum MHD_Result gg_stream_reply_remote (GgCallerRequest *request,
                                        const char *peer_address,
                                        const GgId *stream_id,
                                        uint32_t last_event_id);
