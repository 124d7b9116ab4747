/** @file
 * Reports of the entry process that the control process has not acknowledged. Thread-safe. */
#pragma once

#include "control.h"

#include <glib.h>

typedef struct _GgReportQueue GgReportQueue;

/** @param sender name of this instance. */
GgReportQueue *gg_report_queue_create (const char *sender);
void gg_report_queue_destroy (GgReportQueue *self);

void gg_report_queue_add_leaving (GgReportQueue *self, const char *id, uint64_t incarnation);
void gg_report_queue_add_event (GgReportQueue *self,
                                const char *kind,
                                const char *subject,
                                const char *detail,
                                gboolean needs_person);

/** Returns whether something waits to be sent. */
gboolean gg_report_queue_has_news (GgReportQueue *self);

/** Fills @p report_out with up to a batch of the oldest reports; the strings belong to the
 * queue until the matching gg_report_queue_acknowledge() or the next fill. */
void gg_report_queue_fill (GgReportQueue *self, gg_rpc_report *report_out);

/** Ends the last fill.
 * @param delivered FALSE keeps the reports for the next try. */
void gg_report_queue_acknowledge (GgReportQueue *self, gboolean delivered);
