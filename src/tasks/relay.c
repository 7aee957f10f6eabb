/**
 * @file relay.c
 * See relay.h.
 */
#include "tasks/relay.h"

#include <string.h>

relay_t *relay_from_caller(http_exchange_t *exchange)
{
	const http_message_t *message = http_exchange_message(exchange);
	relay_t *relay = g_new0(relay_t, 1);
	caller_headers_t headers;

	headers_read_caller(message, &headers);
	relay->exchange = http_exchange_ref(exchange);
	relay->request = (forward_request_t){.id = headers.id,
					     .host = headers.host,
					     .target = http_message_target(message),
					     .key = headers.key,
					     .received_us = http_exchange_start_us(exchange),
					     .patience_us = headers.patience_us};
	relay->request.fingerprint =
		fingerprint_of(relay_head(relay), relay_body(relay), headers.key);
	return relay;
}

/* At first one searcher of each shard may run the request. The taker grants more once it knows that
 * the request has arrived here. */
relay_t *relay_from_vm(hop_job_t *job)
{
	relay_t *relay = g_new0(relay_t, 1);

	relay->job = job;
	relay->request =
		(forward_request_t){.id = job->id,
				    .host = job->host,
				    .target = job->target,
				    .key = job->key,
				    .fingerprint = fingerprint_of(job->head, job->body, job->key),
				    .received_us = job->received_us,
				    .patience_us = job->patience_us,
				    .max_attempts = 1,
				    .handed_over = true,
				    .is_resend = job->is_resend};
	return relay;
}

void relay_free(relay_t *relay)
{
	if (relay->head)
		g_string_free(relay->head, TRUE);
	g_free(relay->charged);
	if (relay->exchange)
		http_exchange_unref(relay->exchange);
	g_free(relay);
}

const GString *relay_head(relay_t *relay)
{
	if (relay->job)
		return relay->job->head;
	if (!relay->head) {
		relay->head = g_string_sized_new(512);
		headers_write_common(relay->head, http_exchange_message(relay->exchange));
	}
	return relay->head;
}

const GString *relay_body(const relay_t *relay)
{
	return relay->job ? relay->job->body : http_exchange_body(relay->exchange);
}

static hop_bytes_t bytes_of(const char *text)
{
	return (hop_bytes_t){.data = text, .bytes = text ? strlen(text) : 0};
}

hop_request_t relay_hop_request(relay_t *relay)
{
	const GString *head = relay_head(relay), *body = relay_body(relay);

	return (hop_request_t){.patience_us = relay->request.patience_us,
			       .id = bytes_of(relay->request.id),
			       .host = bytes_of(relay->request.host),
			       .target = bytes_of(relay->request.target),
			       .key = bytes_of(relay->request.key),
			       .head = {.data = head->str, .bytes = head->len},
			       .body = {.data = body->str, .bytes = body->len}};
}

void relay_answer_caller(const relay_t *relay, const forward_answer_t *answer)
{
	http_exchange_t *exchange = relay->exchange;
	const char *text = forward_outcome_name(answer->outcome);
	const GString *body = answer->records;
	int status = forward_outcome_status(answer->outcome);

	http_exchange_set_data(exchange, NULL);
	if (answer->retry_after_us)
		headers_add_retry_after(exchange, answer->retry_after_us);
	if (answer->stamps)
		headers_add_gathered(exchange, answer);
	if (answer->reply) {
		status = answer->reply->status;
		headers_add_reply(exchange, answer->reply);
		body = answer->reply->body;
	}
	http_exchange_reply(exchange, status, body ? NULL : "text/plain", body ? body->str : text,
			    body ? body->len : strlen(text));
}
