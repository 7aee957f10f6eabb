/**
 * @file settings.h
 * Settings of a daemon: an INI file, which only this module reads, and checks key by key.
 */
#ifndef DS_SETTINGS_H
#define DS_SETTINGS_H

#include "core/err.h"

#include <stdint.h>

/** An "ip:port" of the settings file. */
typedef struct endpoint_setting_t {
	char address[16];
	uint16_t port;
} endpoint_setting_t;

typedef struct settings_t {
	char *vm_name;
	char *data_centre;
	uint32_t link_mbps;	 /**< speed of this VM's network link; 0: unknown */
	uint32_t cores;		 /**< of this VM; 0: unknown */
	double core_share;	 /**< share of each core that this VM may use */
	uint32_t memory_mb;	 /**< memory that this process may use */
	uint32_t excess_percent; /**< of the processor, for what callers send beyond usual requests
				  */
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
	uint32_t drain_ms;	  /**< a draining daemon serves requests at least this long */
	uint32_t quiet_ms;	  /**< and until no request has arrived for this long */
	uint32_t grace_s;	  /**< and at most this long; the process is killed then */
	bool forwarding_mode;	  /**< forwards by routes, instead of serving
				   * the daemon's own query interface */
	endpoint_setting_t front_callers, front_ready, front_metrics, front_feed, front_store;
	endpoint_setting_t front_gather; /**< where other VMs hand over gathers; default: the
					  * port after that of the metrics */
	double retry_ratio;	 /**< sub-requests beyond the first of each request, as a ratio;
				  * of all VMs together */
	uint32_t retry_constant; /**< further such sub-requests per window, beyond the ratio */
	uint32_t retry_window_s; /**< window in which sub-requests are counted */
	uint32_t quota_window_s; /**< span over which tenants' quotas are counted */
	double quota_overage;	 /**< share of a window's quota that may be admitted beyond it */
	uint32_t quota_slack;	 /**< further requests that may be, at any rate */
	bool admission_enabled;	 /**< requests start, wait and are refused as a whole */
	uint32_t apply_ms;	 /**< a change in the store is in force within this time */
	uint32_t leave_ms; /**< a draining searcher gets nothing new after this time; 0: apply_ms */
	uint32_t settle_ms;   /**< once their connections were disturbed, VMs keep these times again
			       * after this time */
	uint32_t evacuate_ms; /**< an evacuation is in force within this time; 0: not supported */
	GHashTable *regions;  /**< data centre to region */
	char *log_level;
	uint32_t hedge, choose_by_cost, adapt_limit; /**< whether the policy is on;
						      * off only to measure a baseline */
} settings_t;

/**
 * Read @p path.
 * @param errors one string is added per error: file, line, what is wrong and which values are valid
 * @return NULL when there is any error
 */
settings_t *settings_read(const char *path, GPtrArray *errors);
/** @return processor time of this VM per second, in thousandths of a core; 0: unknown */
uint32_t settings_processor_milli(const settings_t *settings);
/** @return memory that unfinished replies of searchers and the store may hold together */
uint64_t settings_replies_bytes(const settings_t *settings);
/** @return memory that unfinished requests of callers may hold together */
uint64_t settings_requests_bytes(const settings_t *settings);
/** @return memory that requests being answered may hold together */
uint64_t settings_open_requests_bytes(const settings_t *settings);
/** @return part of one core, in millionths, for what callers send beyond usual requests */
uint32_t settings_excess_ppm(const settings_t *settings);
void settings_free(settings_t *settings);

#endif
