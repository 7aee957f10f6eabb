/**
 * @file load.c
 * An open-loop load generator that checks every answer against the generated data set.
 *
 * Requests are scheduled without waiting for earlier answers, and latency is measured from the
 * scheduled time, so that a stall counts for every request scheduled during it. A simple load
 * balancer is built in: it polls /readyz of each VM and sends only to VMs that are ready.
 */
#include "core/histogram.h"
#include "dataset.h"
#include "net/http_pool.h"

#include <argp.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TARGETS_MAX 16
#define MIXES_MAX 12
#define SLOTS 192
#define BALANCER_PERIOD_US 100000
#define ANSWER_GRACE_US 3000000
#define PARTITIONS_MAX 65536
#define PLOT_STEP_US 200000

/** One kind of request in the mix, with its results. */
typedef struct mix_t {
	char *service;
	char kind[8];	/* search, record or action */
	char class[16]; /* urgent, normal or background */
	double weight;
	uint32_t timeout_ms;
	char *text;
	/* results */
	histogram_t latency;
	uint64_t sent, complete, partial, refused, failed, lost, wrong;
	uint64_t slowest_refusal_us;
	histogram_t refusal_latency;
	double coverage_sum;
} mix_t;

typedef struct target_vm_t {
	char *address;
	uint16_t port, admin_port;
	bool ready, probing;
	struct load_request_t *slots[SLOTS];
} target_vm_t;

typedef struct load_t {
	loop_t *loop;
	http_pool_t *pool, *probe_pool;
	target_vm_t targets[TARGETS_MAX];
	uint32_t target_count, next_target;
	mix_t mixes[MIXES_MAX];
	uint32_t mix_count;
	double rate, seconds;
	uint32_t records;
	bool json;
	const char *plot_path;
	GRand *rand;
	uint64_t start_us, next_due_us, end_us;
	uint64_t serial, in_flight, resent;
	GQueue waiting; /* load_request_t without a free slot or a ready VM */
	loop_timer_t arrival, balancer, finish;
	FILE *plot;
	histogram_t plot_latency;
	uint64_t plot_due_us, plot_partial, plot_refused;
	GHashTable *refusal_types; /* type -> count */
} load_t;

/** One generated request. */
typedef struct load_request_t {
	load_t *load;
	mix_t *mix;
	uint64_t due_us;
	uint64_t serial;
	char id[48];
	uint32_t record;
	target_vm_t *target;
	uint32_t slot;
} load_request_t;

/* ---- checking answers ---- */

static bool check_record(const json_t *record, json_int_t snapshot, uint32_t records,
			 uint32_t partitions, const bool *missing, bool *seen)
{
	const char *id = json_string_value(json_object_get(record, "id"));
	uint32_t number;

	if (!id || sscanf(id, "r%06u", &number) != 1 || number >= records || seen[number])
		return false; /* not in the data set, or a duplicate */
	seen[number] = true;
	if (json_integer_value(json_object_get(record, "v")) != snapshot)
		return false; /* read from another snapshot */
	return !missing[dataset_partition(id, partitions)];
}

static uint32_t expected_count(const load_t *load, const mix_t *mix, uint32_t partitions,
			       const bool *missing)
{
	uint32_t count = 0;

	for (uint32_t n = 0; n < load->records; n++) {
		char id[DATASET_ID_BYTES];

		dataset_id(id, n);
		count += dataset_matches(n, mix->text) &&
			 !missing[dataset_partition(id, partitions)];
	}
	return count;
}

/* The answer must hold each matching record of the answered partitions exactly once, all from one
 * snapshot, and its coverage must agree with its list of missing partitions. */
static bool check_search(const load_t *load, const mix_t *mix, const json_t *body)
{
	const json_t *coverage = json_object_get(body, "coverage"),
		     *records = json_object_get(body, "records");
	json_int_t partitions = json_integer_value(json_object_get(coverage, "partitions"));
	json_int_t answered = json_integer_value(json_object_get(coverage, "answered"));
	json_t *array = json_object_get(coverage, "missing"), *item;
	bool complete = json_is_true(json_object_get(body, "complete")), good = true;
	g_autofree bool *missing = g_new0(bool, PARTITIONS_MAX);
	g_autofree bool *seen = g_new0(bool, load->records);
	size_t i;

	if (partitions < 1 || partitions > PARTITIONS_MAX ||
	    answered + (json_int_t)json_array_size(array) != partitions ||
	    complete != (json_array_size(array) == 0))
		return false;
	json_array_foreach (array, i, item)
		missing[json_integer_value(item) % PARTITIONS_MAX] = true;
	json_array_foreach ((json_t *)records, i, item)
		good = good &&
		       check_record(item, json_integer_value(json_object_get(body, "snapshot")),
				    load->records, (uint32_t)partitions, missing, seen);
	return good &&
	       json_array_size(records) == expected_count(load, mix, (uint32_t)partitions, missing);
}

static bool check_lookup(const load_request_t *request, const json_t *body)
{
	const json_t *record = json_object_get(body, "record");
	const char *id = json_string_value(json_object_get(record, "id"));
	char wanted[DATASET_ID_BYTES];

	if (!json_is_true(json_object_get(body, "complete")))
		return json_is_null(record);
	dataset_id(wanted, request->record);
	return id && g_str_equal(id, wanted) &&
	       json_integer_value(json_object_get(record, "v")) ==
		       json_integer_value(json_object_get(body, "snapshot"));
}

static bool check_answer(const load_request_t *request, const json_t *body)
{
	const char *id = json_string_value(json_object_get(body, "request_id"));

	if (!id || !g_str_equal(id, request->id))
		return false; /* the answer to another request */
	if (g_str_equal(request->mix->kind, "search"))
		return check_search(request->load, request->mix, body);
	if (g_str_equal(request->mix->kind, "record"))
		return check_lookup(request, body);
	return g_strcmp0(json_string_value(json_object_get(body, "ran")), "yes") == 0;
}

/* ---- results ---- */

static void count_partial(load_t *load, mix_t *mix, const json_t *body)
{
	const json_t *coverage = json_object_get(body, "coverage");
	json_int_t partitions = json_integer_value(json_object_get(coverage, "partitions"));

	if (!coverage || json_is_true(json_object_get(body, "complete"))) {
		mix->complete++;
		mix->coverage_sum += 1;
		return;
	}
	mix->partial++;
	load->plot_partial++;
	mix->coverage_sum += (double)json_integer_value(json_object_get(coverage, "answered")) /
			     (double)MAX(partitions, 1);
}

static void count_refusal(load_t *load, mix_t *mix, const json_t *body, uint64_t latency_us)
{
	const char *type = json_string_value(json_object_get(body, "type"));
	gpointer count;

	if (!type)
		type = "(none)";
	mix->refused++;
	load->plot_refused++;
	histogram_add(&mix->refusal_latency, latency_us);
	mix->slowest_refusal_us = MAX(mix->slowest_refusal_us, latency_us);
	count = g_hash_table_lookup(load->refusal_types, type);
	g_hash_table_insert(load->refusal_types, g_strdup(type),
			    GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
}

static void write_plot_line(load_t *load, uint64_t now)
{
	if (!load->plot || now < load->plot_due_us)
		return;
	fprintf(load->plot, "%.1f %.3f %.3f %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT "\n",
		(double)(now - load->start_us) / 1e6,
		(double)histogram_quantile_us(&load->plot_latency, 0.5) / 1e3,
		(double)histogram_quantile_us(&load->plot_latency, 0.99) / 1e3, load->plot_partial,
		load->plot_refused);
	load->plot_latency = (histogram_t){0};
	load->plot_partial = load->plot_refused = 0;
	load->plot_due_us = now + PLOT_STEP_US;
}

static void record_result(load_request_t *request, const http_call_t *call)
{
	load_t *load = request->load;
	mix_t *mix = request->mix;
	uint64_t now = loop_now_us(), latency_us = now - request->due_us;
	json_t *body = json_loadb(http_call_reply(call)->str, http_call_reply(call)->len, 0, NULL);

	if (http_call_result(call) != HTTP_CALL_REPLIED) {
		mix->lost++;
	} else if (http_call_status(call) == 200) {
		histogram_add(&mix->latency, latency_us);
		histogram_add(&load->plot_latency, latency_us);
		if (!check_answer(request, body)) {
			mix->wrong++;
			if (getenv("LOAD_SHOW_WRONG"))
				fprintf(stderr, "%s\n", http_call_reply(call)->str);
		}
		count_partial(load, mix, body);
	} else if (http_call_status(call) == 503) {
		count_refusal(load, mix, body, latency_us);
	} else {
		mix->failed++;
		if (getenv("LOAD_SHOW_WRONG"))
			fprintf(stderr, "%s\n", http_call_reply(call)->str);
	}
	json_decref(body);
	write_plot_line(load, now);
}

/* ---- sending ---- */

static void send_waiting(load_t *load);

static void request_finished(void *ctx, http_call_t *call)
{
	load_request_t *request = ctx;
	load_t *load = request->load;

	request->target->slots[request->slot] = NULL;
	if (http_call_result(call) == HTTP_CALL_NOT_SENT) {
		/* Nothing was sent, so like a load balancer it sends the request to another VM. */
		request->target->ready = false;
		load->resent++;
		g_queue_push_head(&load->waiting, request);
		send_waiting(load);
		return;
	}
	record_result(request, call);
	load->in_flight--;
	g_free(request);
	send_waiting(load);
}

static void start_request(load_request_t *request, target_vm_t *target, uint32_t slot)
{
	mix_t *mix = request->mix;
	load_t *load = request->load;
	char path[160], headers[256], body[128] = "";
	http_request_t http = {.method = "POST",
			       .address = target->address,
			       .port = target->port,
			       .path = path,
			       .headers = headers,
			       .body = body,
			       .finished = request_finished,
			       .ctx = request};
	int used = snprintf(headers, sizeof(headers),
			    "request-id: %s\r\nrequest-class: %s\r\nrequest-timeout-ms: %u\r\n",
			    request->id, mix->class, mix->timeout_ms);

	if (g_str_equal(mix->kind, "search")) {
		snprintf(path, sizeof(path), "/v1/services/%s/search", mix->service);
		snprintf(body, sizeof(body), "{\"text\":\"%s\"}", mix->text);
	} else if (g_str_equal(mix->kind, "record")) {
		http.method = "GET";
		snprintf(path, sizeof(path), "/v1/services/%s/records/r%06u", mix->service,
			 request->record);
	} else {
		snprintf(path, sizeof(path), "/v1/services/%s/actions", mix->service);
		snprintf(headers + used, sizeof(headers) - (size_t)used,
			 "idempotency-key: %" G_GUINT64_FORMAT "-%s\r\n", loop_wall_ms(),
			 request->id);
		strcpy(body, "{}");
	}
	http.body_bytes = strlen(body);
	request->target = target;
	request->slot = slot;
	target->slots[slot] = request;
	http_pool_start(load->pool, slot, &http);
}

static bool find_slot(load_t *load, target_vm_t **target, uint32_t *slot)
{
	for (uint32_t i = 0; i < load->target_count; i++) {
		target_vm_t *candidate = &load->targets[load->next_target++ % load->target_count];

		if (!candidate->ready)
			continue;
		for (uint32_t j = 0; j < SLOTS; j++) {
			if (candidate->slots[j])
				continue;
			*target = candidate;
			*slot = j;
			return true;
		}
	}
	return false;
}

static void send_waiting(load_t *load)
{
	target_vm_t *target;
	uint32_t slot;

	while (load->waiting.head && find_slot(load, &target, &slot))
		start_request(g_queue_pop_head(&load->waiting), target, slot);
}

static mix_t *pick_mix(load_t *load)
{
	double sum = 0, point;
	uint32_t i;

	for (i = 0; i < load->mix_count; i++)
		sum += load->mixes[i].weight;
	point = g_rand_double_range(load->rand, 0, sum);
	for (i = 0; i + 1 < load->mix_count && point >= load->mixes[i].weight; i++)
		point -= load->mixes[i].weight;
	return &load->mixes[i];
}

static void add_arrival(load_t *load)
{
	load_request_t *request = g_new0(load_request_t, 1);

	request->load = load;
	request->mix = pick_mix(load);
	request->due_us = load->next_due_us;
	request->serial = ++load->serial;
	request->record = (uint32_t)g_rand_int_range(load->rand, 0, (gint32)load->records);
	snprintf(request->id, sizeof(request->id), "load-%d-%" G_GUINT64_FORMAT,
		 (int)load->start_us & 0xffff, request->serial);
	request->mix->sent++;
	load->in_flight++;
	g_queue_push_tail(&load->waiting, request);
}

static void on_arrival(void *ctx)
{
	load_t *load = ctx;
	uint64_t now = loop_now_us();

	while (load->next_due_us <= now && load->next_due_us < load->end_us) {
		add_arrival(load);
		load->next_due_us +=
			(uint64_t)(-log(1.0 - g_rand_double(load->rand)) * 1e6 / load->rate) + 1;
	}
	send_waiting(load);
	write_plot_line(load, now);
	if (load->next_due_us < load->end_us)
		loop_timer_set(load->loop, &load->arrival,
			       load->next_due_us - MIN(now, load->next_due_us));
}

static void on_finish(void *ctx)
{
	load_t *load = ctx;

	if (load->in_flight && loop_now_us() < load->end_us + ANSWER_GRACE_US) {
		loop_timer_set(load->loop, &load->finish, 10000);
		return;
	}
	loop_stop(load->loop);
}

/* ---- load balancer ---- */

static void probe_finished(void *ctx, http_call_t *call)
{
	target_vm_t *target = ctx;

	target->probing = false;
	target->ready =
		http_call_result(call) == HTTP_CALL_REPLIED && http_call_status(call) == 200;
}

static void on_balancer(void *ctx)
{
	load_t *load = ctx;

	for (uint32_t i = 0; i < load->target_count; i++) {
		target_vm_t *target = &load->targets[i];
		http_request_t http = {.method = "GET",
				       .address = target->address,
				       .port = target->admin_port,
				       .path = "/readyz",
				       .finished = probe_finished,
				       .ctx = target};

		if (target->probing)
			continue;
		target->probing = true;
		http_pool_start(load->probe_pool, 0, &http);
	}
	loop_timer_set(load->loop, &load->balancer, BALANCER_PERIOD_US);
}

/* ---- report ---- */

static double ms(uint64_t us)
{
	return (double)us / 1000;
}

static json_t *mix_json(const mix_t *mix)
{
	const histogram_t *latency = &mix->latency;
	uint64_t answers = mix->complete + mix->partial;

	return json_pack("{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f, "
			 "s:f, s:f, s:f, s:f}",
			 "service", mix->service, "kind", mix->kind, "class", mix->class, "sent",
			 (json_int_t)mix->sent, "whole", (json_int_t)mix->complete, "partial",
			 (json_int_t)mix->partial, "refused", (json_int_t)mix->refused, "failed",
			 (json_int_t)mix->failed, "cut", (json_int_t)mix->lost, "wrong",
			 (json_int_t)mix->wrong, "share_whole",
			 answers ? (double)mix->complete / (double)answers : 0.0, "mean_coverage",
			 answers ? mix->coverage_sum / (double)answers : 0.0, "p50_ms",
			 ms(histogram_quantile_us(latency, 0.5)), "p90_ms",
			 ms(histogram_quantile_us(latency, 0.9)), "p99_ms",
			 ms(histogram_quantile_us(latency, 0.99)), "p999_ms",
			 ms(histogram_quantile_us(latency, 0.999)), "refusal_p99_ms",
			 ms(histogram_quantile_us(&mix->refusal_latency, 0.99)), "refusal_worst_ms",
			 ms(mix->slowest_refusal_us));
}

static void print_table(const load_t *load)
{
	printf("%-18s %-7s %-10s %8s %8s %7s %7s %6s %5s %6s %8s %8s %8s %8s\n", "service", "kind",
	       "class", "sent", "whole", "partial", "refused", "failed", "cut", "wrong", "p50_ms",
	       "p90_ms", "p99_ms", "p999_ms");
	for (uint32_t i = 0; i < load->mix_count; i++) {
		const mix_t *mix = &load->mixes[i];
		const histogram_t *h = &mix->latency;

		printf("%-18s %-7s %-10s %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
		       " %7" G_GUINT64_FORMAT " %7" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT
		       " %5" G_GUINT64_FORMAT " %6" G_GUINT64_FORMAT " %8.1f %8.1f %8.1f %8.1f\n",
		       mix->service, mix->kind, mix->class, mix->sent, mix->complete, mix->partial,
		       mix->refused, mix->failed, mix->lost, mix->wrong,
		       ms(histogram_quantile_us(h, 0.5)), ms(histogram_quantile_us(h, 0.9)),
		       ms(histogram_quantile_us(h, 0.99)), ms(histogram_quantile_us(h, 0.999)));
	}
}

static void print_json(load_t *load)
{
	json_t *array = json_array(), *types = json_object(), *all;
	GHashTableIter iter;
	gpointer type, count;
	char *text;

	for (uint32_t i = 0; i < load->mix_count; i++)
		json_array_append_new(array, mix_json(&load->mixes[i]));
	g_hash_table_iter_init(&iter, load->refusal_types);
	while (g_hash_table_iter_next(&iter, &type, &count))
		json_object_set_new(types, type, json_integer(GPOINTER_TO_UINT(count)));
	all = json_pack("{s:o, s:o, s:I, s:I}", "mix", array, "refusals", types, "unanswered",
			(json_int_t)load->in_flight, "moved", (json_int_t)load->resent);
	text = json_dumps(all, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	puts(text);
	free(text);
	json_decref(all);
}

/* ---- arguments ---- */

static const struct argp_option options[] = {
	{"target", 't', "IP:PORT:ADMINPORT", 0, "a daemon; may be repeated", 0},
	{"rate", 'r', "N", 0, "requests a second (100)", 0},
	{"seconds", 's', "N", 0, "how long, 600 at most (5)", 0},
	{"mix", 'm', "SERVICE:KIND:CLASS:WEIGHT:TIMEOUT_MS[:TEXT]", 0,
	 "a kind of request (search, record, action); may be repeated", 0},
	{"records", 'n', "N", 0, "records of the data set (400)", 0},
	{"json", 'j', 0, 0, "report as JSON", 0},
	{"plot", 'p', "FILE", 0, "write time, p50_ms, p99_ms, partial, refused every 0.2 s", 0},
	{"seed", 'x', "N", 0, "seed of arrivals (1)", 0},
	{0},
};

static void add_target(load_t *load, const char *arg, struct argp_state *state)
{
	g_auto(GStrv) parts = g_strsplit(arg, ":", 3);
	target_vm_t *target = &load->targets[load->target_count];

	if (g_strv_length(parts) != 3 || load->target_count++ == TARGETS_MAX)
		argp_error(state, "--target is IP:PORT:ADMINPORT, %d at most", TARGETS_MAX);
	target->address = g_strdup(parts[0]);
	target->port = (uint16_t)atoi(parts[1]);
	target->admin_port = (uint16_t)atoi(parts[2]);
}

static void add_mix(load_t *load, const char *arg, struct argp_state *state)
{
	g_auto(GStrv) parts = g_strsplit(arg, ":", 6);
	mix_t *mix = &load->mixes[load->mix_count];

	if (g_strv_length(parts) < 5 || load->mix_count++ == MIXES_MAX)
		argp_error(state,
			   "--mix is SERVICE:KIND:CLASS:WEIGHT:TIMEOUT_MS[:TEXT], %d at most",
			   MIXES_MAX);
	mix->service = g_strdup(parts[0]);
	g_strlcpy(mix->kind, parts[1], sizeof(mix->kind));
	g_strlcpy(mix->class, parts[2], sizeof(mix->class));
	mix->weight = g_ascii_strtod(parts[3], NULL);
	mix->timeout_ms = (uint32_t)atoi(parts[4]);
	mix->text = g_strdup(parts[5] ? parts[5] : "");
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	load_t *load = state->input;

	switch (key) {
	case 't':
		add_target(load, arg, state);
		return 0;
	case 'r':
		load->rate = g_ascii_strtod(arg, NULL);
		return 0;
	case 's':
		load->seconds = MIN(g_ascii_strtod(arg, NULL), 600);
		return 0;
	case 'm':
		add_mix(load, arg, state);
		return 0;
	case 'n':
		load->records = (uint32_t)atoi(arg);
		return 0;
	case 'j':
		load->json = true;
		return 0;
	case 'p':
		load->plot_path = arg;
		return 0;
	case 'x':
		load->rand = g_rand_new_with_seed((guint32)atoi(arg));
		return 0;
	case ARGP_KEY_END:
		if (!load->target_count || !load->mix_count || load->rate <= 0)
			argp_error(state,
				   "at least one --target and one --mix, and a rate above 0");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void on_signal(void *ctx, int number)
{
	(void)number;
	loop_stop(((load_t *)ctx)->loop);
}

/* 0 when every answer was correct, no connection was lost and no answer is missing. */
static int exit_status(const load_t *load)
{
	uint64_t bad = load->in_flight;

	for (uint32_t i = 0; i < load->mix_count; i++)
		bad += load->mixes[i].wrong + load->mixes[i].lost;
	return bad ? 1 : 0;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse_option, NULL, "Open-loop load that checks every answer.", 0, 0, 0};
	load_t *load = g_new0(load_t, 1);

	load->rate = 100;
	load->seconds = 5;
	load->records = 400;
	load->rand = g_rand_new_with_seed(1);
	load->refusal_types = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	argp_parse(&argp, argc, argv, 0, NULL, load);
	g_queue_init(&load->waiting);
	load->loop = loop_new();
	load->pool = http_pool_new(load->loop, NULL, SLOTS);
	load->probe_pool = http_pool_new(load->loop, NULL, 1);
	for (uint32_t i = 0; i < load->target_count; i++)
		load->targets[i].ready = true;
	if (load->plot_path)
		load->plot = fopen(load->plot_path, "w");
	load->start_us = load->next_due_us = loop_now_us();
	load->end_us = load->start_us + (uint64_t)(load->seconds * 1e6);
	load->arrival = (loop_timer_t){.fire = on_arrival, .ctx = load};
	load->balancer = (loop_timer_t){.fire = on_balancer, .ctx = load};
	load->finish = (loop_timer_t){.fire = on_finish, .ctx = load};
	loop_timer_set(load->loop, &load->arrival, 0);
	loop_timer_set(load->loop, &load->balancer, 0);
	loop_timer_set(load->loop, &load->finish, load->end_us - load->start_us);
	loop_run(load->loop, on_signal, load);
	if (load->plot)
		fclose(load->plot);
	if (load->json)
		print_json(load);
	else
		print_table(load);
	return exit_status(load);
}
