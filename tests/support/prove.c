#include "prove.h"

#include "golden.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

static const GgProofCase *all_cases;
static size_t n_cases;

void
gg_proof_fail (GgProof *self, const char *format, ...)
{
  self->failed = TRUE;
  if (self->reason != NULL)
    return;
  va_list args;
  va_start (args, format);
  self->reason = g_strdup_vprintf (format, args);
  va_end (args);
}

static char *
make_name (const GgProofCase *proof_case)
{
  return g_strdup_printf ("%s %s", proof_case->promise, proof_case->fault);
}

static const GgProofCase *
find_case (const char *name)
{
  for (size_t i = 0; i < n_cases; i++)
    {
      char *candidate = make_name (&all_cases[i]);
      gboolean found = strcmp (candidate, name) == 0;
      g_free (candidate);
      if (found)
        return &all_cases[i];
    }
  g_assert_not_reached ();
}

static void
run_current (void)
{
  const GgProofCase *proof_case = find_case (CU_get_current_test ()->pName);
  GgProof proof = { .recovery_ms = -1, .fault = proof_case->fault };
  proof_case->run (&proof);
  printf ("%s %s %s ", proof_case->promise, proof_case->fault, proof.failed ? "FAILED" : "proved");
  if (proof.recovery_ms >= 0)
    printf ("%" G_GINT64_FORMAT "\n", (gint64) proof.recovery_ms);
  else
    printf ("-\n");
  if (proof.failed)
    printf ("  %s\n", proof.reason);
  fflush (stdout);
  CU_ASSERT_FALSE (proof.failed);
  g_free (proof.reason);
}

static gboolean
is_selected (const GgProofCase *proof_case, int argc, char **argv)
{
  if (argc > 1 && strcmp (argv[1], proof_case->promise) != 0)
    return FALSE;
  return argc <= 2 || strcmp (argv[2], proof_case->fault) == 0;
}

int
gg_prove_main (const char *suite_name, const GgProofCase *cases, size_t n, int argc, char **argv)
{
  gg_golden_parse_args (&argc, argv);
  all_cases = cases;
  n_cases = n;
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite (suite_name, NULL, NULL);
  for (size_t i = 0; i < n; i++)
    {
      /* CUnit copies the name. */
      char *name = make_name (&cases[i]);
      if (is_selected (&cases[i], argc, argv))
        CU_add_test (suite, name, run_current);
      g_free (name);
    }
  CU_basic_set_mode (CU_BRM_SILENT);
  CU_basic_run_tests ();
  unsigned int failed = CU_get_number_of_tests_failed ();
  unsigned int passed = CU_get_number_of_tests_run () - failed;
  CU_cleanup_registry ();
  printf ("%u passed, %u failed\n", passed, failed);
  return failed != 0;
}
