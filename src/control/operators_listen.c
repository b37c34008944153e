#include "control/operators_listen.h"

#include <netdb.h>
#include <stdio.h>
#include <string.h>

#include "base/str.h"

enum {
	IDLE_TIMEOUT_S = 10,
	ADDRESS_BYTES = 256,
	READ_BYTES = 4 << 10,
	CERTIFICATE_MAX_BYTES = 1 << 20
};

/* GnuTLS priority string. */
static const char tls_versions[] = "NORMAL:-VERS-ALL:+VERS-TLS1.3:+VERS-TLS1.2";

/* Reads the whole PEM file with certificates and key. */
static enum status
read_certificate(const char *path, struct str_buf *out)
{
	FILE *file = fopen(path, "rbe");
	char chunk[READ_BYTES];
	size_t got;
	int failed;

	if (file == NULL)
		return status_set_errno(STATUS_IO, path);
	while (out->len <= CERTIFICATE_MAX_BYTES &&
	    (got = fread(chunk, 1, sizeof(chunk), file)) > 0)
		str_buf_append(out, str_of(chunk, got));
	failed = ferror(file);
	fclose(file);
	explicit_bzero(chunk, sizeof(chunk));
	if (failed || out->len == 0 || out->len > CERTIFICATE_MAX_BYTES)
		return status_set(STATUS_IO,
		    "%s: cannot be read as a PEM file of at most 1 MiB", path);
	return STATUS_OK;
}

/*
 * Erases and frees the contents of the PEM file, which include the private key.
 */
static void
wipe_pem(struct str_buf *pem)
{
	if (pem->data != NULL)
		explicit_bzero(pem->data, pem->len);
	str_buf_free(pem);
}

/*
 * Parses IP:PORT or [IP]:PORT; NULL if it is neither.  The result is freed with
 * freeaddrinfo().
 */
static struct addrinfo *
parse_address(const char *address)
{
	const struct addrinfo hints = {
	    .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE,
	    .ai_socktype = SOCK_STREAM,
	};
	const char *colon = strrchr(address, ':');
	const char *host = address;
	struct addrinfo *found;
	char ip[ADDRESS_BYTES];
	size_t len;

	if (colon == NULL)
		return NULL;
	len = (size_t)(colon - address);
	if (len >= 2 && host[0] == '[' && host[len - 1] == ']') {
		host++;
		len -= 2;
	}
	if (len >= sizeof(ip))
		return NULL;
	memcpy(ip, host, len);
	ip[len] = '\0';
	return getaddrinfo(ip, colon + 1, &hints, &found) == 0 ? found : NULL;
}

/*
 * Starts the HTTP daemon, with TLS if pem is not NULL. Returns NULL if the port
 * or the certificate cannot be used.
 */
static struct MHD_Daemon *
start_daemon(const struct addrinfo *at, const char *pem,
    const struct operators_listen_callbacks *callbacks)
{
	unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
	    MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC;
	const struct MHD_OptionItem tls[] = {
	    {MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)pem},
	    {MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)pem},
	    {MHD_OPTION_HTTPS_PRIORITIES, 0, (void *)tls_versions},
	    {MHD_OPTION_END, 0, NULL},
	};
	const struct MHD_OptionItem none[] = {{MHD_OPTION_END, 0, NULL}};

	if (pem != NULL)
		flags |= MHD_USE_TLS;
	if (at->ai_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	return MHD_start_daemon(flags, 0, NULL, NULL, callbacks->access,
	    callbacks->ctx, MHD_OPTION_SOCK_ADDR, at->ai_addr,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned)OPERATORS_CONNECTIONS_MAX,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
	    MHD_OPTION_NOTIFY_COMPLETED, callbacks->completed, callbacks->ctx,
	    MHD_OPTION_NOTIFY_CONNECTION, callbacks->connection, callbacks->ctx,
	    MHD_OPTION_ARRAY, pem != NULL ? tls : none, MHD_OPTION_END);
}

/*
 * Starts a listener, with HTTPS if a PEM file with certificate and key is
 * given.  STATUS_INVALID for a malformed address, STATUS_IO if the port or the
 * certificate cannot be used.
 */
enum status
operators_listen(const char *address, const char *certificate,
    const struct operators_listen_callbacks *callbacks, struct MHD_Daemon **out)
{
	struct str_buf pem = {0};
	struct addrinfo *at = parse_address(address);
	enum status status = STATUS_OK;

	if (at == NULL)
		return status_set(
		    STATUS_INVALID, "%s: not an address IP:PORT", address);
	if (certificate != NULL)
		status = read_certificate(certificate, &pem);
	if (status == STATUS_OK) {
		*out = start_daemon(at, pem.data, callbacks);
		if (*out == NULL)
			status = status_set(STATUS_IO,
			    "operators' port %s%s%s cannot be opened", address,
			    certificate != NULL ? " with certificate " : "",
			    certificate != NULL ? certificate : "");
	}
	wipe_pem(&pem);
	freeaddrinfo(at);
	return status;
}
