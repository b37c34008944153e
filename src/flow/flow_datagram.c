/*
 * Datagrams between entries.
 */
#include <string.h>

#include "flow/flow_internal.h"

enum {
	DATAGRAM_BYTES = 1400 /* fits into one packet on any link */
};

/*
 * Sends a datagram to another entry.  It may be lost; the sender repeats
 * important ones.
 */
void
datagram_send(struct flow *flow, const struct sockaddr_in *to,
    const Fleet__Datagram *datagram)
{
	uint8_t bytes[DATAGRAM_BYTES];
	size_t len = fleet__datagram__get_packed_size(datagram);
	uv_buf_t buf;

	if (len > sizeof(bytes))
		return;
	fleet__datagram__pack(datagram, bytes);
	buf = uv_buf_init((char *)bytes, (unsigned)len);
	/* An error is treated like a lost datagram. */
	(void)uv_udp_try_send(&flow->udp, &buf, 1, (const struct sockaddr *)to);
}

static void
send_ping(struct flow *flow, const struct sockaddr_in *to, bool reply)
{
	Fleet__Datagram datagram = FLEET__DATAGRAM__INIT;
	Fleet__Sign sign = FLEET__SIGN__INIT;

	sign.address = (char *)flow->settings.datagram_address;
	sign.reply = reply;
	datagram.body_case = FLEET__DATAGRAM__BODY_SIGN;
	datagram.sign = &sign;
	datagram_send(flow, to, &datagram);
}

/*
 * Pings an unresponsive entry.
 */
void
datagram_send_ping(struct flow *flow, const struct peer_entry *peer_entry)
{
	send_ping(flow, &peer_entry->datagram, false);
}

/*
 * Answers a ping.  Any ping or reply shows that its sender responds.
 */
static void
on_ping(
    struct flow *flow, const struct sockaddr_in *from, const Fleet__Sign *sign)
{
	struct peer_entry *peer_entry =
	    g_hash_table_lookup(flow->peer_entries, sign->address);

	if (peer_entry != NULL)
		fleet_clear_suspect(flow, peer_entry);
	if (!sign->reply && !flow->stopping)
		send_ping(flow, from, true);
}

static void
on_datagram_body(
    struct flow *flow, const struct sockaddr_in *from, const Fleet__Datagram *d)
{
	switch (d->body_case) {
	case FLEET__DATAGRAM__BODY_ASK:
		schedule_on_ask(flow, from, d->ask);
		break;
	case FLEET__DATAGRAM__BODY_CANCEL:
		(void)schedule_on_cancel(flow, from, d->cancel->request);
		break;
	case FLEET__DATAGRAM__BODY_DONE:
		schedule_on_done(flow, from, d->done);
		break;
	case FLEET__DATAGRAM__BODY_GRANT:
		ask_on_grant(flow, d->grant);
		break;
	case FLEET__DATAGRAM__BODY_REJECT:
		ask_on_reject(flow, d->reject);
		break;
	case FLEET__DATAGRAM__BODY_HELD:
		ask_on_held(flow, d->held);
		break;
	case FLEET__DATAGRAM__BODY_SIGN:
		on_ping(flow, from, d->sign);
		break;
	case FLEET__DATAGRAM__BODY_CRASH:
		crash_on_report(flow, d->crash);
		break;
	case FLEET__DATAGRAM__BODY_QUARANTINE:
		crash_on_quarantine(flow, d->quarantine, "entry");
		break;
	case FLEET__DATAGRAM__BODY__NOT_SET:
	case _FLEET__DATAGRAM__BODY__CASE_IS_INT_SIZE:
		break;
	}
}

/*
 * Returns whether a datagram has a field out of its bounds, which is counted
 * and logged by the address of its sender.
 */
static bool
refuse_datagram(struct flow *flow, const struct sockaddr_in *from,
    const Fleet__Datagram *datagram)
{
	const char *fault = fleet_datagram_fault(datagram);
	char ip[ADDRESS_BYTES] = "";

	if (fault == NULL)
		return false;
	(void)uv_ip4_name(from, ip, sizeof(ip));
	flow_refuse_message(flow, ip, (int)datagram->body_case, fault);
	return true;
}

static void
on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
    const struct sockaddr *from, unsigned flags ATTR_UNUSED)
{
	Fleet__Datagram *datagram;

	if (n <= 0 || from == NULL)
		return;
	flow_on_loop_iteration(udp->data);
	datagram = fleet__datagram__unpack(
	    NULL, (size_t)n, (const uint8_t *)buf->base);
	if (datagram == NULL)
		return;
	if (!refuse_datagram(
		udp->data, (const struct sockaddr_in *)from, datagram))
		on_datagram_body(
		    udp->data, (const struct sockaddr_in *)from, datagram);
	fleet__datagram__free_unpacked(datagram, NULL);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested ATTR_UNUSED, uv_buf_t *buf)
{
	struct flow *flow = handle->data;

	*buf = uv_buf_init(flow->datagram, sizeof(flow->datagram));
}

/*
 * Starts to receive datagrams of other entries.
 */
enum status
datagram_open(struct flow *flow)
{
	struct sockaddr_in at;
	int error = UV_EINVAL;

	uv_udp_init(flow->loop, &flow->udp);
	flow->udp.data = flow;
	if (address_parse(flow->settings.datagram_address, &at))
		error =
		    uv_udp_bind(&flow->udp, (const struct sockaddr *)&at, 0);
	if (error == 0)
		error = uv_udp_recv_start(&flow->udp, on_alloc, on_datagram);
	if (error != 0)
		return status_set(STATUS_IO, "%s: %s",
		    flow->settings.datagram_address, uv_strerror(error));
	return STATUS_OK;
}

/*
 * Stops receiving datagrams.
 */
void
datagram_close(struct flow *flow)
{
	uv_close((uv_handle_t *)&flow->udp, NULL);
}
