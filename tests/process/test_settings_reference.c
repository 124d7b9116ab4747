/* Compares the settings reference with the output of --describe-settings. Fails if a setting was
 * added or changed without an update of the page. */
#include "process.h"
#include "test_main.h"

#include <string.h>

#define TIMEOUT_MS 5000

static void
check_program (const char *program)
{
  const char *args[] = { "--describe-settings", NULL };
  char *described = NULL;
  char *page = NULL;
  char *path = g_build_filename (g_getenv ("GG_SOURCE"), "docs", "operators", "settings.md", NULL);
  CU_ASSERT_EQUAL_FATAL (gg_process_run (program, args, TIMEOUT_MS, &described), 0);
  CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &page, NULL, NULL));
  char *expected = g_strdup_printf ("## %s\n\n%s", program, described);
  CU_ASSERT_TRUE (strlen (described) > 500);
  CU_ASSERT_PTR_NOT_NULL (strstr (page, expected));
  g_free (expected);
  g_free (path);
  g_free (page);
  g_free (described);
}

static void
test_entry (void)
{
  check_program ("greengage-entryd");
}

static void
test_control (void)
{
  check_program ("greengage-controld");
}

static void
test_router (void)
{
  check_program ("greengage-routerd");
}

int
main (void)
{
  static const GgTestCase cases[] = {
    { "entry process", test_entry },
    { "control process", test_control },
    { "router on the platform", test_router },
  };
  return gg_test_run ("settings reference", cases, G_N_ELEMENTS (cases));
}
