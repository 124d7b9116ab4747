/** @file
 * Orderings that ThreadSanitizer can't see, because they are made inside libraries that are not
 * instrumented (liburcu, GLib's thread pool). Empty in other builds. */
#pragma once

#ifdef __SANITIZE_THREAD__
void __tsan_acquire (void *address);
void __tsan_release (void *address);
#define GG_TSAN_ACQUIRE(address) __tsan_acquire (address)
#define GG_TSAN_RELEASE(address) __tsan_release (address)
#else
#define GG_TSAN_ACQUIRE(address) ((void) (address))
#define GG_TSAN_RELEASE(address) ((void) (address))
#endif
