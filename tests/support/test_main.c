#include "test_main.h"

int
gg_test_run (const char *suite_name, const GgTestCase *cases, size_t n)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite (suite_name, NULL, NULL);
  for (size_t i = 0; i < n; i++)
    CU_add_test (suite, cases[i].name, cases[i].func);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures () + CU_get_number_of_tests_failed ();
  CU_cleanup_registry ();
  return failures != 0;
}
