#include "net/address.h"

#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "base/settings.h"

/*
 * Reads IP:PORT; false for anything else.
 */
bool
address_parse(const char *text, struct sockaddr_in *out)
{
	char ip[ADDRESS_BYTES];
	uint16_t port;

	if (!settings_parse_address(text, ip, sizeof(ip), &port))
		return false;
	return uv_ip4_addr(ip, port, out) == 0;
}

/*
 * Sends small messages at once and gives up on a peer that acknowledges
 * nothing for silence_ms, which a silent connection never does.
 */
void
tcp_set_options(uv_tcp_t *tcp, unsigned silence_ms)
{
	uv_os_fd_t fd;

	uv_tcp_nodelay(tcp, 1);
	if (uv_fileno((const uv_handle_t *)tcp, &fd) == 0)
		(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms,
		    sizeof(silence_ms));
}

/*
 * Asks the socket itself how its stream ended.
 */
bool
tcp_was_reset(const uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0)
		return true;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
}

/*
 * Looks for unread bytes: timers run before input, so that an idle
 * connection may have a request waiting.
 */
bool
tcp_has_unread_input(const uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	char byte;

	return uv_fileno((const uv_handle_t *)tcp, &fd) == 0 &&
	    recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}
