/**
 * @file config.h
 * The configuration that operators accept at the platform: services, their groups and searchers.
 *
 * Immutable once parsed and shared by reference count. docs/OPERATING.md shows the JSON.
 */
#ifndef DS_CONFIG_H
#define DS_CONFIG_H

#include "core/err.h"

#include <jansson.h>
#include <stdint.h>

typedef enum service_kind_t {
	SERVICE_GATHER, /**< asks every partition and merges */
	SERVICE_LOOKUP, /**< asks the one partition that holds a record */
	SERVICE_ONCE,	/**< runs an action at most once */
} service_kind_t;

typedef enum request_class_t {
	CLASS_URGENT,
	CLASS_NORMAL,
	CLASS_BACKGROUND,
	CLASS_COUNT,
} request_class_t;

/** One searcher as declared. */
typedef struct upstream_config_t {
	char *name;
	char *data_centre;
	char *address; /**< an IP number */
	uint16_t port;
	bool withdrawn; /**< retired, or its data centre is taken out: no new work */
} upstream_config_t;

typedef struct group_config_t {
	char *name;
	GPtrArray *upstreams; /**< upstream_config_t */
} group_config_t;

typedef struct service_config_t {
	char *name;
	service_kind_t kind;
	uint64_t timeout_us;  /**< cap and default of a caller's deadline */
	uint32_t queue_limit; /**< requests of one class waiting for admission */
	uint32_t slots;	      /**< requests one searcher serves at once */
	uint32_t connections; /**< connections one searcher takes from all VMs together */
	GPtrArray *groups;    /**< group_config_t */
} service_config_t;

typedef struct config_t {
	gint refs;
	uint64_t number;    /**< the platform's version of the object; rises with each acceptance */
	uint32_t entry_vms; /**< most VMs that may be up at once, replacements included */
	GPtrArray *services;  /**< service_config_t */
	GPtrArray *withdrawn; /**< names of data centres and searchers that get no new work */
	json_t *source;
} config_t;

/** Parse and check. NULL with the path of the first fault in @p err. */
config_t *config_parse(const json_t *source, uint64_t number, err_t *err);
void config_unref(config_t *config);
/** This VM's share of a searcher's connections; at least 1. */
uint32_t config_connection_share(const config_t *config, const service_config_t *service);
/** The part of that share for requests: one connection is kept for health probes, if it can be. */
uint32_t config_request_share(const config_t *config, const service_config_t *service);

const char *service_kind_name(service_kind_t kind);
const char *request_class_name(request_class_t class);
bool request_class_parse(const char *text, request_class_t *class);

#endif
