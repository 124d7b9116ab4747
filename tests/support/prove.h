/** @file
 * Fault-injection tests at process level: one case per promise (guarantee) and injected fault.
 *
 * A program lists its cases and calls gg_prove_main(). Each case prints
 * "PROMISE FAULT verdict recovery_ms"; the arguments PROMISE and FAULT select cases, and --write
 * updates the golden files instead of comparing them. */
#pragma once

#include <glib.h>
#include <stdint.h>

/** Result of a running case. */
typedef struct
{
  int64_t recovery_ms; /**< Set by the case; -1 if no recovery is measured. */
  gboolean failed;
  const char *fault; /**< Name of the case's fault. */
  char *reason;      /**< First failure. */
} GgProof;

/** Marks the case as failed; the reason of the first failure is printed. */
void gg_proof_fail (GgProof *self, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/** Marks the case as failed if @p condition is FALSE; the case continues.
 * @return @p condition. */
#define gg_proof_check(self, condition)                                                            \
  ((condition) ? TRUE : (gg_proof_fail ((self), "%s: %s", G_STRLOC, #condition), FALSE))

typedef struct
{
  const char *promise; /**< layers-once, own-answer, not-run, at-most-once, leaving,
                        * crashes-contained,
                        * streams-kept, served, graceful-stop or config. */
  const char *fault;   /**< Name of the fault or pair of faults, with dashes. */
  void (*run) (GgProof *proof);
} GgProofCase;

/** Runs the selected cases as one CUnit suite and prints "N passed, N failed" last.
 * @return the exit status. */
int gg_prove_main (const char *suite, const GgProofCase *cases, size_t n, int argc, char **argv);
