/**
 * @file fingerprint.h
 * Fingerprint of a request: a hash of what its attempts have in common, which is the method,
 * target, caller and body.
 *
 * Each attempt of a caller has an id of its own, so an id does not identify earlier attempts at the
 * same request, on this VM or on another one. All VMs compute the same fingerprint.
 */
#ifndef DS_FINGERPRINT_H
#define DS_FINGERPRINT_H

#include <glib.h>
#include <stdint.h>

/* 16 hexadecimal digits and the terminating NUL. */
#define FINGERPRINT_TEXT_BYTES 17

/** 0: unknown. */
typedef uint64_t fingerprint_t;

/**
 * Hash a request by its @p head (request line and headers, each line ended by CRLF) and @p body.
 * @param key the caller's API key, which the head does not hold: a request that crashes searchers
 * on the data of one tenant may be sound on that of another; NULL: none
 */
fingerprint_t fingerprint_of(const GString *head, const GString *body, const char *key);
void fingerprint_format(fingerprint_t fingerprint, char text[FINGERPRINT_TEXT_BYTES]);
/** Parse the output of fingerprint_format(); 0 if @p text is invalid. */
fingerprint_t fingerprint_parse(const char *text);

#endif
