/** @file
 * One streamed answer at instance 0 of a cluster of two, to which a case brings a fault. */
#pragma once

#include "answer.h"
#include "cluster.h"
#include "lineage.h"
#include "prove.h"

#define GG_STREAM_PROOF_PROMPT "Summarise the loans of Gisenyi"
/** Number of tokens read before the fault. */
#define GG_STREAM_PROOF_BEFORE 10
#define GG_STREAM_PROOF_STEP_US 3000

typedef struct
{
  GgProof *proof;
  GgCluster *cluster;
  GgAnswer *answer;
  char *expected; /**< Text of an undisturbed run at instance 1. */
  uint32_t n_tokens;
} GgStreamProof;

/** Starts a cluster with relays, runs the answer undisturbed, starts it again at instance 0 and
 * reads the first tokens.
 * @return FALSE after a failure of the proof; end it all the same. */
gboolean gg_stream_proof_begin (GgStreamProof *self, GgProof *proof, uint32_t n_tokens);

/** Reads the rest and checks that the answer is whole and equals the undisturbed one. */
void gg_stream_proof_finish (GgStreamProof *self);

/** Checks the lineages of the answer, which must be @p min_lineages to @p max_lineages. */
void gg_stream_proof_check_layers (GgStreamProof *self, guint min_lineages, guint max_lineages);

/** Destroys the cluster; prints what its processes wrote if the proof failed. */
void gg_stream_proof_end (GgStreamProof *self);

/** Engine that serves the answer's range of layers (0 to 2). */
uint32_t gg_stream_proof_get_engine (GgStreamProof *self, uint32_t range);

/** Sends a signal to the engine or the relay that serves a range of layers. */
void gg_stream_proof_signal_engine (GgStreamProof *self, uint32_t range, int number);
void gg_stream_proof_signal_relay (GgStreamProof *self, uint32_t range, int number);

/** Sends fault controls to the engine that serves a range of layers. */
void gg_stream_proof_control_engine (GgStreamProof *self, uint32_t range, const char *json);

/** Waits until the engine answers a request for its load. */
void gg_stream_proof_wait_engine (GgStreamProof *self, uint32_t engine);
