/**
 * @file cold_share.c
 * See cold_share.h.
 */
#include "core/cold_share.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* A list names all VMs that had registered this long before it was requested: a read from the store
 * may be some seconds stale. */
#define LIST_STALENESS_US 10000000
/* Lists are read every 12 s. If reading fails, the last list is relied on for this long only. */
#define LIST_VALID_US 15000000
/* Shares are recomputed every few seconds; a share may still be in use this long after it has
 * expired. */
#define SHARE_REFRESH_US 5000000
/* After this time, every VM that relies on its list has this VM in it. */
#define MEMBER_MIN_US (LIST_STALENESS_US + LIST_VALID_US + SHARE_REFRESH_US)

bool cold_share_is_usable(const cold_members_t *members, uint64_t now_us)
{
	if (!members->member_us || !members->listed_us)
		return false;
	return now_us >= members->member_us + MEMBER_MIN_US &&
	       now_us < members->listed_us + LIST_VALID_US;
}

/* VMs within a factor of two in speed are in one class. The class depends on the VM alone, not on a
 * comparison with others: adding a VM must not change the order of the others. */
static int speed_class_of(const vm_t *vm)
{
	return -(int)floor(log2(MAX(vm_part_us(vm), 1)));
}

static uint64_t rank_of(const vm_t *vm, uint64_t salt)
{
	return XXH64(vm->name, strlen(vm->name), salt);
}

static uint32_t max_requests(const cold_limit_t *limit)
{
	return (uint32_t)CLAMP(limit->per_s, 1, G_MAXINT32);
}

/* Whether fewer than @p max VMs come before this one. */
static bool is_among_first(const cold_members_t *members, const vm_t *own,
			   const cold_limit_t *limit, const char *id, uint32_t max)
{
	uint64_t salt = XXH64(id, strlen(id), 0), rank = rank_of(own, salt);
	int speed_class = speed_class_of(own);
	uint32_t before = 0;

	for (guint i = 0; i < members->vms->len && before < max; i++) {
		const vm_t *vm = g_ptr_array_index(members->vms, i);
		int vm_class = limit->gathered ? speed_class_of(vm) : speed_class;

		if (vm_class != speed_class)
			before += vm_class > speed_class;
		else if (vm != own)
			before += rank_of(vm, salt) < rank;
	}
	return before < max;
}

uint32_t cold_share_of(const cold_members_t *members, const cold_limit_t *limit, const char *id)
{
	const vm_t *own = vm_find(members->vms, members->own_name);
	uint32_t max = max_requests(limit);

	if (!own)
		return 0;
	if (members->vms->len <= max)
		return max / members->vms->len;
	return is_among_first(members, own, limit, id, max) ? 1 : 0;
}

uint64_t cold_share_window_us(const cold_limit_t *limit)
{
	double second_us = 1e6 / CLAMP(limit->per_s, 1e-3, 1);

	return (uint64_t)MAX(second_us, COLD_WINDOW_US);
}
