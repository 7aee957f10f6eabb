/**
 * @file err.h
 * Error details that a function returns through a parameter: a code for programs, a text for
 * people.
 */
#ifndef DS_ERR_H
#define DS_ERR_H

#include <glib.h>
#include <stdbool.h>

typedef enum err_code_t {
	ERR_NONE,
	ERR_SYNTAX,   /**< not valid JSON or INI */
	ERR_VALUE,    /**< an invalid key, type, value or name */
	ERR_CONFLICT, /**< the state that the change is based on has changed */
	ERR_IO,
} err_code_t;

typedef struct err_t {
	err_code_t code;
	char text[256];
} err_t;

/** Set @p err and return false, so that a check can end with `return err_set(...)`. */
bool err_set(err_t *err, err_code_t code, const char *format, ...) G_GNUC_PRINTF(3, 4);

#endif
