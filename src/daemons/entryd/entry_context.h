/** @file
 * State of the entry process that its request handlers share. */
#pragma once

#include "core/admission.h"
#include "core/retry_budget.h"
#include "core/route.h"
#include "daemons/entryd/snapshot_client.h"
#include "daemons/entryd/stream_registry.h"
#include "ports/kv.h"
#include "ports/service.h"
#include "ports/stage.h"

#include <stdatomic.h>

typedef struct _GgLedgerStore GgLedgerStore;

/** Created by main() and valid as long as any handler runs. */
typedef struct
{
  const char *instance;
  uint32_t instance_hash;

  GgSnapshotClient *snapshots;
  GgHttpPool *pool;
  GgStageClient *stages;
  GgServiceClient *services;
  GgLedgerStore *ledger;
  GgAdmission *admission;
  GgRetryBudget *retries;
  GgStreamRegistry *streams;

  /* Settings, see entry_settings.c. */
  GgRoutePolicy policy;
  size_t max_body_bytes;
  size_t retained_bytes;
  uint32_t max_tokens;
  uint64_t grace_ms;
  uint64_t request_deadline_ms; /**< Maximum duration of a request, from its start. */
  uint64_t max_wait_ms;
  uint64_t owner_lost_ms;

  atomic_bool draining;
  atomic_bool accepting;    /**< FALSE once the listening socket is closed. */
  _Atomic int32_t requests; /**< Requests of callers in progress. */
  _Atomic int32_t answers;  /**< Answers being generated. */
  _Atomic int32_t settling; /**< Records being settled in the background. */
} GgEntry;

/** Applies a GgRunnerEvent to the runner's health and reports a resulting change of its state. */
void gg_entry_apply_runner_event (GgEntry *entry, GgRunner *runner, int event);

/** Returns 64 random bits. Thread-safe. */
uint64_t gg_entry_random (void);
