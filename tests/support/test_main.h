/** @file
 * Shared main program of the CUnit tests. */
#pragma once

#include <CUnit/Basic.h>

typedef struct
{
  const char *name;
  CU_TestFunc func;
} GgTestCase;

/** Runs @p n cases as one suite.
 * @return the exit status of the program. */
int gg_test_run (const char *suite, const GgTestCase *cases, size_t n);
