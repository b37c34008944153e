#include "net/address.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base/linger.h"
#include "base/settings.h"

/*
 * Parses IP:PORT; returns false for anything else.
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
 * Disables Nagle's algorithm and sets the TCP user time-out: the connection
 * is reset when sent data stays unacknowledged for user_timeout_ms, or the peer
 * takes no more for as long.  An idle connection has no such data and is never
 * closed by it.  0 stands for the system's default.
 */
void
tcp_set_options(uv_tcp_t *tcp, unsigned user_timeout_ms)
{
	uv_os_fd_t fd;

	uv_tcp_nodelay(tcp, 1);
	if (uv_fileno((const uv_handle_t *)tcp, &fd) == 0)
		(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
		    &user_timeout_ms, sizeof(user_timeout_ms));
}

/*
 * Reads the end-of-stream state from the socket itself.  A handle without a
 * file descriptor counts as reset.
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
 * Peeks for unread bytes.  Timers run before input is read, so a request may
 * already have arrived on a connection whose idle timer fires.
 */
bool
tcp_has_unread_input(const uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	char byte;

	return uv_fileno((const uv_handle_t *)tcp, &fd) == 0 &&
	    recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

unsigned
tcp_unacknowledged_bytes(const uv_tcp_t *tcp)
{
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0)
		return 0;
	return socket_unacknowledged_bytes(fd);
}

bool
tcp_opened_at_once(const uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	return uv_fileno((const uv_handle_t *)tcp, &fd) == 0 &&
	    getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) == 0 &&
	    info.tcpi_total_retrans == 0;
}

unsigned
tcp_unsent_bytes(const uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	int unsent;

	if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0 ||
	    ioctl(fd, SIOCOUTQNSD, &unsent) != 0 || unsent < 0)
		return 0;
	return (unsigned)unsent;
}

/*
 * Polls for the end of the peer's stream and for errors.  Unlike a read, it
 * finds them behind unread input.  Where the system has no such event, it
 * returns false.
 */
bool
tcp_peer_has_ended(const uv_tcp_t *tcp)
{
	struct pollfd query = {.events = POLLRDHUP};
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0)
		return false;
	query.fd = fd;
	return poll(&query, 1, 0) == 1 &&
	    (query.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/*
 * Asks for the state, since an error is reported only once.
 */
bool
tcp_is_closed(const uv_tcp_t *tcp)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);
	uv_os_fd_t fd;

	return uv_fileno((const uv_handle_t *)tcp, &fd) == 0 &&
	    getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) == 0 &&
	    info.tcpi_state == TCP_CLOSE;
}

/*
 * Peeks for anything a peer has sent on an idle connection.
 */
bool
tcp_is_quiet(const uv_tcp_t *tcp)
{
	uv_os_fd_t fd;
	char byte;

	return uv_fileno((const uv_handle_t *)tcp, &fd) == 0 &&
	    recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK);
}
