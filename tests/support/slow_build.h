/** @file
 * Builds with sanitizers run several times slower. Faults that are to hit a running answer come too
 * late there unless the answer lasts as much longer; no bound of a check depends on this. */
#pragma once

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define GG_SLOW_BUILD_FACTOR 3
#else
#define GG_SLOW_BUILD_FACTOR 1
#endif
