/** @file
 * Golden files: the text of a whole session, with ids, addresses and times replaced by stable
 * names, is compared byte for byte with tests/golden/NAME.txt. */
#pragma once

#include "prove.h"

typedef struct _GgGolden GgGolden;

/** Takes "--write" out of the arguments; with it gg_golden_finish() writes the files.
 * gg_prove_main() calls it. */
void gg_golden_parse_args (int *argc, char **argv);

GgGolden *gg_golden_create (const char *name);

/** Makes later text show @p name wherever it has @p value, such as an address or an id. */
void gg_golden_set_name (GgGolden *self, const char *value, const char *name);

/** Appends text. Values with a name are replaced by it; other ids of 32 hexadecimal digits become
 * <id-1>, <id-2>, ... and other loopback addresses <address-1>, ... in the order in which they
 * appear; numbers of ten digits and more, HTTP dates and values of members "..._ms" become <time>.
 */
void gg_golden_append (GgGolden *self, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Compares the text with the file, or writes the file, and frees @p self. A difference fails
 * @p proof and is printed to standard error with the first lines that differ. */
void gg_golden_finish (GgGolden *self, GgProof *proof);
