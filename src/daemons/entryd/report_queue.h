/** @file
 * Queue of reports that the control process has not acknowledged yet. Thread-safe. */
#pragma once

#include "control.h"

#include <glib.h>

typedef struct _GgReportQueue GgReportQueue;

/** Creates an empty queue.
 * @param sender name of this instance. */
GgReportQueue *gg_report_queue_create (const char *sender);
void gg_report_queue_destroy (GgReportQueue *self);

void gg_report_queue_add_leaving (GgReportQueue *self, const char *id, uint64_t incarnation);
void gg_report_queue_add_event (GgReportQueue *self,
                                const char *kind,
                                const char *subject,
                                const char *detail,
                                gboolean needs_person);

/** Returns whether any report has not been acknowledged. */
gboolean gg_report_queue_has_pending (GgReportQueue *self);

/** Fills @p report_out with a batch of the oldest reports; an unacknowledged batch is returned
 * again with the same sequence number. The queue owns the strings, which are valid until
 * gg_report_queue_acknowledge(); the caller frees the arrays with g_free(). */
void gg_report_queue_fill (GgReportQueue *self, gg_rpc_report *report_out);

/** Ends the last gg_report_queue_fill().
 * @param delivered TRUE removes the batch from the queue, FALSE keeps it for the next attempt. */
void gg_report_queue_acknowledge (GgReportQueue *self, gboolean delivered);
