/**
 * @file config.h
 * The configuration that operators maintain at the platform: services, their groups and searchers.
 *
 * A parsed configuration is immutable and shared by reference count. docs/OPERATING.md documents
 * the JSON.
 */
#ifndef DS_CONFIG_H
#define DS_CONFIG_H

#include "core/err.h"

#include <jansson.h>
#include <stdint.h>

typedef enum service_kind_t {
	SERVICE_GATHER, /**< asks every partition and merges the replies */
	SERVICE_LOOKUP, /**< asks the one partition that holds a record */
	SERVICE_ONCE,	/**< runs an action at most once */
} service_kind_t;

typedef enum request_class_t {
	CLASS_URGENT,
	CLASS_NORMAL,
	CLASS_BACKGROUND,
	CLASS_COUNT,
} request_class_t;

/** One searcher as the configuration declares it. */
typedef struct upstream_config_t {
	char *name;
	char *data_centre;
	char *address; /**< an IPv4 address */
	uint16_t port;
	bool withdrawn; /**< the searcher or its data centre is listed in "out": no new work */
} upstream_config_t;

typedef struct group_config_t {
	char *name;
	GPtrArray *upstreams; /**< upstream_config_t */
} group_config_t;

typedef struct service_config_t {
	char *name;
	service_kind_t kind;
	uint64_t timeout_us;  /**< maximum and default of a request's time-out */
	uint32_t queue_limit; /**< maximum of requests waiting for admission, per class */
	uint32_t slots;	      /**< requests that one searcher serves at once */
	uint32_t connections; /**< connections to one searcher from all VMs together */
	GPtrArray *groups;    /**< group_config_t */
} service_config_t;

typedef struct config_t {
	gint refs;
	uint64_t number;      /**< the object's version at the platform; rises with each change */
	uint32_t entry_vms;   /**< maximum number of VMs up at once, including replacements */
	GPtrArray *services;  /**< service_config_t */
	GPtrArray *withdrawn; /**< names of withdrawn data centres and searchers */
	json_t *source;
} config_t;

/**
 * Parse and validate @p source. On an error returns NULL, with the path of the first invalid value
 * in @p err.
 */
config_t *config_parse(const json_t *source, uint64_t number, err_t *err);
void config_unref(config_t *config);
/** This VM's share of the connections to a searcher; at least 1. */
uint32_t config_connection_share(const config_t *config, const service_config_t *service);
/**
 * The part of config_connection_share() that is used for requests. One connection is reserved for
 * health probes if the share is larger than 1.
 */
uint32_t config_request_share(const config_t *config, const service_config_t *service);

const char *service_kind_name(service_kind_t kind);
const char *request_class_name(request_class_t class);
bool request_class_parse(const char *text, request_class_t *class);

#endif
