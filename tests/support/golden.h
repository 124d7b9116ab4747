/** @file
 * Golden files: the text of a session, with ids, addresses and times replaced by stable names, is
 * compared byte for byte with tests/golden/NAME.txt. */
#pragma once

#include "prove.h"

typedef struct _GgGolden GgGolden;

/** Removes "--write" from the arguments; if present, gg_golden_finish() writes the files.
 * Called by gg_prove_main(). */
void gg_golden_parse_args (int *argc, char **argv);

GgGolden *gg_golden_create (const char *name);

/** Replaces @p value, such as an address or an id, by @p name in text appended later. */
void gg_golden_set_name (GgGolden *self, const char *value, const char *name);

/** Appends text. Named values are replaced by their names; other ids of 32 hexadecimal digits
 * become <id-1>, <id-2>, ... and other loopback addresses <address-1>, ... in order of appearance;
 * numbers of 10 to 19 digits, HTTP dates and values of members "..._ms" become <time>. */
void gg_golden_append (GgGolden *self, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Compares the text with the file, or writes the file, and frees @p self. A difference fails
 * @p proof and is printed to standard error with the first lines that differ. */
void gg_golden_finish (GgGolden *self, GgProof *proof);
