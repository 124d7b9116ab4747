/** @file
 * Happens-before annotations for ThreadSanitizer, for synchronization inside libraries that are not
 * instrumented (liburcu, GLib's thread pool). No effect in other builds. */
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
