/**
 * @file settings.h
 * A daemon's own settings: an INI file, read in this one place and checked key by key.
 */
#ifndef DS_SETTINGS_H
#define DS_SETTINGS_H

#include "core/err.h"

#include <stdint.h>

/** An "ip:port" as it was given. */
typedef struct endpoint_setting_t {
	char address[16];
	uint16_t port;
} endpoint_setting_t;

typedef struct settings_t {
	char *vm_name;
	char *data_centre;
	uint32_t link_mbps; /**< of this VM's network link; 0: not known */
	uint32_t cores;	    /**< of this VM; 0: not known */
	double core_share;  /**< of each core that is this VM's */
	char *listen_address;
	uint32_t callers_port;
	uint32_t admin_port;
	uint32_t peers_port;
	char *platform_address;
	uint32_t platform_port;
	char *operators_token;
	char *peers_key;
	char *peers_previous_key; /**< accepted too while keys are rotated; may be empty */
	char *peers_seeds;	  /**< "ip:port ip:port", may be empty */
	uint32_t drain_ms;	  /**< a planned stop serves at least so long */
	uint32_t quiet_ms;	  /**< and until no request came for so long */
	uint32_t grace_s;	  /**< and at most so long; the process is killed then */
	bool forwards; /**< it forwards by routes, instead of serving its own interface */
	endpoint_setting_t front_callers, front_ready, front_metrics, front_feed, front_store;
	endpoint_setting_t front_gather; /**< where other VMs hand gathers
					  * over; if not given, the port after that
					  * of the metrics */
	double retry_ratio;	 /**< sub-requests beyond the first of each request, all VMs */
	uint32_t retry_constant; /**< and so many more in a window */
	uint32_t retry_window_s; /**< the window in which they are counted */
	uint32_t apply_ms;	 /**< within which a change of the store is in force */
	uint32_t leave_ms; /**< within which a searcher that leaves gets nothing new; 0: as apply */
	uint32_t settle_ms;   /**< after which VMs whose connections were harmed keep to that */
	uint32_t evacuate_ms; /**< within which an evacuation is in force; 0: there are none */
	GHashTable *regions;  /**< data centre to region */
	char *log_level;
	uint32_t hedge, choose_by_cost, adapt_limit; /**< policy switches, for baselines */
} settings_t;

/**
 * Read @p path.
 * @param faults filled with one text a fault: file, line, what is wrong and what would be right
 * @return NULL when there is any fault
 */
settings_t *settings_read(const char *path, GPtrArray *faults);
/** Processor time that this VM has in a second, in thousandths of a core; 0: not known. */
uint32_t settings_processor_milli(const settings_t *settings);
void settings_free(settings_t *settings);

#endif
